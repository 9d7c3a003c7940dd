#include "late_stop_run.hpp"
#include "raw_caller.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr seconds grace{6};
constexpr seconds longer_than_grace{20};

void check_refused(const late_stop_run& run, const thread_caller& caller, const std::string& id)
{
    CHECK_MESSAGE(caller.status() == "503", caller.received());
    CHECK(caller.received().find("Retry-After: 0") != std::string::npos);
    CHECK_FALSE(run.deployment().executed.contains(id));
}

void check_answered_at_end(const late_stop_run& run, const thread_caller& caller)
{
    CHECK_MESSAGE(caller.status() == "502", caller.received());
    const auto after = caller.answered_at() - run.signal();
    CHECK_MESSAGE(after < grace, after.count(), " us");
    CHECK_MESSAGE(after >= grace - grace / 6, after.count(), " us");
}

} // namespace

// Guards against a stop that counts from the moment at which a late loop learns of the signal.
TEST_CASE("entry stop: its steps count from the signal though the loop learns of it late")
{
    late_stop_run it{{.service_time = longer_than_grace, .route_timeout = seconds{30}}};
    auto& early = it.add_caller({.bytes = post_request("early"), .send_after = millis{-200}});
    auto& late = it.add_caller(
        {.bytes = post_request("late"), .connect_after = millis{2850}, .send_after = millis{3050}});
    it.run(millis{400});
    check_refused(it, late, "late");
    check_answered_at_end(it, early);
    CHECK(it.ended_after() > duration{0});
}

// Guards against requests that a late loop reads before the tick which forbids them.
TEST_CASE("entry stop: a request that a late loop reads after the last start is refused")
{
    late_stop_run it{{.service_time = millis{30}}};
    auto& served = it.add_caller({.bytes = post_request("served"),
                                  .connect_after = millis{2600},
                                  .send_after = millis{2700}});
    auto& late = it.add_caller(
        {.bytes = post_request("late"), .connect_after = millis{2700}, .send_after = millis{3100}});
    it.block(millis{2800}, millis{3200});
    it.run();
    CHECK(served.status() == "200");
    check_refused(it, late, "late");
}

// Guards against answers of the end that a late loop sends after the process is killed.
TEST_CASE("entry stop: a host whose loop is late answers all before the grace period ends")
{
    constexpr int callers = 6;
    for (const auto turn : {millis{200}, millis{300}}) {
        late_stop_run it{{.service_time = longer_than_grace, .route_timeout = seconds{30}}};
        std::vector<thread_caller*> all;
        all.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            all.push_back(&it.add_caller(
                {.bytes = post_request("r" + std::to_string(i)), .send_after = millis{1000}}));
        }
        it.slow_down(turn);
        it.run();
        for (const auto* caller : all) {
            check_answered_at_end(it, *caller);
        }
        CHECK(it.ended_after() > duration{0});
    }
}

// Guards against a late end of hosts that wait for what they cannot read: the server's side of a
// slow caller's answer is paused.
TEST_CASE(
    "entry stop: a host whose loop is late ends in time though an answer is being read slowly")
{
    constexpr std::size_t answer_bytes = 4'000'000;
    constexpr millis turn{300};
    constexpr int callers = 3;
    late_stop_run it{{.service_time = longer_than_grace,
                      .answer_bytes = answer_bytes,
                      .route_timeout = seconds{30},
                      .prompt_ids = "slow"}};
    auto& slow = it.add_caller({.bytes = post_request("slow"),
                                .send_after = millis{-800},
                                .bytes_per_second = 1'000,
                                .receive_buffer = 16 * 1024});
    std::vector<thread_caller*> all;
    all.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        all.push_back(&it.add_caller(
            {.bytes = post_request("r" + std::to_string(i)), .send_after = millis{1000}}));
    }
    it.slow_down(turn);
    it.run();
    CHECK(slow.status() == "200");
    for (const auto* caller : all) {
        check_answered_at_end(it, *caller);
    }
    CHECK(it.ended_after() > duration{0});
}

