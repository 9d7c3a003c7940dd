#include "raw_caller.hpp"

#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace quincewing::testing {

namespace {

constexpr int smallest_segment = 536;
constexpr int smallest_window = 4096;
constexpr seconds longest_read{10};

std::size_t length_of(const std::string& head)
{
    constexpr std::string_view name = "content-length:";
    for (auto at = head.find('\n'); at != std::string::npos; at = head.find('\n', at + 1)) {
        if (strncasecmp(head.c_str() + at + 1, name.data(), name.size()) == 0) {
            return std::strtoul(head.c_str() + at + 1 + name.size(), nullptr, 10);
        }
    }
    return 0;
}

} // namespace

raw_caller::raw_caller(const std::string& address, bool small_window)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (small_window) {
        setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &smallest_segment, sizeof smallest_segment);
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &smallest_window, sizeof smallest_window);
    }
    const auto at = parse_endpoint(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &to.sin_addr);
    ended_ = connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0;
}

raw_caller::~raw_caller()
{
    if (fd_ >= 0) {
        close(fd_);
    }
}

raw_caller::raw_caller(raw_caller&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), ended_(other.ended_), data_(std::move(other.data_))
{
}

bool raw_caller::send(const std::string& data) const
{
    const auto n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    return !ended_ && n == static_cast<ssize_t>(data.size());
}

bool raw_caller::get(const std::string& path) const
{
    return send("GET " + path + " HTTP/1.1\r\nHost: test\r\nQuincewing-Deadline-Ms: 5000\r\n\r\n");
}

std::vector<raw_answer> raw_caller::read(std::size_t count, millis most)
{
    const auto until = std::chrono::steady_clock::now() + most;
    std::vector<raw_answer> out;
    while (out.size() < count) {
        raw_answer it;
        if (take(it)) {
            out.push_back(std::move(it));
            continue;
        }
        const auto left = until - std::chrono::steady_clock::now();
        if (left <= left.zero() || !receive(std::chrono::duration_cast<millis>(left))) {
            break;
        }
    }
    return out;
}

bool raw_caller::skip(std::size_t bytes)
{
    while (data_.size() < bytes) {
        if (!receive(longest_read)) {
            return false;
        }
    }
    return true;
}

void raw_caller::end_sending() const
{
    shutdown(fd_, SHUT_WR);
}

void raw_caller::reset()
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(std::exchange(fd_, -1));
}

bool raw_caller::receive(millis most)
{
    pollfd it{.fd = fd_, .events = POLLIN};
    if (ended_ || poll(&it, 1, static_cast<int>(most.count())) <= 0) {
        return false;
    }
    std::array<char, 4096> buf{};
    const auto n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
        ended_ = true;
        return false;
    }
    data_.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

bool raw_caller::take(raw_answer& out)
{
    const auto end = data_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    const auto head = data_.substr(0, end + 4);
    const auto length = length_of(head);
    if (data_.size() < head.size() + length) {
        return false;
    }
    out.head = head;
    out.status = std::atoi(head.c_str() + std::min(head.size(), head.find(' ')));
    out.body = data_.substr(head.size(), length);
    data_.erase(0, head.size() + length);
    return true;
}

} // namespace quincewing::testing
