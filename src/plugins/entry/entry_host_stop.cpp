#include "entry_host_tasks.hpp"

#include "quincewing/logging/event_log.hpp"

#include <algorithm>
#include <utility>

/// entry_host: its stop.
namespace quincewing {

namespace {

// How often a host that ends looks whether its answers have left it.
constexpr millis sent_look_period{20};
// Messages to other hosts leave the socket's buffer in this time.
constexpr millis time_for_last_messages{150};

} // namespace

void entry_host::tasks::log_stop(bool whole) const
{
    const auto signalled = stop_notes.signal.received_at;
    log_event("stopped", {{"host", self.value},
                          {"whole", whole ? "yes" : "no"},
                          {"took", monotonic_now() - signalled},
                          {"tick_delay", stop_notes.tick_delay},
                          {"last_started", listener.last_started() - signalled}});
}

void entry_host::tasks::log_ends()
{
    for (const auto& it : services.ends.take()) {
        log_event("ends_at_stop", {{"reason", it.end.reason},
                                   {"at_server", it.end.at_server ? "yes" : "no"},
                                   {"status", it.end.status},
                                   {"requests", it.requests}});
    }
}

void entry_host::tasks::continue_shutdown(instant now)
{
    if (now >= stop_steps.close_idle) {
        listener.close_idle_connections();
    }
    if (now >= stop_steps.refuse_unsent) {
        look_for_end();
    }
}

bool entry_host::tasks::nothing_open() const
{
    return listener.idle() && relays.idle() && coordination.stopped() && record_removed;
}

void entry_host::tasks::look_for_end()
{
    if (!on_stopped) {
        return;
    }
    const auto now = monotonic_now();
    const auto late = delays.largest();
    const auto answer_rest = answer_rest_at(stop_steps, late);
    const auto end = end_at(stop_steps, late);
    const bool whole = !stop_notes.rest_answered && nothing_open();
    if (!whole && !stop_notes.rest_answered && now >= answer_rest) {
        stop_notes.rest_answered = true;
        // A process that was suspended runs its timers before it reads its sockets.
        listener.read_responses();
        listener.answer_unfinished();
        // Answers are written in the next turn of the loop.
        end_timer.once(sent_look_period);
        return;
    }
    const bool over = whole || stop_notes.rest_answered;
    if (!over || !listener.all_sent()) {
        stop_notes.all_sent_at.reset();
    } else if (!stop_notes.all_sent_at) {
        stop_notes.all_sent_at = now;
    }
    const auto& sent_at = stop_notes.all_sent_at;
    if (now >= end || (sent_at && now - *sent_at >= time_for_last_messages)) {
        end_stop(whole);
        return;
    }
    end_timer.once(over ? duration{sent_look_period} : answer_rest - now);
}

void entry_host::tasks::end_stop(bool whole)
{
    listener.cut_answers();
    log_stop(whole);
    log_ends();
    std::exchange(on_stopped, nullptr)();
}

std::size_t entry_host::unsent_bytes() const
{
    return tasks_->listener.unsent_bytes();
}

void entry_host::stop(const stop_signal& signal, std::function<void()> done)
{
    auto& it = *tasks_;
    if (it.stopping) {
        return;
    }
    const auto now = monotonic_now();
    it.stopping = true;
    it.stop_steps = make_entry_stop_schedule(signal, it.settings.bounds.grace);
    it.on_stopped = std::move(done);
    it.stop_notes = {.signal = signal};
    (void)it.services.ends.take();
    log_event("stopping", {{"host", it.self.value},
                           {"sent_after", now - signal.sent_after},
                           {"received", now - signal.received_at}});
    it.listener.set_stopping();
    it.listener.set_last_start(it.stop_steps.refuse_unsent);
    it.end_timer.once(std::max(it.stop_steps.answer_rest - now, duration{0}));
    it.refusal_timer.once(std::max(it.stop_steps.refuse_unsent - now, duration{0}));
    it.coordination.stop(now);
    it.dispatch.on_host_leaving(it.self);
    it.peers.send_to_all(host_leaving{});
    it.announcer.stop([&it] { it.record_removed = true; });
}

} // namespace quincewing
