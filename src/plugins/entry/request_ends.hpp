#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quincewing {

/// How a request ended.
struct request_end
{
    std::string reason;
    /// It was at a server until then.
    bool at_server{};
    /// Of the answer; 0: none.
    int status{};
    auto operator<=>(const request_end&) const = default;
};

/// Counts ends of requests by kind, for a summary in the log.
class request_ends
{
public:
    struct count
    {
        request_end end;
        std::uint64_t requests{};
    };

    void add(request_end it) { ++counts_[std::move(it)]; }
    /// Counts since the last call.
    [[nodiscard]] std::vector<count> take()
    {
        std::vector<count> out;
        out.reserve(counts_.size());
        for (const auto& [end, n] : counts_) {
            out.push_back({.end = end, .requests = n});
        }
        counts_.clear();
        return out;
    }

private:
    std::map<request_end, std::uint64_t> counts_;
};

} // namespace quincewing
