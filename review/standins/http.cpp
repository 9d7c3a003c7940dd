#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int call_timeout_ms = 2000;
constexpr int listen_backlog = 256;

sockaddr_in parse_address(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

void set_timeout(int fd, int timeout_ms)
{
    const timeval it{.tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof it);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &it, sizeof it);
}

std::string word(const std::string& line, int number)
{
    std::size_t at = 0;
    for (int i = 0; i < number && at != std::string::npos; ++i) {
        at = line.find(' ', at);
        at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? "" : line.substr(at, line.find(' ', at) - at);
}

void parse_head(const std::string& head, http_message& to)
{
    std::size_t at = head.find("\r\n");
    to.first_line = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const auto begin = at + 2;
        at = head.find("\r\n", begin);
        const auto line = head.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        to.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
}

} // namespace

std::string http_message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string http_message::method() const
{
    return word(first_line, 0);
}

std::string http_message::target() const
{
    return word(first_line, 1);
}

int http_message::status() const
{
    return std::atoi(word(first_line, 1).c_str());
}

http_stream::~http_stream()
{
    if (fd_ >= 0) {
        close(fd_);
    }
}

bool http_stream::fill()
{
    std::array<char, 16384> buf{};
    const auto n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
        closed_by_peer_ = n == 0 || errno == ECONNRESET;
        return false;
    }
    buffer_.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<http_message> http_stream::read()
{
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return {};
        }
        end = buffer_.find("\r\n\r\n");
    }
    http_message out;
    parse_head(buffer_.substr(0, end), out);
    buffer_.erase(0, end + 4);
    const auto length = std::strtoul(out.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!fill()) {
            return {};
        }
    }
    out.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return out;
}

bool http_stream::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::string query_value(const std::string& target, const std::string& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = std::min(target.find('&', at + 1), target.size());
        const auto item = target.substr(at + 1, end - at - 1);
        if (item.starts_with(name + "=")) {
            return item.substr(name.size() + 1);
        }
        at = end == target.size() ? std::string::npos : end;
    }
    return "";
}

std::optional<long long> json_number(const std::string& object, const std::string& name)
{
    const auto at = object.find("\"" + name + "\":");
    return at == std::string::npos
               ? std::nullopt
               : std::optional{std::atoll(object.c_str() + at + name.size() + 3)};
}

std::string format_answer(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" +
           body;
}

int listen_at(const std::string& address)
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = parse_address(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd, listen_backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int accept_connection(int listener)
{
    const auto fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

int connect_to(const std::string& address, int timeout_ms)
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeout(fd, timeout_ms);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto at = parse_address(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

std::string free_address()
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = parse_address("127.0.0.1:0");
    socklen_t size = sizeof at;
    bind(fd, reinterpret_cast<const sockaddr*>(&at), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

std::optional<http_message> call(const std::string& address, const std::string& method,
                                 const std::string& target, const std::string& body)
{
    http_stream stream{connect_to(address, call_timeout_ms)};
    const bool sent =
        stream.open() && stream.write(method + " " + target + " HTTP/1.1\r\nHost: " + address +
                                      "\r\nConnection: close\r\nContent-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body);
    return sent ? stream.read() : std::nullopt;
}

long long now_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleep_ms(long long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{std::max(ms, 0LL)});
}

} // namespace review
