#include "quincewing/admission/crash_guard.hpp"

#include "test_options.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <iostream>
#include <random>
#include <set>

using namespace quincewing;

namespace {

instant at(long long us)
{
    return instant{duration{us}};
}

const server_process p1{1};
const server_process p2{2};
const server_process p3{3};

} // namespace

TEST_CASE("crash guard: a suspect that crashes a server alone is quarantined, an answer clears it")
{
    crash_guard guard;
    for (const std::uint64_t it : {1, 2, 3}) {
        guard.on_crash(at(0), it, p1, duration{0}, false);
        CHECK(guard.status(at(0), it) == crash_status::suspect);
    }
    guard.on_answer(at(1), 2);
    CHECK(guard.status(at(1), 2) == crash_status::clear);
    guard.on_crash(at(2), 1, p2, duration{0}, true);
    CHECK(guard.status(at(3), 1) == crash_status::quarantined);
    CHECK(guard.quarantine_left(at(3), 1) > seconds{599});
    CHECK(guard.status(at(3), 3) == crash_status::suspect);
    CHECK(guard.quarantine_left(at(3), 3) == duration{0});
    CHECK(guard.status(at(700'000'000), 1) == crash_status::clear);
}

TEST_CASE("crash guard: three crashes beside other requests quarantine, one process counts once")
{
    crash_guard guard;
    guard.on_crash(at(0), 1, p1, duration{0}, false);
    guard.on_crash(at(1), 1, p1, duration{0}, false);
    guard.on_crash(at(2), 1, p2, duration{0}, false);
    CHECK(guard.status(at(3), 1) == crash_status::suspect);
    guard.on_crash(at(4), 1, p3, duration{0}, false);
    CHECK(guard.status(at(5), 1) == crash_status::quarantined);
    guard.on_answer(at(6), 1);
    CHECK(guard.status(at(7), 1) == crash_status::quarantined);
}

// Guards against innocent requests that are refused since their connections broke.
TEST_CASE("crash guard: a process that answers later was not crashed")
{
    crash_guard guard;
    guard.on_crash(at(10), 1, p1, duration{0}, false);
    guard.on_crash(at(20), 1, p2, duration{0}, false);
    // Sent before the connection broke: the answer may have been on its way.
    guard.on_process_alive(p1, at(5));
    guard.on_crash(at(40), 1, p3, duration{0}, false);
    CHECK(guard.status(at(50), 1) == crash_status::quarantined);
    guard.on_process_alive(p1, at(55));
    CHECK(guard.status(at(61), 1) == crash_status::suspect);
}

// Guards against copies of an innocent request that are refused after a failure of many servers.
TEST_CASE("crash guard: servers that crash at once count once, however many")
{
    crash_guard guard;
    for (std::uint64_t i = 0; i < 7; ++i) {
        const auto now = at(1'000'000 + static_cast<long long>(i) * 1000);
        guard.on_crash(now, 1, server_process{i}, millis{300}, false);
        CHECK(guard.status(now, 1) == crash_status::suspect);
    }
    // Sent after them, it crashes one more.
    guard.on_crash(at(5'000'000), 1, server_process{9}, millis{300}, false);
    CHECK(guard.status(at(5'000'000), 1) == crash_status::quarantined);
}

TEST_CASE("crash guard: each crash of a request that its host sends on counts")
{
    crash_guard guard;
    guard.on_crash(at(1'000'000), 1, p1, millis{60}, false);
    guard.on_crash(at(1'061'000), 1, p2, millis{60}, false);
    CHECK(guard.status(at(1'061'000), 1) == crash_status::suspect);
    guard.on_crash(at(1'122'000), 1, p3, millis{60}, false);
    CHECK(guard.status(at(1'122'000), 1) == crash_status::quarantined);
}

