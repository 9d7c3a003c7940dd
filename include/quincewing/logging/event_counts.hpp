#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace quincewing {

/// Counts what happens too often for a line each, for one line of the log in each period.
class event_counts
{
public:
    explicit event_counts(std::string event) : event_(std::move(event)) {}

    void add(const std::string& what) { ++counts_[what]; }
    /// Writes what was counted since the last call. No line if that is nothing.
    void log();

private:
    std::string event_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace quincewing