// Guards against answers that are given up though all of their bytes had come to the host.
TEST_CASE("entry stop: a response that has come to a late host reaches its caller")
{
    constexpr std::size_t answer_bytes = 120'000;
    constexpr millis turn{100};
    late_stop_run it{{.service_time = millis{1'500},
                      .answer_bytes = answer_bytes,
                      .retry = retry_policy::idempotent,
                      .route_timeout = seconds{30}}};
    auto& caller = it.add_caller({.bytes = post_request("a"), .send_after = millis{1000}});
    it.slow_down(turn);
    it.run();
    CHECK_MESSAGE(caller.status() == "200", caller.received());
    CHECK(caller.received().size() > answer_bytes);
    CHECK(it.ended_after() > duration{0});
}

// Guards against answers that are cut at the end although there is time left to send them.
TEST_CASE("entry stop: a caller that reads slowly gets its answer until just before the kill")
{
    constexpr std::size_t answer_bytes = 12'000'000;
    constexpr millis shortly_before_kill{130};
    // The host holds all of the answer, or reads it from the server while the caller does.
    for (const auto buffer : {2 * answer_bytes, std::size_t{256} * 1024}) {
        late_stop_run it{{.service_time = millis{30},
                          .answer_bytes = answer_bytes,
                          .route_timeout = seconds{30},
                          .answer_buffer = buffer}};
        auto& slow = it.add_caller({.bytes = post_request("slow"),
                                    .send_after = millis{-200},
                                    .bytes_per_second = 1'000'000,
                                    .receive_buffer = 64 * 1024});
        it.run();
        CHECK(slow.status() == "200");
        CHECK(it.ended_after() >= grace - shortly_before_kill);
        CHECK(it.ended_after() < grace);
        CHECK(slow.received_by(it.signal() + it.ended_after()) >
              slow.received_by(it.signal() + grace - 2 * shortly_before_kill));
    }
}

// Guards against a process that ends while the system still sends an answer, and against one that
// waits for the kill though all answers have been received.
TEST_CASE("entry stop: it ends soon after the last answer has left the system's buffers")
{
    constexpr std::size_t answer_bytes = 400'000;
    constexpr millis look_late{50};
    constexpr millis soon{350};
    late_stop_run it{{.service_time = millis{1'900}, .answer_bytes = answer_bytes}};
    // It takes 3 s, longer than a connection is kept for a caller that has got its answer.
    auto& last = it.add_caller({.bytes = post_request("last"),
                                .send_after = millis{0},
                                .bytes_per_second = answer_bytes / 3,
                                .receive_buffer = 16 * 1024});
    it.run();
    CHECK(last.status() == "200");
    CHECK(last.received().size() > answer_bytes);
    CHECK(it.ended_after() > last.last_byte_at() - it.signal() - look_late);
    CHECK(it.ended_after() < last.last_byte_at() - it.signal() + soon);
}

// Guards against connections that are closed as idle while a request waits unread for a late loop.
TEST_CASE("entry stop: a connection on which a request waits unread is not idle")
{
    constexpr millis connect_after{2400};
    late_stop_run it{{.service_time = millis{30}}};
    std::vector<thread_caller*> all;
    for (const auto after : {millis{2740}, millis{2760}, millis{2780}, millis{2800}}) {
        all.push_back(&it.add_caller({.bytes = post_request("r" + std::to_string(after.count())),
                                      .connect_after = connect_after,
                                      .send_after = after}));
    }
    // The second block and the tick after it, which closes idle connections, are in one turn.
    it.block(millis{2660}, millis{2720});
    it.block(millis{2661}, millis{2850});
    it.run();
    for (const auto* caller : all) {
        const bool answered = caller->status() == "200" || caller->status() == "503";
        CHECK_MESSAGE(answered, caller->received(), " broken ", caller->broken());
    }
}
