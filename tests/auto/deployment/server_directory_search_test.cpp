#include "directory_fixture.hpp"
#include "test_options.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstddef>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <utility>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

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

/// A host that follows the model, and what it has held of each server.
struct following_host
{
    directory_fixture f;
    std::size_t era{1};
    bool full{true};
    instant last_read{};
    std::set<std::string> had;
    std::set<std::string> seen_draining;
    /// The last read before the host took the server to be gone.
    std::map<std::string, instant> dropped_after_read;

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
    /// written: when the server wrote its entry last.
    void check(const std::string& key, instant written)
    {
        const bool ready_again = has(key) && !drains(key) && seen_draining.contains(key);
        CHECK_MESSAGE(!ready_again, "ready again: ", key);
        const auto dropped = dropped_after_read.find(key);
        const bool back =
            has(key) && dropped != dropped_after_read.end() && written <= dropped->second;
        CHECK_MESSAGE(!back, "back: ", key);
        if (drains(key)) {
            seen_draining.insert(key);
        }
        if (has(key)) {
            had.insert(key);
        } else if (had.erase(key) > 0) {
            dropped_after_read[key] = last_read;
        }
    }
};

/// Servers are written again about each second; a server is ready, then draining, then gone, and
/// does not begin again under the same id. The store ends entries that are silent for 3 s.
class drill_run
{
public:
    explicit drill_run(std::uint64_t seed) : random_(seed), hosts_(2) {}

    /// quiet: no server changes, and the store stays.
    void run(int steps, bool quiet)
    {
        for (int i = 0; i < steps; ++i, now_ += millis{100}) {
            if (!quiet) {
                change();
            }
            write();
            for (auto& host : hosts_) {
                host.f.directory.tick(now_);
                if (quiet || any(0, 4) == 0) {
                    host.full = host.full || any(0, 9) == 0;
                    host.read(store_, now_);
                }
                for (const auto& server : real_) {
                    host.check(server.first, written_[server.first]);
                }
            }
            check_names();
        }
    }
    void check_end() const
    {
        for (const auto& server : real_) {
            const auto& key = server.first;
            for (const auto& host : hosts_) {
                CHECK_MESSAGE(host.has(key) == (server.second != stage::gone), key);
                CHECK_MESSAGE(host.drains(key) == (server.second == stage::draining), key);
            }
        }
    }

private:
    enum class stage
    {
        ready,
        draining,
        gone
    };

    int any(int first, int last)
    {
        return boost::random::uniform_int_distribution<int>{first, last}(random_);
    }
    void write_alive(const std::string& key)
    {
        store_.append(key, real_[key] == stage::draining ? "draining" : "1");
        written_[key] = now_;
    }
    void change()
    {
        if (any(0, 9) == 0) {
            const auto key = "s" + std::to_string(real_.size());
            real_[key] = stage::ready;
            write_alive(key);
        }
        for (auto& [key, it] : real_) {
            if (it == stage::gone || any(0, 39) != 0) {
                continue;
            }
            it = it == stage::ready ? stage::draining : stage::gone;
            if (it == stage::gone) {
                store_.append(key, nullptr);
            } else {
                write_alive(key);
            }
        }
        if (any(0, 59) == 0) {
            store_.come_back_older(static_cast<std::size_t>(any(0, 30)));
            entries_end_ = now_ + seconds{3};
        }
    }
    void write()
    {
        for (const auto& [key, it] : real_) {
            if (it != stage::gone && any(0, 7) == 0) {
                write_alive(key);
            } else if (it == stage::gone && store_.newest.contains(key) && now_ >= entries_end_) {
                store_.append(key, nullptr);
            }
        }
    }
    void check_names() const
    {
        const auto& one = hosts_[0].f.directory;
        const auto& other = hosts_[1].f.directory;
        if (one.known() && other.known()) {
            const bool equal_names = one.changed_offset() == other.changed_offset();
            CHECK((one.servers() == other.servers()) == equal_names);
        }
    }

    boost::random::mt19937_64 random_;
    model_store store_;
    std::map<std::string, stage> real_;
    std::map<std::string, instant> written_;
    instant entries_end_{};
    std::vector<following_host> hosts_;
    instant now_{seconds{100}};
};

} // namespace

// Stated target: after a drill no host takes a server that drains for ready, or one that it knows
// to have left for present; once the store has ended what the copy has of them, hosts have the
// servers that there are.
TEST_CASE("directory search: with a store that comes back older, no host goes back")
{
    const auto runs = schedules_or(100);
    for (std::uint64_t seed = options().seed; seed < options().seed + runs; ++seed) {
        CAPTURE(seed);
        drill_run it{seed};
        it.run(400, false);
        it.run(80, true);
        it.check_end();
    }
}
