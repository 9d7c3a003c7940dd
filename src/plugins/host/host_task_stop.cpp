#include "quincewing/host/host_task.hpp"

#include <algorithm>
#include <utility>

/// How this host leaves: every request that it has read gets an answer before the process ends.
namespace quincewing {

namespace {

// The balancer knows of other hosts by now.
constexpr millis retry_elsewhere_after{100};
// A process that was suspended runs its timers before it reads its sockets, and one turn of the
// loop reads only a part of a long answer.
constexpr int turns_of_last_reads = 3;

} // namespace

void host_task::stop(const stop_signal& signal, std::function<void()> done)
{
    const auto now = monotonic_now();
    stop_ = make_stop_schedule(signal, settings_.stop_within, settings_.stop_notice);
    stopped_ = std::move(done);
    core_.leave(now, effects_);
    work_timer_.soon();
}

void host_task::stop_now()
{
    if (stop_) {
        stop_ = end_at_once(*stop_, monotonic_now());
    }
}

// Before that the balancer would bring the callers back to this host.
bool host_task::ends_connections() const
{
    return stop_ && (refusing_ || monotonic_now() > stop_->noticed_at);
}

// Asks the clock, as a tick may be late. What is read in the second half of the stop is begun only
// if nothing but its deadline could end it.
bool host_task::may_begin(const exchange& it, instant at) const
{
    if (!stop_) {
        return true;
    }
    if (refusing_ || at >= stop_->refuse_at) {
        return false;
    }
    return it.started_at < stop_->begin_until || it.request.deadline <= stop_->answer_all_at;
}

void host_task::advance_stop(instant now)
{
    if (!stop_ || !stopped_) {
        return;
    }
    if (now >= stop_->refuse_at) {
        refuse_waiting(now);
    }
    const bool finished = now > stop_->noticed_at && core_.idle() && open_.empty();
    if (!finished && now < stop_->answer_all_at) {
        return;
    }
    if (!finished && reads_last()) {
        return;
    }
    refusing_ = true;
    answer_all();
    const auto done = std::exchange(stopped_, nullptr);
    done();
}

bool host_task::reads_last()
{
    if (last_reads_ == turns_of_last_reads || !answers_unread()) {
        return false;
    }
    ++last_reads_;
    last_reads_timer_.once(duration{0});
    return true;
}

bool host_task::answers_unread() const
{
    if (open_.empty()) {
        return false;
    }
    return peers_.bytes_unread() || std::any_of(pools_.begin(), pools_.end(), [](const auto& it) {
               return it.second->answers_unread();
           });
}

// A request that no server has can be taken by another host, the sooner the better.
void host_task::refuse_waiting(instant now)
{
    refusing_ = true;
    core_.refuse_waiting(now, refusal::shutting_down, retry_elsewhere_after, effects_);
    work();
    const auto open = open_;
    for (const auto& [id, it] : open) {
        if (!it->head_sent && !may_have_run(*it)) {
            refuse_stopping(it);
        }
    }
}

void host_task::refuse_stopping(const exchange_ptr& it)
{
    answer(it, {.why = refusal::shutting_down, .retry_after = retry_elsewhere_after});
}

// The time is over. An answer that has begun ends as one that is not whole.
void host_task::answer_all()
{
    const auto open = open_;
    for (const auto& [id, it] : open) {
        if (it->head_sent) {
            it->on_end(false);
            continue;
        }
        answer(it, {.verdict = may_have_run(*it) ? verdict::unknown : verdict::not_run,
                    .why = refusal::shutting_down,
                    .retry_after = retry_elsewhere_after});
    }
}

bool host_task::may_have_run(const exchange& it) const
{
    return it.handed_over || running_.contains(it.id) || core_.has_request(it.id);
}

} // namespace quincewing