TEST_CASE("crash guard: reports make hosts know the same, whatever their order")
{
    crash_guard first;
    crash_guard second;
    first.on_crash(at(0), 1, p1, duration{0}, false);
    first.on_crash(at(1), 1, p2, duration{0}, false);
    second.on_crash(at(2), 1, p3, duration{0}, false);
    second.on_crash(at(3), 2, p3, duration{0}, false);
    const auto findings = first.take_findings(at(2));
    REQUIRE(findings);
    CHECK_FALSE(first.take_findings(at(3)));
    first.on_answer(at(4), 1);
    const auto disproof = first.take_findings(at(4));
    REQUIRE(disproof);
    // The newer report overtakes the older one.
    second.on_report(at(5), *disproof);
    second.on_report(at(6), *findings);
    first.on_report(at(7), *second.take_findings(at(7)));
    for (const std::uint64_t it : {1, 2}) {
        CHECK(first.status(at(8), it) == crash_status::suspect);
        CHECK(second.status(at(8), it) == crash_status::suspect);
    }
    CHECK(first.digest(at(2'000'000)) == second.digest(at(2'000'000)));
    CHECK(first.digest(at(2'000'000)) != crash_guard{}.digest(at(2'000'000)));
}

// Guards against hosts that forget with their restart, and against reports without end.
TEST_CASE("crash guard: a host that knows nothing asks for all marks, and only once")
{
    crash_guard old;
    for (const auto process : {p1, p2, p3}) {
        old.on_crash(at(0), 1, process, duration{0}, false);
    }
    const auto now = at(5'000'000);
    crash_guard restarted;
    const auto question = restarted.on_digest(now, old.digest(now));
    REQUIRE(question);
    CHECK(question->wants_all);
    CHECK_FALSE(restarted.on_digest(now + millis{1}, old.digest(now)));
    CHECK_FALSE(restarted.on_digest(now + seconds{1}, old.digest(now)));
    const auto reply = old.on_report(now, *question);
    REQUIRE(reply);
    CHECK_FALSE(restarted.on_report(now, *reply));
    CHECK(restarted.status(now, 1) == crash_status::quarantined);
    CHECK_FALSE(restarted.on_digest(now + seconds{30}, old.digest(now + seconds{30})));
    // It lasts no longer there than at the host that saw it.
    CHECK(restarted.quarantine_left(now, 1) == old.quarantine_left(now, 1));
}

TEST_CASE("crash guard: it remembers a bounded number of requests, the newest ones")
{
    crash_guard guard{{.max_requests = 3}};
    for (std::uint64_t it = 1; it <= 5; ++it) {
        guard.on_crash(at(static_cast<long long>(it)), it, p1, duration{0}, false);
    }
    CHECK(guard.size() == 3);
    CHECK(guard.status(at(9), 2) == crash_status::clear);
    CHECK(guard.status(at(9), 3) == crash_status::suspect);
    for (std::uint64_t it = 1; it <= 20; ++it) {
        guard.on_crash(at(10), 5, server_process{it}, duration{0}, false);
    }
    CHECK(guard.size() == 3);
}

namespace {

struct message
{
    instant due;
    std::size_t from{};
    std::size_t to{};
    std::optional<crash_report> report;
    std::uint64_t digest{};
};

/// Hosts with a crash guard each, whose messages are lost and late, and servers that one request
/// crashes. Hosts restart, are cut off and join.
class crash_fleet
{
public:
    crash_fleet(std::uint64_t seed, std::size_t hosts) : random_(seed), hosts_(hosts)
    {
        cut_until_.resize(hosts);
    }

    /// Returns the crashes later than settle_time after the third.
    std::size_t play()
    {
        for (; now_ < at(0) + run_time; now_ += step) {
            disturb();
            deliver();
            if (chance(0.02)) {
                call(number(hosts_.size()));
            }
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                tell(i);
            }
        }
        return late_;
    }

    [[nodiscard]] std::size_t crashes() const { return crashes_; }
    [[nodiscard]] std::size_t innocent_refused() const { return innocent_refused_; }

private:
    static constexpr duration step{millis{50}};
    static constexpr duration run_time{seconds{90}};
    static constexpr duration settle_time{seconds{3}};
    static constexpr std::uint64_t crashing = 1;
    static constexpr std::uint64_t innocent = 2;

    bool chance(double p) { return std::bernoulli_distribution{p}(random_); }
    std::size_t number(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(random_);
    }
    [[nodiscard]] bool cut(std::size_t i) const { return now_ < cut_until_[i]; }
    /// As the rule has it: undisturbed for settle_time.
    [[nodiscard]] bool in_touch(std::size_t i) const { return now_ >= cut_until_[i] + settle_time; }

