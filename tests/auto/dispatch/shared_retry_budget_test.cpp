#include "quincewing/dispatch/shared_retry_budget.hpp"

#include "test_options.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <iostream>
#include <random>
#include <vector>

using namespace quincewing;

namespace {

constexpr double share = 0.2;
constexpr double extra = 56;
constexpr seconds window{10};

/// The retries that the fleet may send, against those that its hosts allow themselves.
class budget_fleet
{
public:
    budget_fleet(instant now, std::size_t hosts)
        : budgets_(hosts, shared_retry_budget{options(), now})
    {
    }

    void request(instant now, std::size_t host)
    {
        budgets_[host].on_request(now);
        requests_.push_back(now);
    }

    void retry(instant now, std::size_t host, std::size_t hosts_it_knows)
    {
        if (budgets_[host].try_spend(now, hosts_it_knows)) {
            retries_.push_back(now);
        }
        check(now);
    }

    void restart(instant now, std::size_t host)
    {
        budgets_[host] = shared_retry_budget{options(), now};
    }

    /// The most retries in a window beyond what its requests, or those of the window before,
    /// allow.
    [[nodiscard]] double worst_excess() const { return worst_excess_; }
    [[nodiscard]] std::size_t retries() const { return total_; }
    [[nodiscard]] std::size_t hosts() const { return budgets_.size(); }

private:
    static shared_retry_budget_options options()
    {
        return {.share = share, .extra = extra, .window = window};
    }

    static std::size_t count(const std::deque<instant>& of, instant from, instant to)
    {
        return static_cast<std::size_t>(
            std::count_if(of.begin(), of.end(), [&](instant it) { return it > from && it <= to; }));
    }

    void check(instant now)
    {
        if (retries_.empty() || retries_.back() != now) {
            return;
        }
        ++total_;
        while (requests_.front() <= now - 2 * window) {
            requests_.pop_front();
        }
        while (retries_.front() <= now - window) {
            retries_.pop_front();
        }
        const auto requests = std::max({count(requests_, now - window, now),
                                        count(requests_, now - window * 3 / 2, now - window / 2),
                                        count(requests_, now - 2 * window, now - window)});
        const auto allowed = share * static_cast<double>(requests) + extra;
        worst_excess_ = std::max(worst_excess_, static_cast<double>(retries_.size()) - allowed);
    }

    std::vector<shared_retry_budget> budgets_;
    std::deque<instant> requests_;
    std::deque<instant> retries_;
    std::size_t total_{};
    double worst_excess_{-extra};
};

struct load_plan
{
    std::size_t hosts{8};
    duration run_time{seconds{90}};
    /// Mean times between requests, and between tries to send a request once more.
    duration request_period{millis{60}};
    duration retry_period{millis{20}};
    /// Until then nothing is sent once more.
    duration retries_from{seconds{60}};
    /// Hosts restart this often; zero: never.
    duration restart_period{};
};

double play(const load_plan& plan)
{
    std::minstd_rand random{static_cast<std::uint32_t>(testing::options().seed)};
    const instant start{seconds{100}};
    budget_fleet fleet{start, plan.hosts};
    const auto chance = [&](duration period, duration step) {
        return std::bernoulli_distribution{std::min(
            1.0, static_cast<double>(step.count()) / static_cast<double>(period.count()))}(random);
    };
    constexpr duration step{millis{5}};
    for (auto now = start; now < start + plan.run_time; now += step) {
        const auto host = std::uniform_int_distribution<std::size_t>{0, plan.hosts - 1}(random);
        if (chance(plan.request_period, step)) {
            fleet.request(now, host);
        }
        if (now >= start + plan.retries_from && chance(plan.retry_period, step)) {
            fleet.retry(now, host, plan.hosts);
        }
        if (plan.restart_period > duration{0} && chance(plan.restart_period, step)) {
            fleet.restart(now, host);
        }
    }
    std::cout << "  " << fleet.retries() << " retries, " << fleet.worst_excess()
              << " beyond the budget in the worst window\n";
    CHECK(fleet.retries() > 0);
    return fleet.worst_excess();
}

} // namespace

// Guards against retries that hosts save up in quiet times and spend in one window.
TEST_CASE("retry budget: a fleet's retries after a quiet time stay within it")
{
    CHECK(play({}) <= 0);
    CHECK(play({.hosts = 72, .request_period = millis{30}, .retry_period = millis{5}}) <= 0);
}

// Guards against hosts that have the fixed part of the budget anew after each start.
TEST_CASE("retry budget: a fleet's retries stay within it while hosts restart")
{
    CHECK(play({.retries_from = seconds{5}, .restart_period = millis{300}}) <= 0);
}
