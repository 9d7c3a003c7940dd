#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace quincewing::testing {

struct raw_answer
{
    int status{};
    /// Status line and headers.
    std::string head;
    std::string body;

    [[nodiscard]] bool says(const std::string& line) const
    {
        return head.find(line) != std::string::npos;
    }
};

/// A kept connection on which requests can be pipelined and answers read slowly or not at all.
class raw_caller
{
public:
    /// With a small window nearly all of an answer stays in the process that sends it.
    explicit raw_caller(const std::string& address, bool small_window = false);
    ~raw_caller();
    raw_caller(raw_caller&& other) noexcept;
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    /// Sends these bytes; false when the connection has ended.
    bool send(const std::string& data) const;
    /// Sends a GET for this path.
    bool get(const std::string& path) const;
    /// Reads until this many whole answers have come, the connection ends or the time is over.
    std::vector<raw_answer> read(std::size_t count, millis most);
    /// Reads at least this many bytes and leaves them unparsed; false when the connection ends.
    bool skip(std::size_t bytes);
    /// Ends the sending side only.
    void end_sending() const;
    /// Ends the connection with a reset.
    void reset();
    /// The other side has ended the connection; seen by a read.
    [[nodiscard]] bool ended() const { return ended_; }

private:
    bool receive(millis most);
    bool take(raw_answer& out);

    int fd_{-1};
    bool ended_{};
    std::string data_;
};

} // namespace quincewing::testing
