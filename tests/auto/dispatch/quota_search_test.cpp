#include "quincewing/dispatch/quota_leases.hpp"
#include "quincewing/dispatch/rate_bucket.hpp"

#include "test_options.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Hosts that differ in whom they ask for a server's slots, with pauses, restarts, cuts and late
/// messages. All of them send the server as much as their quotas allow.
namespace quincewing {

namespace {

constexpr millis step{10};
constexpr seconds schedule_time{30};
constexpr double limit = 40;
// Stated target: in any window of 4 s one and a half times what the limit allows, and 5 requests.
constexpr seconds window{4};
constexpr double allowed = 1.5 * limit * 4 + 5;
// The product applies its quotas anew before a slot is given out, if its last tick is older.
constexpr millis late_tick{100};
constexpr std::uint64_t schedules = 300;

const server_group group{.service = service_id{"orders"}, .keyed_server = {}};

enum class fault
{
    none,
    /// Hosts lease a quota to whoever asks.
    leases_to_all,
    /// Dispatchers count a lease from its reply.
    counts_from_reply,
    /// A host that has started lends at once.
    lends_after_start
};

struct quota_message
{
    host_id from;
    std::size_t from_index{};
    /// The process that it is for; another one at its place drops it.
    host_id to;
    std::size_t to_index{};
    instant at;
    bool is_reply{};
    std::uint64_t number{};
    std::vector<server_group> groups;
};

struct simulated_host
{
    simulated_host(std::size_t index, std::uint64_t start_number, instant started)
        : index(index), start_number(start_number), lender(started), bucket(started)
    {
    }

    std::size_t index;
    std::uint64_t start_number;
    quota_lender lender;
    /// One for each asking host, with the fault leases_to_all.
    std::map<host_id, quota_lender> other_lenders;
    quota_borrower borrower;
    rate_bucket bucket;
    instant paused_until;
    instant last_tick;
    instant next_request;
    /// Hosts that this one does not ask for slots, and until when.
    std::map<std::size_t, instant> passed_over;
};

class quota_simulation
{
public:
    quota_simulation(std::uint64_t seed, fault mutation)
        : random_(seed), mutation_(mutation), count_(static_cast<std::size_t>(any(2, 9)))
    {
        for (std::size_t i = 0; i < count_; ++i) {
            hosts_.push_back(std::make_unique<simulated_host>(i, ++starts_, now_));
        }
    }

    /// What went wrong; nullopt if nothing did.
    std::optional<std::string> run()
    {
        for (const auto end = now_ + schedule_time; now_ < end; now_ += step) {
            disturb();
            // A host that wakes up may give out slots before it hears of anything.
            const bool gives_first = any(0, 1) == 0;
            for (auto& it : hosts_) {
                if (now_ < it->paused_until) {
                    continue;
                }
                if (gives_first) {
                    send_requests(*it);
                }
                deliver_to(*it);
                tick(*it);
                send_requests(*it);
            }
            if (auto broken = check()) {
                return broken;
            }
        }
        return std::nullopt;
    }
    [[nodiscard]] std::size_t requests() const { return requests_; }

private:
    int any(int least, int most)
    {
        return boost::random::uniform_int_distribution<int>{least, most}(random_);
    }
    bool once_in(millis time) { return any(1, static_cast<int>(time / step)) == 1; }
    std::size_t any_host()
    {
        return static_cast<std::size_t>(any(0, static_cast<int>(count_) - 1));
    }
    static host_id id_of(const simulated_host& it)
    {
        return host_id{"h" + std::to_string(it.index) + "#" + std::to_string(it.start_number)};
    }
    [[nodiscard]] duration lease_time() const { return quota_lease_time(count_); }

    void disturb()
    {
        if (once_in(millis{1500})) {
            hosts_[any_host()]->paused_until = now_ + millis{any(20, 2500)};
        }
        if (once_in(millis{700})) {
            hosts_[any_host()]->passed_over[any_host()] = now_ + seconds{2};
        }
        if (once_in(millis{4000})) {
            const auto i = any_host();
            hosts_[i] = std::make_unique<simulated_host>(i, ++starts_, now_);
        }
        if (once_in(millis{3000})) {
            cut_between_ = {any_host(), any_host()};
            cut_until_ = now_ + millis{any(100, 3000)};
        }
    }

    /// The host of the first index that it does not pass over.
    [[nodiscard]] std::size_t chosen_by(const simulated_host& it) const
    {
        for (std::size_t i = 0; i < count_; ++i) {
            const auto found = it.passed_over.find(i);
            if (i == it.index || found == it.passed_over.end() || now_ >= found->second) {
                return i;
            }
        }
        return it.index;
    }

    [[nodiscard]] bool is_dispatcher(std::size_t index) const
    {
        return std::any_of(hosts_.begin(), hosts_.end(),
                           [&](const auto& it) { return chosen_by(*it) == index; });
    }

    void tick(simulated_host& it)
    {
        it.last_tick = now_;
        it.lender.set_lease_time(mutation_ == fault::lends_after_start ? duration{0}
                                                                       : lease_time());
        it.lender.tick(now_);
        it.borrower.tick(now_);
        if (now_ >= it.next_request) {
            request_quotas(it);
        }
        apply_quotas(it);
    }

