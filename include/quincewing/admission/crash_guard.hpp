#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace quincewing {

struct crash_guard_options
{
    duration suspect_duration{seconds{600}};
    duration quarantine_duration{seconds{600}};
    std::size_t max_entries{4096};
};

enum class crash_status : std::uint8_t
{
    clear,
    /// Was in flight when a server crashed; is run with no other request beside it.
    suspect,
    /// Crashed a server while it was the only request in flight; refused for a time.
    quarantined
};

/// Identifies requests that crash backend servers, by request fingerprint.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options options = {}) : options_(options) {}

    /// Records a server crash with these requests in flight. Returns the newly quarantined ones.
    std::vector<std::uint64_t> on_crash(instant now, const std::vector<std::uint64_t>& in_flight);
    /// The request completed: clears its suspicion, but not a quarantine.
    void on_success(std::uint64_t fingerprint);
    /// Merges a finding of another host. A zero quarantine_left marks a suspect only.
    void on_remote_notice(instant now, std::uint64_t fingerprint, duration quarantine_left);

    [[nodiscard]] crash_status status(instant now, std::uint64_t fingerprint) const;
    /// Time until the quarantine ends; zero when there is none.
    [[nodiscard]] duration quarantine_left(instant now, std::uint64_t fingerprint) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        instant suspect_until{};
        std::optional<instant> quarantined_until;
    };

    /// Evicts expired entries, then the oldest, until one more fits.
    void evict(instant now);

    crash_guard_options options_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace quincewing
