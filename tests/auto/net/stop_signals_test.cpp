#include "quincewing/net/stop_signals.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace quincewing;

// Guards against a stop that counts from the moment at which a busy loop learns of the signal.
TEST_CASE("stop signals: the time of the signal is known though the loop is busy")
{
    constexpr millis before_signal{100};
    constexpr millis busy_after_signal{300};
    constexpr millis tolerance{50};
    event_loop loop;
    instant sent_at{};
    stop_signal got;
    duration learned_after{};
    stop_signals signals{loop, [&](const stop_signal& it) {
                             got = it;
                             learned_after = monotonic_now() - sent_at;
                             loop.stop();
                         }};
    timer turn{loop, [&] {
                   std::this_thread::sleep_for(before_signal);
                   sent_at = monotonic_now();
                   raise(SIGTERM);
                   const auto until = monotonic_now() + busy_after_signal;
                   while (monotonic_now() < until) {
                       std::this_thread::sleep_for(millis{5});
                   }
               }};
    turn.once(millis{10});
    loop.run();
    CHECK(learned_after >= busy_after_signal);
    CHECK(got.sent_after <= got.received_at);
    CHECK(got.received_at - sent_at < tolerance);
    CHECK(sent_at - got.sent_after < tolerance);
}

// Guards against a stop that begins anew with each signal.
TEST_CASE("stop signals: the first of several counts")
{
    event_loop loop;
    std::vector<stop_signal> got;
    stop_signals signals{loop, [&](const stop_signal& it) { got.push_back(it); }};
    timer first{loop, [] { raise(SIGTERM); }};
    timer second{loop, [] { raise(SIGINT); }};
    timer end{loop, [&] { loop.stop(); }};
    first.once(millis{10});
    second.once(millis{60});
    end.once(millis{120});
    loop.run();
    REQUIRE(got.size() == 2);
    CHECK(got[0].received_at == got[1].received_at);
}
