#include "quincewing/assignment/balance_planner.hpp"

#include "test_options.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace quincewing;

namespace {

const service_id keyed{"vesitila"};

/// Plays requests for keys against a table that the planner changes, and counts who gets what.
struct keyed_load
{
    explicit keyed_load(std::uint64_t seed, std::size_t servers) : random(seed)
    {
        for (std::size_t i = 0; i < servers; ++i) {
            const server_id id{"s" + std::to_string(i)};
            ready[id] = {.id = id,
                         .start = server_start{1},
                         .address = id.value,
                         .service = keyed,
                         .slots = 2};
        }
        apply();
    }
    void apply()
    {
        const auto moves =
            plan_moves({.table = table, .ready = ready, .load = load, .services = {keyed}}, {});
        moved += moves.size();
        for (const auto& it : moves) {
            move(it);
        }
    }
    void move(const planned_move& it)
    {
        std::vector<assigned_range> next;
        for (const auto& range : table.ranges) {
            if (range.keys.last < it.keys.first || it.keys.last < range.keys.first) {
                next.push_back(range);
                continue;
            }
            if (range.keys.first < it.keys.first) {
                next.push_back(range);
                next.back().keys.last = static_cast<key_number>(it.keys.first - 1);
            }
            if (it.keys.last < range.keys.last) {
                next.push_back(range);
                next.back().keys.first = static_cast<key_number>(it.keys.last + 1);
            }
        }
        next.push_back({.service = keyed,
                        .keys = it.keys,
                        .owner = {.id = it.to, .start = server_start{1}, .address = it.to.value},
                        .fence = 1});
        std::sort(next.begin(), next.end(),
                  [](const auto& a, const auto& b) { return a.keys.first < b.keys.first; });
        table.ranges = next;
    }
    /// Requests of so much time: a share for one key, the others skewed towards a few keys that
    /// lie close together.
    void run(duration time, double per_second, double hot_share, key_number hot)
    {
        constexpr millis step{250};
        for (const auto end = now + time; now < end; now += step) {
            const auto n = static_cast<int>(per_second / 4);
            for (int i = 0; i < n; ++i) {
                const bool is_hot = uniform() < hot_share;
                const auto near = 22000 + 3000 * uniform() * uniform();
                const auto far = 65535 * uniform();
                const auto key = is_hot ? hot : uniform() < 0.4 ? near : far;
                load.add(keyed, static_cast<key_number>(key), 1, now);
            }
            load.age(now);
            apply();
        }
    }
    double uniform() { return boost::random::uniform_01<>{}(random); }
    const server_id& owner(key_number key) { return table.find(keyed, key)->owner.id; }
    /// Requests a second at a server that are not for this key.
    double others(const server_id& id, key_number key)
    {
        double sum = 0;
        for (const auto& it : table.ranges) {
            if (it.owner.id == id) {
                sum += load.rate(keyed, it.keys);
            }
        }
        return sum - load.rate(keyed, {key, key});
    }

    boost::random::mt19937 random;
    instant now{seconds{100}};
    backend_servers ready;
    load_map load;
    assignment_table table;
    std::size_t moved{};
};

} // namespace

TEST_CASE("balance: a key that is too hot for any server has one almost to itself")
{
    const auto seed = testing::options().seed;
    MESSAGE("seed " << seed);
    constexpr key_number hot = 9904;
    keyed_load it{seed, 15};
    for (const auto& [id, server] : it.ready) {
        it.load.add_processing_time(id, millis{220});
    }
    it.run(seconds{6}, 44, 0.0, hot);
    it.run(millis{1250}, 72, 0.4, hot);
    // Its share of the slots of one server is more than all; nobody else should wait there.
    CHECK(it.others(it.owner(hot), hot) < 1.0);
}

