#include "quincewing/net/event_loop.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace quincewing;

// Guards against deadlines that pass early on a host whose loop is behind.
TEST_CASE("timer: it does not fire early when it is set late in a turn of the loop")
{
    constexpr millis work{150};
    constexpr millis delay{200};
    // The loop's clock is coarser than the process's.
    constexpr millis clock_granularity{10};
    event_loop loop;
    // Ends the loop's waits, after which it looks for due timers.
    timer tick{loop, [] {}};
    tick.every(millis{10});
    instant set_at{};
    duration waited{};
    timer delayed{loop, [&] {
                      waited = monotonic_now() - set_at;
                      loop.stop();
                  }};
    timer turn{loop, [&] {
                   std::this_thread::sleep_for(work);
                   set_at = monotonic_now();
                   delayed.once(delay);
               }};
    turn.once(millis{20});
    loop.run();
    CHECK(waited >= delay - clock_granularity);
}
