#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace quincewing {

/// Time of day, in seconds since 1970.
using wall_time = std::chrono::sys_seconds;

/// A change of one record in the store: no value removes it.
struct quarantine_change
{
    std::uint64_t fingerprint{};
    std::optional<std::string> value;
};

/// The quarantines as the store holds them, one record each, so that they outlast a moment at which
/// all hosts restart. Decides what the coordinating host writes; other hosts only read.
class stored_quarantines
{
public:
    /// The records are read anew: only those that follow are in the store.
    void begin_read() { stored_.clear(); }
    /// A record that was read. Its marks are merged into the guard. Returns an error text if the
    /// record cannot be decoded.
    tl::expected<void, std::string> on_record(instant now, wall_time wall,
                                              std::uint64_t fingerprint, std::string_view value,
                                              crash_guard& guard);
    /// The next change that the store needs, if none is being made.
    std::optional<quarantine_change> next_change(instant now, wall_time wall,
                                                 const crash_guard& guard);
    /// The outcome of the last change. One that failed is made again after a while.
    void on_changed(instant now, bool done);

private:
    /// Fingerprints in the store.
    std::set<std::uint64_t> stored_;
    std::optional<quarantine_change> pending_;
    instant next_try_{};
};

} // namespace quincewing
