#include "quincewing/admission/stored_quarantines.hpp"

#include "quincewing/codec/codec.hpp"

#include <algorithm>
#include <limits>

namespace quincewing {

namespace {

constexpr seconds retry_pause{1};

struct quarantine_record
{
    std::vector<crash_mark> marks;
    /// Time of day of the record, in seconds since 1970.
    std::uint64_t written{};

    template <class F>
    void each_field(F&& f)
    {
        f(marks);
        f(written);
    }
};

std::string encode(const std::vector<crash_mark>& marks, wall_time wall)
{
    return codec::encode(quarantine_record{
        .marks = marks, .written = static_cast<std::uint64_t>(wall.time_since_epoch().count())});
}

} // namespace

// The record's age is known by the time of day only, as the processes that made it may be gone.
tl::expected<void, std::string> stored_quarantines::on_record(instant now, wall_time wall,
                                                              std::uint64_t fingerprint,
                                                              std::string_view value,
                                                              crash_guard& guard)
{
    stored_.insert(fingerprint);
    auto record = codec::decode<quarantine_record>(value);
    if (!record) {
        return tl::make_unexpected(record.error());
    }
    const auto now_s = static_cast<std::uint64_t>(wall.time_since_epoch().count());
    const seconds since{now_s > record->written ? now_s - record->written : 0};
    const auto age = static_cast<std::uint64_t>(duration{since}.count());
    for (auto& it : record->marks) {
        it.age += std::min(age, std::numeric_limits<std::uint64_t>::max() - it.age);
    }
    guard.on_report(now, {.marks = std::move(record->marks)});
    return {};
}

std::optional<quarantine_change> stored_quarantines::next_change(instant now, wall_time wall,
                                                                 const crash_guard& guard)
{
    if (pending_ || now < next_try_) {
        return {};
    }
    const auto wanted = guard.quarantined(now);
    for (const auto fingerprint : wanted) {
        if (!stored_.contains(fingerprint)) {
            pending_ = quarantine_change{.fingerprint = fingerprint,
                                         .value = encode(guard.marks_of(now, fingerprint), wall)};
            return pending_;
        }
    }
    const auto ended =
        std::find_if(stored_.begin(), stored_.end(), [&](auto it) { return !wanted.contains(it); });
    if (ended != stored_.end()) {
        pending_ = quarantine_change{.fingerprint = *ended};
    }
    return pending_;
}

void stored_quarantines::on_changed(instant now, bool done)
{
    if (!pending_) {
        return;
    }
    if (!done) {
        next_try_ = now + retry_pause;
    } else if (pending_->value) {
        stored_.insert(pending_->fingerprint);
    } else {
        stored_.erase(pending_->fingerprint);
    }
    pending_.reset();
}

} // namespace quincewing
