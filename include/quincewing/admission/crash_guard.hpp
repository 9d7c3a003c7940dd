#pragma once

#include "quincewing/admission/crash_mark.hpp"
#include "quincewing/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace quincewing {

struct crash_guard_options
{
    /// Time from the last crash under a request until it counts as any other again.
    duration memory{seconds{600}};
    /// The same if none of its crashes is left that was not disproved.
    duration disproved_memory{seconds{10}};
    /// Crashes under a request, each after it was sent once more, upon which it is refused.
    std::size_t crashes_to_quarantine{3};
    /// The same when nothing else was in flight at the last of them.
    std::size_t crashes_alone_to_quarantine{2};
    /// Crashes in all upon which it is refused if it was sent once more after one of them.
    std::size_t overlapping_crashes_to_quarantine{6};
    /// Requests with marks that are remembered, and marks of one request.
    std::size_t max_requests{4096};
    std::size_t max_marks_per_request{8};
    /// Marks are part of the digest from this age on: younger ones may be on their way.
    duration digest_age{seconds{1}};
    /// Least time between two exchanges of all marks, and while neither side's digest changes.
    duration exchange_interval{millis{250}};
    duration unchanged_exchange_interval{seconds{10}};
};

enum class crash_status : std::uint8_t
{
    clear,
    /// A server crashed while it was in flight there.
    suspect,
    /// Crashed several servers; refused for a time.
    quarantined
};

/// Identifies requests that crash backend servers, by fingerprint, from what all hosts have seen.
/// Each host tells the others its findings, and hosts that find by their digests that they know
/// different things exchange all marks. Decides only: the caller sends the reports.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options options = {}) : options_(options) {}

    /// The server's process crashed, or its connection broke, with the request in flight.
    /// ran_for: time since the request was sent to it. alone: nothing else was in flight there.
    void on_crash(instant now, std::uint64_t fingerprint, server_process process, duration ran_for,
                  bool alone);
    /// The request was answered, not with an error of the server. This does not end a quarantine.
    void on_answer(instant now, std::uint64_t fingerprint);
    /// The process answered a request that was sent to it at sent_at.
    void on_process_alive(server_process process, instant sent_at);

    [[nodiscard]] crash_status status(instant now, std::uint64_t fingerprint) const;
    /// Time until the quarantine ends; zero when there is none.
    [[nodiscard]] duration quarantine_left(instant now, std::uint64_t fingerprint) const;

    /// Requests in quarantine.
    [[nodiscard]] std::set<std::uint64_t> quarantined(instant now) const;
    [[nodiscard]] std::vector<crash_mark> marks_of(instant now, std::uint64_t fingerprint) const;

    /// This host's findings since the last call, for all other hosts.
    [[nodiscard]] std::optional<crash_report> take_findings(instant now);
    /// Merges another host's report; returns the reply that it wants.
    std::optional<crash_report> on_report(instant now, const crash_report& report);
    /// All marks, for a host that may know none.
    [[nodiscard]] crash_report report_all(instant now, bool wants_all) const;
    /// Equal on hosts that know the same marks. Forgets what has expired.
    [[nodiscard]] std::uint64_t digest(instant now);
    /// Another host told its digest. Returns the report to send to it if the digests differ.
    std::optional<crash_report> on_digest(instant now, std::uint64_t told);

    /// Requests with marks.
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    struct mark
    {
        server_process process;
        bool alone{};
        bool disproved{};
        instant at{};
        duration ran_for{};
    };
    /// The marks of a request, the oldest first.
    using marks = std::vector<mark>;
    /// A mark that is new here, or disproved here.
    struct finding
    {
        std::uint64_t fingerprint{};
        mark it;
    };
    using digest_pair = std::pair<std::uint64_t, std::uint64_t>;

    static crash_mark to_crash_mark(instant now, std::uint64_t fingerprint, const mark& it);
    [[nodiscard]] bool expired(instant now, const marks& of) const;
    /// Adds the mark or what it tells beyond a known one. Returns whether anything is new.
    bool add(instant now, std::uint64_t fingerprint, const mark& it);
    void disprove(std::uint64_t fingerprint, mark& it);
    void forget_expired(instant now);
    /// Forgets what has expired, then what is oldest, until one more request fits.
    void make_room(instant now);
    void index_processes();

    crash_guard_options options_;
    std::map<std::uint64_t, marks> requests_;
    /// Processes with a mark that is not disproved, and when the last such mark was made.
    std::map<server_process, instant> suspected_processes_;
    std::vector<finding> findings_;
    instant last_exchange_at_{};
    /// The digests, told and own, at the last exchange.
    std::optional<digest_pair> last_exchange_;
};

} // namespace quincewing
