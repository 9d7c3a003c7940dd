#include "quincewing/deployment/server_directory.hpp"

#include "test_options.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

store_record record(const char* key, const char* value, std::uint64_t offset)
{
    store_record out{.key = key, .offset = log_offset{offset}};
    if (value != nullptr) {
        out.value = value;
    }
    return out;
}

struct directory_fixture
{
    int unreadable{};
    server_directory directory{
        {},
        {.decode = [](const store_record& from) -> tl::expected<backend_server, std::string> {
             if (*from.value == "bad") {
                 return tl::make_unexpected(std::string{"bad"});
             }
             return backend_server{.id = server_id{from.key},
                                   .address = *from.value,
                                   .draining = *from.value == "draining"};
         },
         .on_unreadable = [this](const auto&, const auto&) { ++unreadable; }}};
    instant now{seconds{100}};
};

} // namespace

TEST_CASE("directory: an unreadable entry is reported and does not affect other servers")
{
    directory_fixture f;
    f.directory.on_full_read(
        f.now, {record("a", "1", 1), record("b", "bad", 2), record("c", "3", 3)}, log_offset{4});
    CHECK(f.directory.servers().size() == 2);
    CHECK(f.unreadable == 1);
}

TEST_CASE("directory: entries that expire during a store outage may be renewed for two seconds")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 1), record("b", "2", 2)}, log_offset{3});
    f.directory.on_store_error(f.now);
    f.now += millis{100};
    f.directory.on_records(f.now, {record("a", nullptr, 3), record("b", nullptr, 4)},
                           log_offset{5});
    CHECK(f.directory.servers().size() == 2);
    f.now += seconds{1};
    f.directory.on_records(f.now, {record("b", "2", 5)}, log_offset{6});
    f.now += seconds{1};
    f.directory.tick(f.now);
    CHECK(f.directory.servers().size() == 1);
    CHECK(f.directory.servers().contains(server_id{"b"}));
}

TEST_CASE("directory: an entry that is removed while the store is reachable is dropped at once")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 1)}, log_offset{2});
    f.directory.on_records(f.now, {record("a", nullptr, 2)}, log_offset{3});
    CHECK(f.directory.servers().empty());
}

TEST_CASE("directory: another host's older list is not taken over")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "draining", 8)}, log_offset{9});
    CHECK_FALSE(
        f.directory.on_relayed(f.now, {{.id = server_id{"a"}}}, log_offset{5}, log_offset{5}));
    CHECK(f.directory.servers().at(server_id{"a"}).draining);
}

// Guards against a host that never asked the coordinator for its list again, because the host's own
// change offset was ahead of the coordinator's.
TEST_CASE("directory: a host with its own reads is behind a host that has read further")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 1), record("b", "2", 1), record("c", "3", 1)},
                             log_offset{4});
    const auto own = f.directory.changed_offset();
    CHECK_FALSE(f.directory.behind(log_offset{4}, own));
    CHECK_FALSE(f.directory.behind(log_offset{3}, log_offset{own.value + 1}));
    CHECK(f.directory.behind(log_offset{6}, log_offset{own.value + 1}));
    CHECK(f.directory.behind(log_offset{6}, log_offset{own.value - 1}));
}

TEST_CASE("directory: a list counts as relayed until an own read changes it")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 1)}, log_offset{4});
    CHECK_FALSE(f.directory.relayed());
    REQUIRE(f.directory.on_relayed(f.now, {{.id = server_id{"b"}}}, log_offset{7}, log_offset{5}));
    CHECK(f.directory.relayed());
    f.directory.on_records(f.now, {record("b", nullptr, 8)}, log_offset{9});
    CHECK_FALSE(f.directory.relayed());
}

// Guards against a host that ignored all reads after the store came back from an older copy, since
// they ended before the offset that it had read to.
TEST_CASE("directory: after a store that came back older, offsets start again")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 90)}, log_offset{100});
    f.directory.on_store_era(f.now);
    CHECK(f.directory.read_offset() == log_offset{0});
    CHECK(f.directory.servers().size() == 1);
    f.directory.on_full_read(f.now, {record("a", "1", 40), record("b", "2", 50)}, log_offset{51});
    CHECK(f.directory.servers().size() == 2);
    f.directory.on_records(f.now, {record("c", "3", 51)}, log_offset{52});
    CHECK(f.directory.servers().size() == 3);
    CHECK(f.directory.read_offset() == log_offset{52});
}

TEST_CASE("directory: a draining server is not ready again by an older copy of the store")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "draining", 90)}, log_offset{100});
    f.directory.on_store_era(f.now);
    f.directory.on_full_read(f.now, {record("a", "1", 40)}, log_offset{51});
    CHECK(f.directory.servers().at(server_id{"a"}).draining);
    REQUIRE(f.directory.on_relayed(f.now, {{.id = server_id{"a"}}}, log_offset{55}, log_offset{5}));
    CHECK(f.directory.servers().at(server_id{"a"}).draining);
}

