#include "endpoint.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr std::size_t key_count = 65536;
constexpr std::size_t slots = 4;
constexpr std::size_t queue_length = 8;
constexpr long long heartbeat_ms = 870;
// It serves for a little longer than drainMs after the store has its report.
constexpr long long drain_ms = 3'000;
constexpr long long signal_check_ms = 10;
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_conflict = 409;
constexpr int http_misdirected = 421;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;
constexpr std::uint64_t answers_per_garbled = 50;
constexpr std::size_t part_broken_off = 10;
constexpr long long fast_tenths = 6;
constexpr char spoiled_byte = '\xff';

volatile std::sig_atomic_t drain_requested = 0;

long long wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

endpoint::endpoint(endpoint_options options)
    : options_(std::move(options)), born_(wall_ms()), journal_(options_.journal, std::ios::app),
      keys_(key_count)
{
}

bool endpoint::serve()
{
    const auto listener = listen_at(options_.address);
    if (listener < 0) {
        return false;
    }
    note("start");
    std::thread{[this] { register_itself(); }}.detach();
    while (true) {
        const auto fd = accept_connection(listener);
        std::thread{[this, fd] { serve_connection(fd); }}.detach();
    }
}

// An entry is one record: its length, the length of the key, the key and the value.
void endpoint::register_itself()
{
    long long drained_at = 0;
    for (long long sequence = 1; drained_at == 0 || now_ms() < drained_at; ++sequence) {
        const bool leaves = drain_requested;
        const auto value = R"({"born":)" + std::to_string(born_) + R"(,"address":")" +
                           options_.address + R"(","info":{"service":")" + options_.service +
                           R"(","version":"1","zone":"hall","slots":)" + std::to_string(slots) +
                           R"(},"status":{"state":")" + (leaves ? "draining" : "ready") +
                           R"(","sequence":)" + std::to_string(sequence) + R"(,"warmupLeftMs":0}})";
        const auto content =
            std::string{static_cast<char>(options_.id.size())} + options_.id + value;
        append_entry(content);
        if (leaves && drained_at == 0) {
            note("drains");
            drained_at = now_ms() + drain_ms;
        }
        for (auto next = now_ms() + heartbeat_ms; now_ms() < next && leaves == drain_requested;) {
            sleep_ms(signal_check_ms);
        }
    }
    append_entry(static_cast<char>(options_.id.size()) + options_.id);
    note("ends");
    std::_Exit(0);
}

void endpoint::append_entry(const std::string& content) const
{
    const std::string length{'\0', '\0', static_cast<char>(content.size() >> 8U),
                             static_cast<char>(content.size() & 0xffU)};
    call(options_.store, "POST", "/v1/log-append?topic=keyed.servers&part=0", length + content);
}

void endpoint::serve_connection(int fd)
{
    http_stream stream{fd};
    while (const auto request = stream.read()) {
        auto out = answer(*request);
        const bool spoiled = ++answers_ % answers_per_garbled == 0;
        if (spoiled && options_.garbles) {
            garble(out);
        }
        if (spoiled && options_.breaks_off) {
            stream.write(out.substr(0, out.size() - out.size() / part_broken_off));
            return;
        }
        if (!stream.write(out)) {
            return;
        }
    }
}

std::string endpoint::answer(const http_message& request)
{
    const auto target = request.target();
    if (target == "/health") {
        return format_answer(http_ok, "Instance-Id: " + options_.id + "\r\n", "");
    }
    if (options_.sharded && target == "/v1/grant") {
        return grant(request);
    }
    if (options_.sharded && target == "/v1/release") {
        return release(request);
    }
    return run(request);
}

endpoint::key_call endpoint::call_of(const std::string& body)
{
    const auto number = [&](const char* name) { return json_number(body, name).value_or(0); };
    return {.first = static_cast<std::size_t>(number("from")),
            .last = static_cast<std::size_t>(number("target")),
            .fence = static_cast<std::uint64_t>(number("fence")),
            .hold_ms = number("holdMs")};
}

void endpoint::garble(std::string& answer)
{
    std::vector<std::size_t> names;
    const auto head_end = answer.find("\r\n\r\n");
    for (auto at = answer.find("\r\n"); at < head_end; at = answer.find("\r\n", at + 2)) {
        names.push_back(at + 2);
    }
    const auto spoiled = names.at(answers_ / answers_per_garbled % names.size());
    ++answer[spoiled];
    const std::lock_guard lock{mutex_};
    note("spoils " + answer.substr(spoiled, answer.find("\r\n", spoiled) - spoiled));
}

