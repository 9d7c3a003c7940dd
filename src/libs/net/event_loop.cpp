#include "quincewing/net/event_loop.hpp"

#include <atomic>
#include <cstdio>
#include <ctime>
#include <event2/event_struct.h>

namespace quincewing {

namespace {

std::atomic<duration::rep> last_reading_us{0};

} // namespace

event_loop::event_loop()
    : on_failure([](const char* where, const char* error) {
          std::fprintf(stderr, "callback_failed in=\"%s\" error=\"%s\"\n", where, error);
      }),
      base_(event_base_new())
{
}

event_loop::~event_loop()
{
    event_base_free(base_);
}

void event_loop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base_);
}

// Leases rely on a clock that goes on while the process is frozen or the machine suspended;
// CLOCK_MONOTONIC stands still in a suspension.
instant monotonic_now()
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    const duration now{it.tv_sec * 1'000'000LL + it.tv_nsec / 1'000};
    last_reading_us.store(now.count(), std::memory_order_relaxed);
    return instant{now};
}

instant last_clock_reading()
{
    return instant{duration{last_reading_us.load(std::memory_order_relaxed)}};
}

timeval to_timeval(duration it)
{
    return {.tv_sec = it.count() / 1'000'000, .tv_usec = it.count() % 1'000'000};
}

struct timer::state
{
    event_loop& loop;
    event it{};
    std::function<void()> fire;
    duration period{};
    bool soon_pending{};
};

// An exception must not pass through the library's functions, which would be left half done.
timer::timer(event_loop& loop, std::function<void()> fire)
    : state_(std::make_unique<state>(state{.loop = loop, .fire = std::move(fire)}))
{
    const auto call = [](evutil_socket_t, short, void* arg) {
        auto& self = *static_cast<state*>(arg);
        self.soon_pending = false;
        if (self.period > duration{0}) {
            const auto tv = to_timeval(self.period);
            event_add(&self.it, &tv);
        }
        // The function may replace itself.
        const auto fire = self.fire;
        self.loop.guard("timer", fire);
    };
    event_assign(&state_->it, loop.base(), -1, 0, call, state_.get());
}

timer::~timer()
{
    event_del(&state_->it);
}

void timer::set(std::function<void()> fire)
{
    state_->fire = std::move(fire);
}

// The event base counts from the time at which the turn of its loop began, which may be long ago
// when there are many events in a turn.
void timer::once(duration after)
{
    state_->period = duration{0};
    event_base_update_cache_time(event_get_base(&state_->it));
    const auto tv = to_timeval(after);
    event_add(&state_->it, &tv);
}

void timer::every(duration period)
{
    state_->period = period;
    const auto tv = to_timeval(period);
    event_add(&state_->it, &tv);
}

void timer::soon()
{
    if (state_->soon_pending) {
        return;
    }
    state_->soon_pending = true;
    event_active(&state_->it, EV_TIMEOUT, 0);
}

void timer::cancel()
{
    event_del(&state_->it);
}

} // namespace quincewing
