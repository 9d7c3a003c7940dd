#include "quincewing/deployment/server_conditions.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace quincewing;

namespace {

constexpr std::size_t host_count = 5;
const backend_server process{.id = server_id{"s0"}, .start = server_start{1}};

/// Hosts that get answers of one server, restart, and lose sight of each other.
class condition_run
{
public:
    explicit condition_run(std::uint64_t seed) : random_(seed) {}

    void trouble()
    {
        for (int i = 0; i < 200; ++i) {
            switch (any(0, 6)) {
            case 0:
                said_ = {.leaving = said_.leaving || any(0, 40) == 0};
                break;
            case 1:
                said_ = {.rate_limit = request_rate{any(1, 8) / 2.0}, .leaving = said_.leaving};
                break;
            case 2:
                split_ = static_cast<std::size_t>(any(0, host_count - 1));
                told_anew_ = true;
                break;
            case 3:
                hosts_[random_host()] = server_conditions{};
                told_anew_ = true;
                break;
            default:
                answer();
            }
            pass(millis{any(1, 120)});
        }
    }

    void calm()
    {
        split_ = 0;
        told_anew_ = true;
        for (int i = 0; i < 6; ++i) {
            answer();
            pass(millis{400});
        }
    }

    /// Empty, or which host knows something else than the server says.
    [[nodiscard]] std::string disagreement() const
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            if (hosts_[i].rate_limit(process) != said_.rate_limit ||
                hosts_[i].leaving(process) != said_.leaving) {
                return "host " + std::to_string(i);
            }
        }
        return {};
    }

private:
    int any(int first, int last)
    {
        return boost::random::uniform_int_distribution<int>{first, last}(random_);
    }
    std::size_t random_host() { return static_cast<std::size_t>(any(0, host_count - 1)); }
    [[nodiscard]] bool in_reach(std::size_t a, std::size_t b) const
    {
        return (a < split_) == (b < split_);
    }
    void answer()
    {
        const auto host = random_host();
        const auto sent_at = now_ + millis{1};
        const auto notice = said_;
        later(millis{any(2, 150)}, [this, host, sent_at, notice] {
            hosts_[host].on_notice(now_, process, sent_at, notice);
        });
    }
    void later(duration after, std::function<void()> what)
    {
        events_.emplace(now_ + after, std::move(what));
    }
    void tell(std::size_t from, const server_condition_report& report)
    {
        for (std::size_t to = 0; to < host_count; ++to) {
            if (to != from && in_reach(from, to)) {
                later(millis{2}, [this, to, report] { hosts_[to].on_report(now_, report); });
            }
        }
    }
    void tell_digest(std::size_t from)
    {
        for (std::size_t to = 0; to < host_count; ++to) {
            if (to == from || !in_reach(from, to)) {
                continue;
            }
            later(millis{2}, [this, from, to, digest = hosts_[from].digest()] {
                if (hosts_[to].on_digest(now_, digest)) {
                    hosts_[to].on_report(now_, hosts_[from].report_all(now_));
                }
            });
        }
    }
    void pass(duration time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += millis{1};
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto what = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                what();
            }
            for (std::size_t i = 0; i < host_count; ++i) {
                if (told_anew_ || now_ >= next_digest_[i]) {
                    tell_digest(i);
                    next_digest_[i] = now_ + seconds{1};
                }
                if (const auto report = hosts_[i].take_findings(now_)) {
                    tell(i, *report);
                }
            }
            told_anew_ = false;
        }
    }

    boost::random::mt19937_64 random_;
    instant now_{seconds{100}};
    server_notice said_;
    std::vector<server_conditions> hosts_ = std::vector<server_conditions>(host_count);
    /// Hosts below this number are out of reach of the others; 0: all are in reach.
    std::size_t split_{};
    std::vector<instant> next_digest_ = std::vector<instant>(host_count);
    /// A link was made: digests are told at once.
    bool told_anew_{};
    std::multimap<instant, std::function<void()>> events_;
};

} // namespace

TEST_CASE("server conditions: all hosts know what the server says last, after any trouble")
{
    const auto schedules = testing::schedules_or(100);
    MESSAGE("seed " << testing::options().seed << ", schedules " << schedules);
    for (std::uint64_t i = 0; i < schedules; ++i) {
        CAPTURE(i);
        condition_run run{testing::options().seed + i};
        run.trouble();
        run.calm();
        CHECK(run.disagreement().empty());
    }
}
