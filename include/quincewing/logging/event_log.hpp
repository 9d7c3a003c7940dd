#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quincewing {

/// One name and value of a log line.
struct log_field
{
    std::string_view name;
    std::string value;

    log_field(std::string_view name_, std::string value_) : name(name_), value(std::move(value_)) {}
    log_field(std::string_view name_, const char* value_) : name(name_), value(value_) {}
    log_field(std::string_view name_, std::int64_t number)
        : name(name_), value(std::to_string(number))
    {
    }
    log_field(std::string_view name_, std::uint64_t number)
        : name(name_), value(std::to_string(number))
    {
    }
    log_field(std::string_view name_, int number) : name(name_), value(std::to_string(number)) {}
    log_field(std::string_view name_, duration time);
};

struct event_log_options
{
    /// Lines of one kind in a second; the rest are counted. Follows from the processor time that
    /// a line costs on a small host.
    std::uint32_t lines_per_kind{20};
    /// Bytes that wait while the reader is slow; beyond this lines are counted only.
    std::size_t max_pending{64UL * 1024};
};

/// Structured lines "time kind name=value ..." for operators. Never blocks: what the reader or
/// the bound of a second leaves no room for is counted and told as a line of kind "left_out".
class event_log
{
public:
    /// Writes bytes without blocking and returns how many were taken; negative: none now.
    using writer = std::function<long(const char*, std::size_t)>;

    explicit event_log(writer write, event_log_options options = {});

    void line(instant now, std::string_view kind, const std::vector<log_field>& fields);
    /// Tells what was left out and writes what waits. Call about once a second.
    void tick(instant now);
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    struct kind_count
    {
        std::int64_t second{};
        std::uint32_t lines{};
        std::uint64_t left_out{};
    };

    void append(instant now, std::string_view kind, const std::vector<log_field>& fields);
    void flush();

    writer write_;
    event_log_options options_;
    std::map<std::string, kind_count, std::less<>> kinds_;
    std::string pending_;
    std::uint64_t left_out_{};
};

/// The process's log on its standard output.
event_log& standard_log();

/// A line of the process's log at the present time.
void log_event(std::string_view kind, const std::vector<log_field>& fields);

} // namespace quincewing