std::string endpoint::grant(const http_message& request)
{
    const auto it = call_of(request.body);
    const std::lock_guard lock{mutex_};
    const auto begin = keys_.begin() + static_cast<std::ptrdiff_t>(it.first);
    const auto end = keys_.begin() + static_cast<std::ptrdiff_t>(it.last) + 1;
    if (std::any_of(begin, end, [&](const auto& own) { return own.fence > it.fence; })) {
        return format_answer(http_conflict, "", "");
    }
    const auto until = now_ms() + it.hold_ms;
    std::for_each(begin, end, [&](auto& own) { own = {.fence = it.fence, .held_until = until}; });
    note("grant " + std::to_string(it.first) + " " + std::to_string(it.last) + " " +
         std::to_string(it.fence) + " " + std::to_string(until));
    return format_answer(http_ok, "", "");
}

std::string endpoint::release(const http_message& request)
{
    const auto it = call_of(request.body);
    std::unique_lock lock{mutex_};
    for (auto key = it.first; key <= it.last; ++key) {
        if (keys_[key].fence <= it.fence) {
            keys_[key] = {.fence = it.fence, .held_until = 0};
        }
    }
    note("release " + std::to_string(it.first) + " " + std::to_string(it.last) + " " +
         std::to_string(it.fence) + " 0");
    changed_.wait(lock, [&] {
        const auto first = running_.lower_bound(it.first);
        return first == running_.end() || *first > it.last;
    });
    auto token = options_.id + "-" + std::to_string(++last_token_);
    if (options_.spoils_answer && answers_ >= answers_per_garbled &&
        !std::exchange(spoiled_, true)) {
        note("spoils its answer number " + std::to_string(answers_ + 1));
        token.back() = spoiled_byte;
    }
    return format_answer(http_ok, "Handoff-Token: " + token + "\r\n", "");
}

bool endpoint::holds(std::size_t key) const
{
    return !options_.sharded || (key < key_count && keys_[key].held_until > now_ms());
}

std::string endpoint::refuse(int status, const std::string& id) const
{
    return format_answer(status, "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n", "");
}

std::string endpoint::run(const http_message& request)
{
    const auto arrived = now_ms();
    const auto id = request.header("request-id");
    const auto key = std::strtoul(request.header("shard-key").c_str(), nullptr, 10);
    const auto deadline = arrived + std::atoll(request.header("request-deadline-ms").c_str());
    if (id.empty()) {
        return format_answer(http_bad_request, "Not-Executed: 1\r\n", "");
    }
    if (request.header("target-instance") != options_.id) {
        return refuse(http_misdirected, id);
    }
    std::unique_lock lock{mutex_};
    if (running_.size() >= slots && waiting_ >= queue_length) {
        return refuse(http_unavailable, id);
    }
    ++waiting_;
    changed_.wait(lock, [&] { return running_.size() < slots; });
    --waiting_;
    if (!holds(key) || now_ms() >= deadline) {
        return refuse(holds(key) ? http_unavailable : http_misdirected, id);
    }
    note("run " + id + " " + std::to_string(key));
    const auto running = running_.insert(key);
    lock.unlock();
    const auto named_ms = std::atoll(query_value(request.target(), "work_ms").c_str());
    const auto work_ms = options_.fast ? named_ms * fast_tenths / 10 : named_ms;
    sleep_ms(std::min(work_ms, deadline - now_ms()));
    lock.lock();
    running_.erase(running);
    changed_.notify_all();
    const bool in_time = now_ms() < deadline;
    const auto bytes = std::strtoul(query_value(request.target(), "bytes").c_str(), nullptr, 10);
    auto body = id;
    body.resize(std::max(body.size(), bytes), 'x');
    return format_answer(in_time ? http_ok : http_gateway_timeout,
                         "Request-Id: " + id + "\r\nResponse-Seal: " + options_.id + "." + id +
                             "\r\nInstance-Load: " + std::to_string(running_.size()) + "," +
                             std::to_string(waiting_) + "," + std::to_string(slots) + "\r\n",
                         in_time ? body : "");
}

void endpoint::note(const std::string& line)
{
    journal_ << now_ms() << " " << options_.id << " " << line << "\n" << std::flush;
}

} // namespace review

// Arguments: ADDRESS ID SERVICE STORE JOURNAL [unsharded] [spoils] [garbles]
// [breaks-off] [fast].
int main(int argc, char** argv)
{
    constexpr int least_arguments = 6;
    constexpr int bad_arguments = 2;
    constexpr int cannot_listen = 3;
    if (argc < least_arguments) {
        return bad_arguments;
    }
    std::signal(SIGTERM, [](int) { review::drain_requested = 1; });
    const std::set<std::string> flags{argv + least_arguments, argv + argc};
    review::endpoint it{{.address = argv[1],
                         .id = argv[2],
                         .service = argv[3],
                         .store = argv[4],
                         .journal = argv[5],
                         .sharded = !flags.contains("unsharded"),
                         .spoils_answer = flags.contains("spoils"),
                         .garbles = flags.contains("garbles"),
                         .breaks_off = flags.contains("breaks-off"),
                         .fast = flags.contains("fast")}};
    return it.serve() ? 0 : cannot_listen;
}