TEST_CASE("directory: a removed server comes back by a later record, not from an older copy")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 90)}, log_offset{91});
    f.directory.on_records(f.now, {record("a", nullptr, 91)}, log_offset{92});
    f.now += seconds{5};
    f.directory.on_store_era(f.now);
    f.directory.on_full_read(f.now, {record("a", "1", 40)}, log_offset{51});
    CHECK(f.directory.servers().empty());
    // The rest of the copy is not read by one that reads in full again either.
    f.directory.on_full_read(f.now, {record("a", "1", 40)}, log_offset{52});
    CHECK(f.directory.servers().empty());
    f.directory.on_records(f.now, {record("a", "1", 52)}, log_offset{53});
    CHECK(f.directory.servers().size() == 1);
}

TEST_CASE("directory: entries that an older copy lacks may be written again for two seconds")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 90), record("b", "2", 91)}, log_offset{100});
    f.now += seconds{60};
    f.directory.on_store_era(f.now);
    f.now += millis{100};
    f.directory.on_full_read(f.now, {}, log_offset{51});
    CHECK(f.directory.servers().size() == 2);
    f.now += millis{1800};
    f.directory.on_records(f.now, {record("b", "2", 51)}, log_offset{52});
    f.directory.tick(f.now);
    CHECK(f.directory.servers().size() == 2);
    f.now += millis{100};
    f.directory.tick(f.now);
    CHECK(f.directory.servers().size() == 1);
    CHECK(f.directory.servers().contains(server_id{"b"}));
}

TEST_CASE("directory: a list that was read in an earlier era is not taken over")
{
    directory_fixture f;
    f.directory.on_full_read(f.now, {record("a", "1", 90)}, log_offset{100});
    const auto own = f.directory.changed_offset();
    f.directory.on_store_era(f.now);
    CHECK_FALSE(f.directory.behind(log_offset{0}, log_offset{own.value + 1}));
    CHECK_FALSE(f.directory.on_relayed(f.now, {}, log_offset{0}, log_offset{own.value + 1}));
    CHECK(f.directory.behind(log_offset{51}, log_offset{own.value + 1}));
    f.directory.on_confirmed(log_offset{51});
    CHECK(f.directory.read_offset() == log_offset{51});
    CHECK(f.directory.changed_offset() == own);
}

// Guards against hosts that took different lists for the same: one that reads records in another
// order counted on to an offset that another one's later change had.
TEST_CASE("directory: hosts whose lists differ have different change offsets")
{
    directory_fixture first;
    first.directory.on_full_read(first.now, {}, log_offset{1});
    first.directory.on_full_read(
        first.now, {record("a", "1", 9), record("b", "2", 8), record("c", "3", 7)}, log_offset{10});
    directory_fixture second;
    second.directory.on_full_read(second.now,
                                  {record("c", "3", 7), record("b", "2", 8), record("a", "1", 9)},
                                  log_offset{10});
    CHECK(first.directory.changed_offset() == second.directory.changed_offset());
    second.directory.on_records(second.now, {record("a", nullptr, 11)}, log_offset{12});
    CHECK(first.directory.changed_offset() != second.directory.changed_offset());
}

namespace {

/// A store of servers' entries that may come back from an earlier copy of itself.
struct model_store
{
    std::map<std::string, store_record> newest;
    std::vector<store_record> log;
    std::size_t era{1};

    void append(const std::string& key, const char* value)
    {
        auto it = record(key.c_str(), value, log.size());
        log.push_back(it);
        if (value == nullptr) {
            newest.erase(key);
        } else {
            newest[key] = it;
        }
    }
    void come_back_older(std::size_t lost)
    {
        log.resize(log.size() - std::min(lost, log.size()));
        const auto kept = std::exchange(log, {});
        newest.clear();
        for (const auto& it : kept) {
            append(it.key, it.value ? it.value->c_str() : nullptr);
        }
        ++era;
    }
    [[nodiscard]] std::vector<store_record> snapshot() const
    {
        std::vector<store_record> out;
        for (const auto& [key, it] : newest) {
            out.push_back(it);
        }
        return out;
    }
    [[nodiscard]] std::vector<store_record> from(log_offset at) const
    {
        const auto first = std::min<std::size_t>(at.value, log.size());
        return {log.begin() + static_cast<std::ptrdiff_t>(first), log.end()};
    }
};

/// A host that follows the model.
struct following_host
{
    directory_fixture f;
    std::size_t era{1};
    bool full{true};
    instant last_read{};

