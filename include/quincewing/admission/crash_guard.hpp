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
    /// Was in flight at a crash: runs alone.
    suspect,
    /// Crashed a server while alone: refused for a time.
    quarantined
};

/// Finds the request that crashes backend servers, by fingerprint.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options options = {}) : options_(options) {}

    /// A server crashed with these requests in flight. Returns those that are now quarantined.
    std::vector<std::uint64_t> on_crash(instant now, const std::vector<std::uint64_t>& in_flight);
    /// The request ran to its end: no longer a suspect.
    void on_success(std::uint64_t fingerprint);
    /// Another host's finding.
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

    void make_room(instant now);

    crash_guard_options options_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace quincewing
