#include "thread_caller.hpp"

#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quincewing::testing {

namespace {

constexpr std::size_t most_at_once = 256UL * 1024;

void sleep_until(instant it)
{
    const auto left = it - monotonic_now();
    if (left > duration{0}) {
        std::this_thread::sleep_for(left);
    }
}

} // namespace

thread_caller::thread_caller(thread_caller_options options)
    : options_(std::move(options)), thread_([this] { run(); })
{
}

thread_caller::~thread_caller()
{
    join();
}

void thread_caller::join()
{
    if (thread_.joinable()) {
        thread_.join();
    }
}

void thread_caller::run()
{
    sleep_until(options_.connect_at);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options_.receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options_.receive_buffer,
                   sizeof options_.receive_buffer);
    }
    const auto to = parse_endpoint(options_.address);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        broken_ = true;
        close(fd);
        return;
    }
    sleep_until(options_.send_at);
    const auto n = send(fd, options_.bytes.data(), options_.bytes.size(), MSG_NOSIGNAL);
    broken_ = n != static_cast<ssize_t>(options_.bytes.size());
    if (!broken_) {
        read_all(fd);
    }
    close(fd);
}

void thread_caller::read_all(int fd)
{
    std::string buf(most_at_once, '\0');
    while (monotonic_now() < options_.end_at) {
        const auto n_wanted = allowed_bytes();
        if (n_wanted == 0) {
            std::this_thread::sleep_for(millis{2});
            continue;
        }
        pollfd wait{.fd = fd, .events = POLLIN, .revents = 0};
        constexpr int poll_ms = 5;
        if (poll(&wait, 1, poll_ms) <= 0) {
            continue;
        }
        const auto n = recv(fd, buf.data(), n_wanted, 0);
        if (n <= 0) {
            broken_ = n < 0;
            return;
        }
        const auto now = monotonic_now();
        answered_at_ = received_.empty() ? now : answered_at_;
        received_.append(buf.data(), static_cast<std::size_t>(n));
        arrivals_.push_back({.at = now, .total = received_.size()});
    }
}

// The first bytes start the time that the rest takes.
std::size_t thread_caller::allowed_bytes() const
{
    constexpr std::size_t us_per_s = 1'000'000;
    if (options_.bytes_per_second == 0 || received_.empty()) {
        return options_.bytes_per_second == 0 ? most_at_once : 1;
    }
    const auto since = static_cast<std::size_t>((monotonic_now() - answered_at_).count());
    const auto allowed = 1 + options_.bytes_per_second * since / us_per_s;
    return std::min(most_at_once, allowed - std::min(allowed, received_.size()));
}

std::string thread_caller::status() const
{
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_length = 3;
    return received_.size() < status_at ? "" : received_.substr(status_at, status_length);
}

std::size_t thread_caller::received_by(instant it) const
{
    std::size_t total = 0;
    for (const auto& arrival : arrivals_) {
        total = arrival.at <= it ? arrival.total : total;
    }
    return total;
}

instant thread_caller::last_byte_at() const
{
    return arrivals_.empty() ? instant{} : arrivals_.back().at;
}

} // namespace quincewing::testing
