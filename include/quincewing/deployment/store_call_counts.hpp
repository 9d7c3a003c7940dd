#pragma once

#include "quincewing/deployment/store_api.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace quincewing {

/// Calls to the store, by what they do and to which stream. A read of newest records counts once,
/// whatever its pages.
class store_call_counts
{
public:
    /// The same calls, counted here; this object must live as long as they.
    store_api wrap(store_api inner);

    /// By "newest_servers", "read_configuration", "append_hosts" and so on.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& all() const { return counts_; }
    /// The counts since the last call, without those that are 0.
    std::map<std::string, std::uint64_t> take_new();

private:
    void note(const char* call, store_stream stream);

    std::map<std::string, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> taken_;
};

} // namespace quincewing