TEST_CASE("balance: a hot key moves to a fast server")
{
    const auto seed = testing::options().seed;
    MESSAGE("seed " << seed);
    constexpr key_number hot = 9904;
    keyed_load it{seed, 15};
    for (const auto& [id, server] : it.ready) {
        it.load.add_processing_time(id, id == it.owner(hot) ? millis{350} : millis{150});
    }
    const auto slow = it.owner(hot);
    it.run(seconds{6}, 44, 0.0, hot);
    it.run(millis{1250}, 72, 0.4, hot);
    CHECK(it.owner(hot) != slow);
}

TEST_CASE("balance: even load moves next to nothing")
{
    const auto seed = testing::options().seed;
    MESSAGE("seed " << seed);
    keyed_load it{seed, 15};
    for (const auto& [id, server] : it.ready) {
        it.load.add_processing_time(id, millis{220});
    }
    const auto first = it.moved;
    it.run(seconds{30}, 44, 0.0, 0);
    CHECK(it.moved - first < 25);
}

TEST_CASE("balance: the keys of a server that left go to several")
{
    keyed_load it{1, 5};
    it.run(seconds{1}, 40, 0.0, 0);
    it.ready.erase(server_id{"s2"});
    it.apply();
    std::map<server_id, int> owners;
    for (const auto& range : it.table.ranges) {
        CHECK(range.owner.id.value != "s2");
        ++owners[range.owner.id];
    }
    CHECK(owners.size() == 4);
}

TEST_CASE("balance: every key has one owner, whatever is asked for and whoever comes and goes")
{
    const auto seed = testing::options().seed;
    const auto schedules = testing::schedules_or(60);
    MESSAGE("seed " << seed << ", schedules " << schedules);
    for (std::uint64_t i = 0; i < schedules; ++i) {
        keyed_load it{seed + i, 2 + i % 9};
        const auto all = it.ready;
        for (int step = 0; step < 20; ++step) {
            const auto hot = static_cast<key_number>(65535 * it.uniform());
            for (const auto& [id, server] : all) {
                if (it.uniform() < 0.1 && it.ready.size() > 1) {
                    it.ready.erase(id);
                } else if (it.uniform() < 0.3) {
                    it.ready[id] = server;
                }
                it.load.add_processing_time(id, millis{10 + static_cast<int>(it.uniform() * 600)});
            }
            it.run(millis{500}, it.uniform() * 400, it.uniform(), hot);
            std::uint32_t next = 0;
            for (const auto& range : it.table.ranges) {
                REQUIRE(range.keys.first == next);
                REQUIRE(range.keys.first <= range.keys.last);
                REQUIRE(it.ready.contains(range.owner.id));
                next = std::uint32_t{range.keys.last} + 1;
            }
            REQUIRE(next == key_count);
        }
    }
}

// Seen on the bench: at the bound a server stayed at 2% of its slots beside one at 220%.
TEST_CASE("balance: at the bound of ranges whole ranges still move, and none is cut")
{
    keyed_load it{testing::options().seed, 2};
    it.table.ranges.clear();
    for (std::uint32_t first = 0; first < key_count; first += 8192) {
        const auto owner = server_id{first + 8192 < key_count ? "s0" : "s1"};
        it.table.ranges.push_back(
            {.service = keyed,
             .keys = {static_cast<key_number>(first), static_cast<key_number>(first + 8191)},
             .owner = {.id = owner, .start = server_start{1}},
             .fence = 1});
        it.load.add(keyed, static_cast<key_number>(first + 100), owner.value == "s0" ? 8 : 0,
                    it.now);
    }
    const auto before = it.table.ranges.size();
    const balance_options options{.ranges_most = before, .ranges_per_server = 1};
    const auto moves = plan_moves(
        {.table = it.table, .ready = it.ready, .load = it.load, .services = {keyed}}, options);
    REQUIRE_FALSE(moves.empty());
    for (const auto& move : moves) {
        CHECK(move.to == server_id{"s1"});
        CHECK(move.keys.size() == 8192);
    }
}
