#include "caller.hpp"

namespace review {

namespace {

constexpr int answer_timeout_ms = 4'000;
constexpr long long pause_after_failure_ms = 200;

} // namespace

caller::caller(caller_options options)
    : options_(std::move(options)), thread_([this] { send_requests(); })
{
}

caller::~caller()
{
    stop();
}

void caller::stop()
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

std::vector<sent_request> caller::sent()
{
    const std::lock_guard lock{mutex_};
    return sent_;
}

void caller::send_requests()
{
    auto stream = std::make_unique<http_stream>(connect_to(options_.address, answer_timeout_ms));
    int on_connection = 0;
    for (int number = 0; !stopping_; ++number) {
        sent_request it{.id = options_.name + "-" + std::to_string(number),
                        .earlier = on_connection++,
                        .sent_at = now_ms()};
        const auto key =
            options_.first_key + number * 97 % (options_.last_key - options_.first_key + 1);
        const auto bytes =
            options_.request + " HTTP/1.1\r\nHost: gauges.example\r\nRequest-Id: " + it.id +
            "\r\nRequest-Deadline-Ms: " + std::to_string(options_.deadline_ms) +
            "\r\nShard-Key: " + std::to_string(key) + "\r\nContent-Length: 0\r\n\r\n";
        const auto answer = stream->open() && stream->write(bytes) ? stream->read() : std::nullopt;
        it.status = answer ? answer->status() : 0;
        it.closed = !answer && stream->closed_by_peer();
        it.has_signature = answer && !answer->header("response-seal").empty();
        it.ended_at = now_ms();
        if (!answer || answer->header("connection") == "close") {
            sleep_ms(answer ? 0 : pause_after_failure_ms);
            stream = std::make_unique<http_stream>(connect_to(options_.address, answer_timeout_ms));
            on_connection = 0;
        }
        const std::lock_guard lock{mutex_};
        sent_.push_back(it);
    }
}

} // namespace review