    // At most a third of the hosts at a time, as the rest must keep what they know.
    void disturb()
    {
        const auto disturbed = std::count_if(cut_until_.begin(), cut_until_.end(),
                                             [&](auto it) { return now_ < it + settle_time; });
        if (!chance(0.02) || static_cast<std::size_t>(disturbed) * 3 >= hosts_.size()) {
            return;
        }
        const auto i = number(hosts_.size());
        if (chance(0.5)) {
            hosts_[i] = crash_guard{};
            cut_until_[i] = now_;
        } else {
            cut_until_[i] = now_ + seconds{1 + static_cast<long>(number(15))};
        }
    }

    void call(std::size_t host)
    {
        auto& guard = hosts_[host];
        if (guard.status(now_, innocent) == crash_status::quarantined) {
            ++innocent_refused_;
        }
        // A server loses an answer of the innocent request and goes on.
        if (chance(0.5)) {
            const server_process process{1000 + number(5)};
            guard.on_crash(now_, innocent, process, duration{0}, false);
            guard.on_process_alive(process, now_ + duration{1});
        }
        if (guard.status(now_, crashing) == crash_status::quarantined) {
            return;
        }
        guard.on_crash(now_, crashing, server_process{++processes_ + 1'000'000}, duration{0},
                       false);
        ++crashes_;
        if (crashes_ == 3) {
            third_ = now_;
        }
        if (crashes_ > 3 && now_ > third_ + settle_time && in_touch(host)) {
            ++late_;
        }
    }

    void tell(std::size_t i)
    {
        if (const auto report = hosts_[i].take_findings(now_)) {
            for (std::size_t to = 0; to < hosts_.size(); ++to) {
                send({.from = i, .to = to, .report = report});
            }
        }
        const bool digest_due = (now_.time_since_epoch() / step) % 20 == static_cast<long>(i % 20);
        if (digest_due) {
            send({.from = i, .to = number(hosts_.size()), .digest = hosts_[i].digest(now_)});
        }
    }

    void send(message it)
    {
        if (it.from == it.to || cut(it.from) || cut(it.to) || chance(0.05)) {
            return;
        }
        it.due = now_ + millis{static_cast<long>(number(120))};
        messages_.push_back(std::move(it));
    }

    void deliver()
    {
        std::deque<message> later;
        auto due = std::exchange(messages_, {});
        for (auto& it : due) {
            if (it.due > now_) {
                later.push_back(std::move(it));
                continue;
            }
            if (cut(it.to)) {
                continue;
            }
            const auto reply = it.report ? hosts_[it.to].on_report(now_, *it.report)
                                         : hosts_[it.to].on_digest(now_, it.digest);
            if (reply) {
                send({.from = it.to, .to = it.from, .report = reply});
            }
        }
        messages_.insert(messages_.end(), std::make_move_iterator(later.begin()),
                         std::make_move_iterator(later.end()));
    }

    std::mt19937_64 random_;
    std::vector<crash_guard> hosts_;
    std::vector<instant> cut_until_;
    std::deque<message> messages_;
    instant now_{at(0)};
    instant third_{};
    std::uint64_t processes_{};
    std::size_t crashes_{};
    std::size_t late_{};
    std::size_t innocent_refused_{};
};

} // namespace

// Guards against hosts that restarted or were cut off and send on what the fleet refuses.
TEST_CASE("crash guards: a fleet with restarts and cuts sends a crashing request on three times")
{
    const auto first = testing::options().seed;
    const auto schedules = testing::schedules_or(200);
    std::size_t crashes = 0;
    for (auto seed = first; seed < first + schedules; ++seed) {
        crash_fleet fleet{seed, 3 + seed % 9};
        CAPTURE(seed);
        CHECK(fleet.play() <= 3);
        CHECK(fleet.innocent_refused() == 0);
        crashes += fleet.crashes();
    }
    std::cout << "  " << schedules << " schedules from seed " << first << ", " << crashes
              << " crashes\n";
}