    void read(const model_store& store, instant now)
    {
        if (era != store.era) {
            era = store.era;
            full = true;
            f.directory.on_store_era(now);
        }
        last_read = now;
        const log_offset end{store.log.size()};
        if (full) {
            f.directory.on_full_read(now, store.snapshot(), end);
        } else {
            f.directory.on_records(now, store.from(f.directory.read_offset()), end);
        }
        full = false;
    }
    [[nodiscard]] bool has(const std::string& key) const
    {
        return f.directory.servers().contains(server_id{key});
    }
    [[nodiscard]] bool drains(const std::string& key) const
    {
        return has(key) && f.directory.servers().at(server_id{key}).draining;
    }
};

} // namespace

// Servers are written again each second in an order of their own; a server is ready, then draining,
// then gone, and does not begin again under the same id.
TEST_CASE("directory: with a store that comes back older, no host goes back")
{
    const auto runs = schedules_or(100);
    for (std::uint64_t seed = options().seed; seed < options().seed + runs; ++seed) {
        CAPTURE(seed);
        boost::random::mt19937_64 random{seed};
        const auto any = [&](int first, int last) {
            return boost::random::uniform_int_distribution<int>{first, last}(random);
        };
        enum class stage
        {
            ready,
            draining,
            gone
        };
        model_store store;
        std::map<std::string, stage> real;
        std::map<std::string, instant> expires;
        std::vector<following_host> hosts(2);
        std::vector<std::set<std::string>> seen_draining(2);
        std::vector<std::set<std::string>> had(2);
        // The last read before the host took the server to be gone.
        std::vector<std::map<std::string, instant>> dropped_after_read(2);
        std::map<std::string, instant> written;
        auto now = instant{seconds{100}};
        const auto step = millis{100};
        const auto write_alive = [&](const std::string& key) {
            store.append(key, real[key] == stage::draining ? "draining" : "1");
            written[key] = now;
        };
        const auto run = [&](int steps, bool quiet) {
            for (int i = 0; i < steps; ++i, now += step) {
                if (!quiet && any(0, 9) == 0) {
                    const auto key = "s" + std::to_string(real.size());
                    real[key] = stage::ready;
                    write_alive(key);
                }
                for (auto& [key, it] : real) {
                    if (!quiet && it != stage::gone && any(0, 39) == 0) {
                        it = it == stage::ready ? stage::draining : stage::gone;
                        if (it == stage::gone) {
                            store.append(key, nullptr);
                        } else {
                            write_alive(key);
                        }
                    } else if (it != stage::gone && any(0, 7) == 0) {
                        write_alive(key);
                    } else if (it == stage::gone && store.newest.contains(key) &&
                               now >= expires[key]) {
                        store.append(key, nullptr);
                    }
                }
                if (!quiet && any(0, 59) == 0) {
                    store.come_back_older(static_cast<std::size_t>(any(0, 30)));
                    for (auto& [key, it] : real) {
                        expires[key] = now + seconds{3};
                    }
                }
                for (std::size_t h = 0; h < hosts.size(); ++h) {
                    auto& host = hosts[h];
                    host.f.directory.tick(now);
                    if (quiet || any(0, 4) == 0) {
                        host.full = host.full || any(0, 9) == 0;
                        host.read(store, now);
                    }
                    for (const auto& server : real) {
                        const auto& key = server.first;
                        const bool again =
                            host.has(key) && !host.drains(key) && seen_draining[h].contains(key);
                        CHECK_MESSAGE(!again, "ready again: ", key, ", seed ", seed);
                        const auto dropped = dropped_after_read[h].find(key);
                        const bool back = host.has(key) && dropped != dropped_after_read[h].end() &&
                                          written[key] <= dropped->second;
                        CHECK_MESSAGE(!back, "back: ", key, ", seed ", seed);
                        if (host.drains(key)) {
                            seen_draining[h].insert(key);
                        }
                        if (!host.has(key)) {
                            if (had[h].erase(key) > 0) {
                                dropped_after_read[h][key] = host.last_read;
                            }
                        } else {
                            had[h].insert(key);
                        }
                    }
                }
                const auto& one = hosts[0].f.directory;
                const auto& other = hosts[1].f.directory;
                const bool same = one.servers() == other.servers();
                const bool named = one.known() && other.known();
                const bool equal = one.changed_offset() == other.changed_offset();
                CHECK_MESSAGE((!named || same == equal), "seed ", seed);
            }
        };
        run(400, false);
        run(80, true);
        for (const auto& server : real) {
            const auto& key = server.first;
            const auto it = server.second;
            for (const auto& host : hosts) {
                CHECK_MESSAGE(host.has(key) == (it != stage::gone), key, ", seed ", seed);
                CHECK_MESSAGE(host.drains(key) == (it == stage::draining), key, ", seed ", seed);
            }
        }
    }
}