    void request_quotas(simulated_host& it)
    {
        it.next_request = now_ + quota_renew_interval(count_);
        const std::set<server_group> groups =
            is_dispatcher(it.index) ? std::set<server_group>{group} : std::set<server_group>{};
        if (groups.empty() && it.borrower.requested().empty()) {
            return;
        }
        const auto extra =
            mutation_ == fault::counts_from_reply ? duration{millis{500}} : duration{0};
        const auto number = it.borrower.on_request(now_, groups, lease_time() + extra);
        for (std::size_t to = 0; to < count_; ++to) {
            if (to != it.index) {
                send({.from = id_of(it),
                      .from_index = it.index,
                      .to = id_of(*hosts_[to]),
                      .to_index = to,
                      .number = number,
                      .groups = {groups.begin(), groups.end()}});
            }
        }
    }

    void send(quota_message it)
    {
        const std::set<std::size_t> ends{it.from_index, it.to_index};
        const bool cut = now_ < cut_until_ && ends == cut_between_;
        if (cut || any(1, 20) == 1) {
            return;
        }
        it.at = now_ + millis{any(0, 9) == 0 ? any(1, 900) : any(1, 20)};
        messages_.push_back(std::move(it));
    }

    void deliver_to(simulated_host& to)
    {
        std::vector<quota_message> due;
        std::erase_if(messages_, [&](const auto& it) {
            const bool now = it.to_index == to.index && it.at <= now_;
            if (now) {
                due.push_back(it);
            }
            return now;
        });
        for (const auto& it : due) {
            if (it.to != id_of(to)) {
                continue;
            }
            if (it.is_reply) {
                to.borrower.on_reply(it.from, it.number, it.groups);
            } else {
                answer(to, it);
            }
        }
    }

    void answer(simulated_host& to, const quota_message& it)
    {
        auto& lender = mutation_ == fault::leases_to_all
                           ? to.other_lenders.try_emplace(it.from, instant{}).first->second
                           : to.lender;
        const auto leased =
            lender.on_request(now_, it.from, it.number, it.groups, lease_time(),
                              [&](const auto&) { return chosen_by(to) == it.from_index; });
        send({.from = id_of(to),
              .from_index = to.index,
              .to = it.from,
              .to_index = it.from_index,
              .is_reply = true,
              .number = it.number,
              .groups = leased});
    }

    [[nodiscard]] double share_of(const simulated_host& it) const
    {
        return quota_share({.known_hosts = count_,
                            .own = it.lender.may_use(now_, group),
                            .borrowed = it.borrower.count(now_, group)});
    }

    void apply_quotas(simulated_host& it) const
    {
        it.bucket.set_rate(now_, request_rate{limit * share_of(it)});
    }

    void send_requests(simulated_host& it)
    {
        if (now_ - it.last_tick > late_tick) {
            apply_quotas(it);
        }
        while (it.bucket.wait(now_) == duration{0}) {
            it.bucket.take(now_);
            sent_at_.push_back(now_);
            ++requests_;
        }
    }

    std::optional<std::string> check()
    {
        double sum = 0;
        for (const auto& it : hosts_) {
            sum += share_of(*it);
        }
        while (!sent_at_.empty() && sent_at_.front() <= now_ - window) {
            sent_at_.pop_front();
        }
        const auto at = " after " + std::to_string(now_.time_since_epoch() / millis{1}) + " ms";
        if (sum > 1 + 1e-9) {
            return "hosts use " + std::to_string(sum) + " of the limit" + at;
        }
        if (static_cast<double>(sent_at_.size()) > allowed) {
            return std::to_string(sent_at_.size()) + " requests in 4 s" + at;
        }
        return std::nullopt;
    }

    boost::random::mt19937_64 random_;
    fault mutation_;
    std::size_t count_;
    instant now_{seconds{100}};
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::vector<quota_message> messages_;
    std::uint64_t starts_{};
    std::set<std::size_t> cut_between_;
    instant cut_until_;
    std::deque<instant> sent_at_;
    std::size_t requests_{};
};

std::uint64_t first_broken(fault mutation)
{
    const auto first = testing::options().seed;
    for (auto seed = first; seed < first + testing::schedules_or(schedules); ++seed) {
        if (const auto broken = quota_simulation{seed, mutation}.run()) {
            MESSAGE("seed " << seed << ": " << *broken);
            return seed;
        }
    }
    return 0;
}

} // namespace

} // namespace quincewing

using namespace quincewing;

// Guards against two dispatchers that each use the whole limit of one server.
TEST_CASE("quota search: hosts that ask different dispatchers keep to a server's limit")
{
    CHECK(first_broken(fault::none) == 0);
}

// Guards against quotas that are kept to, but that nobody gets.
TEST_CASE("quota search: beside the faults most of the limit is used")
{
    std::size_t sum = 0;
    constexpr std::uint64_t plays = 20;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        quota_simulation play{testing::options().seed + seed, fault::none};
        REQUIRE_FALSE(play.run());
        sum += play.requests();
    }
    const auto most = limit * static_cast<double>(schedule_time / seconds{1}) * plays;
    MESSAGE("used " << static_cast<double>(sum) / most << " of the limit");
    CHECK(static_cast<double>(sum) >= 0.5 * most);
}

TEST_CASE("quota search mutation: a host that leases a quota to all who ask is found")
{
    CHECK(first_broken(fault::leases_to_all) != 0);
}

TEST_CASE("quota search mutation: leases that end later at the dispatcher are found")
{
    CHECK(first_broken(fault::counts_from_reply) != 0);
}

TEST_CASE("quota search mutation: a host that lends at once after its start is found")
{
    CHECK(first_broken(fault::lends_after_start) != 0);
}
