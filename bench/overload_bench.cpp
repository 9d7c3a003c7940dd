#include "quincewing/admission/server_queue.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <vector>

/// One server's queue under open-loop load with callers that retry, in virtual time: goodput,
/// time of answers, attempts at the server. Prints its seed.
namespace {

using namespace quincewing;

constexpr long long second = 1'000'000;
constexpr long long length = 60 * second;
constexpr double mean_work_us = 10'000;
constexpr long long deadline_us = 500'000;
constexpr int caller_tries = 4;

struct figures
{
    double goodput{};
    double p99_ms{};
    double attempts_a_good{};
};

class overload
{
public:
    overload(queue_options options, double slots, double load, std::uint64_t seed)
        : queue_(options), slots_(slots), rate_(load * slots / mean_work_us), random_(seed)
    {
    }

    figures run()
    {
        at(gap(rate_), [this] { arrive(); });
        while (!events_.empty() && now_ < length) {
            auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.act();
        }
        std::sort(took_.begin(), took_.end());
        const auto p99 =
            took_.empty() ? 0.0 : static_cast<double>(took_[took_.size() * 99 / 100]) / 1000;
        return {.goodput = good_ / (slots_ / mean_work_us * length),
                .p99_ms = p99,
                .attempts_a_good = good_ > 0 ? sent_ / good_ : 0};
    }

private:
    struct event
    {
        long long when;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const event& it) const
        {
            return std::tie(when, order) > std::tie(it.when, it.order);
        }
    };
    struct attempt
    {
        long long begun{};
        int tries{};
    };

    long long gap(double rate)
    {
        return static_cast<long long>(boost::random::exponential_distribution<>{rate}(random_));
    }
    void at(long long after, std::function<void()> act)
    {
        events_.push({now_ + after, ++order_, std::move(act)});
    }
    instant now() const { return instant{duration{now_}}; }

    void arrive()
    {
        at(gap(rate_), [this] { arrive(); });
        attempt_once(1);
    }

    void attempt_once(int tries)
    {
        const request_id id{++last_id_};
        open_[id] = {.begun = now_, .tries = tries};
        const auto admitted =
            queue_.offer(now(), {.id = id, .deadline = now() + duration{deadline_us}});
        if (!admitted) {
            answered(id, false, admitted.error().retry_after.count());
            return;
        }
        pump();
    }

    void answered(request_id id, bool good, long long retry_after)
    {
        const auto it = open_.at(id);
        open_.erase(id);
        const auto took = now_ - it.begun;
        took_.push_back(took);
        if (good && took <= deadline_us) {
            good_ += 1;
        } else if (it.tries < caller_tries) {
            at(std::max(retry_after, 100'000LL), [this, n = it.tries + 1] { attempt_once(n); });
        }
    }

    // The server runs its slots at once; more than that only queue inside it.
    void pump()
    {
        while (const auto id = queue_.next(now())) {
            sent_ += 1;
            inside_.push(*id);
        }
        while (running_ < slots_ && !inside_.empty()) {
            const auto id = inside_.front();
            inside_.pop();
            running_ += 1;
            at(gap(1 / mean_work_us), [this, id] {
                running_ -= 1;
                queue_.finished(now(), id, completion::ok);
                answered(id, true, 0);
                pump();
            });
        }
        for (const auto id : queue_.remove_late(now())) {
            answered(id, false, queue_.drain_time().count());
        }
    }

    server_queue queue_;
    double slots_;
    double rate_;
    boost::random::mt19937_64 random_;
    std::priority_queue<event> events_;
    std::map<request_id, attempt> open_;
    std::queue<request_id> inside_;
    std::vector<long long> took_;
    long long now_{};
    std::uint64_t order_{};
    std::uint64_t last_id_{};
    double running_{};
    double good_{};
    double sent_{};
};

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::cout << "seed " << seed << ", deadline " << deadline_us / 1000 << " ms, " << caller_tries
              << " tries a caller\n";
    for (const double slots : {2.0, 4.0}) {
        const std::vector<std::pair<std::string, queue_options>> policies{
            {"quincewing", {.slots = slots, .cold_start_fraction = 1}},
            {"limit only", {.slots = slots, .cold_start_fraction = 1, .refuse_by_deadline = false}},
            {"no limit",
             {.slots = 1e6,
              .max_queued = 1'000'000,
              .cold_start_fraction = 1,
              .refuse_by_deadline = false}}};
        for (const double load : {0.5, 0.9, 1.2, 2.0}) {
            for (const auto& [name, options] : policies) {
                const auto it = overload{options, slots, load, seed}.run();
                std::cout << "slots " << slots << " load " << load << " " << name << ": goodput "
                          << it.goodput << " p99 " << it.p99_ms << " ms, sent for a good answer "
                          << it.attempts_a_good << "\n";
            }
        }
    }
}
