#pragma once

#include <map>
#include <optional>
#include <string>

namespace review {

/// A message of HTTP/1.1 with a body of known length.
struct http_message
{
    /// The request line or the status line.
    std::string first_line;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    /// With its query.
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// Reads messages from a connection one after the other. Owns the socket.
class http_stream
{
public:
    explicit http_stream(int fd) : fd_(fd) {}
    ~http_stream();
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Empty: the connection ended or stayed silent for longer than the timeout of the socket.
    std::optional<http_message> read();
    bool write(const std::string& bytes) const;
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    /// The other side has closed or reset the connection, as far as was read.
    [[nodiscard]] bool closed_by_peer() const { return closed_by_peer_; }

private:
    bool fill();

    int fd_;
    std::string buffer_;
    bool closed_by_peer_{};
};

/// A value of a query such as "a=1&b=2"; empty if there is none.
std::string query_value(const std::string& target, const std::string& name);
/// A number of a flat JSON object; empty if there is none.
std::optional<long long> json_number(const std::string& object, const std::string& name);
/// The bytes of an answer.
std::string format_answer(int status, const std::string& headers, const std::string& body);

/// A listening socket at ip:port; -1 on failure.
int listen_at(const std::string& address);
int accept_connection(int listener);
/// -1 on failure.
int connect_to(const std::string& address, int timeout_ms);
/// An address on loopback that nobody listens at.
std::string free_address();
/// Sends one call on a connection of its own.
std::optional<http_message> call(const std::string& address, const std::string& method,
                                 const std::string& target, const std::string& body);
/// Milliseconds of the steady clock.
long long now_ms();
void sleep_ms(long long ms);

} // namespace review
