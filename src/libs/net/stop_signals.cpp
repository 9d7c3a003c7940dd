#include "quincewing/net/stop_signals.hpp"

#include "quincewing/base/invariant.hpp"

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace quincewing {

namespace {

// Written by the signal handler, read by the loop. 0: none yet.
std::atomic<duration::rep> sent_after_us{0};
std::atomic<duration::rep> received_at_us{0};
std::atomic<int> wake_fd{-1};

// The loop may be busy for long before it learns of the signal, but a process that runs is
// interrupted at once: only what it did before the signal can lie before its last clock reading.
// Of several signals the first one counts.
void on_signal(int)
{
    const auto before = last_clock_reading().time_since_epoch().count();
    if (received_at_us == 0) {
        sent_after_us = before;
        received_at_us = monotonic_now().time_since_epoch().count();
    }
    const auto ec = errno;
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(wake_fd, &one, sizeof one);
    errno = ec;
}

void set_handler(int number, struct sigaction& previous)
{
    struct sigaction action = {};
    action.sa_handler = on_signal;
    action.sa_flags = SA_RESTART;
    sigaddset(&action.sa_mask, SIGTERM);
    sigaddset(&action.sa_mask, SIGINT);
    sigaction(number, &action, &previous);
}

} // namespace

stop_signal stop_signal_now()
{
    const auto now = monotonic_now();
    return {.sent_after = now, .received_at = now};
}

stop_signals::stop_signals(event_loop& loop, std::function<void(const stop_signal&)> fire)
    : fire_(std::move(fire))
{
    wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    check_invariant(wake_fd >= 0, "the descriptor that wakes the loop at a stop signal");
    sent_after_us = 0;
    received_at_us = 0;
    const auto call = [](evutil_socket_t, short, void* arg) {
        static_cast<stop_signals*>(arg)->on_wake();
    };
    wake_ = event_new(loop.base(), wake_fd, EV_READ | EV_PERSIST, call, this);
    event_add(wake_, nullptr);
    set_handler(SIGTERM, previous_term_);
    set_handler(SIGINT, previous_interrupt_);
}

stop_signals::~stop_signals()
{
    sigaction(SIGTERM, &previous_term_, nullptr);
    sigaction(SIGINT, &previous_interrupt_, nullptr);
    event_free(wake_);
    close(wake_fd.exchange(-1));
}

void stop_signals::on_wake()
{
    std::uint64_t n = 0;
    if (read(wake_fd, &n, sizeof n) != sizeof n) {
        return;
    }
    fire_({.sent_after = instant{duration{sent_after_us}},
           .received_at = instant{duration{received_at_us}}});
}

} // namespace quincewing
