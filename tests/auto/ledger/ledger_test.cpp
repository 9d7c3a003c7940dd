#include "quincewing/ledger/ledger.hpp"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace quincewing;

namespace {

const shard_id shard{service_id{"v"}, 1};

instant at(long long us)
{
    return instant{duration{us}};
}

} // namespace

TEST_CASE(
    "ledger: a repeat gets the stored response; another request with the same key is an error")
{
    ledger it;
    CHECK(it.record_start(at(1), shard, "k", 7) == ledger_lookup::new_key);
    CHECK(it.record_start(at(2), shard, "k", 7) == ledger_lookup::in_progress);
    CHECK(it.record_start(at(2), shard, "k", 8) == ledger_lookup::mismatch);
    it.record_end(at(3), shard, "k", execution_state::answered, {.status = 201, .body = "done"});
    CHECK(it.record_start(at(4), shard, "k", 7) == ledger_lookup::answered);
    CHECK(it.response(shard, "k")->body == "done");
}

TEST_CASE("ledger: a full ledger rejects new keys and evicts none")
{
    ledger it{{.max_entries = 2}};
    CHECK(it.record_start(at(1), shard, "a", 1) == ledger_lookup::new_key);
    CHECK(it.record_start(at(1), shard, "b", 1) == ledger_lookup::new_key);
    CHECK(it.record_start(at(1), shard, "c", 1) == ledger_lookup::full);
    CHECK(it.record_start(at(1), shard, "a", 1) == ledger_lookup::in_progress);
}

TEST_CASE("ledger: old bodies are dropped at the size limit and their keys stay")
{
    ledger it{{.max_stored_bytes = 100}};
    for (int i = 0; i < 20; ++i) {
        const auto key = "k" + std::to_string(i);
        it.record_start(at(i), shard, key, 1);
        it.record_end(at(i), shard, key, execution_state::answered,
                      {.status = 200, .body = std::string(30, 'x')});
        CHECK(it.stored_bytes() <= 100);
    }
    CHECK(it.record_start(at(99), shard, "k0", 1) == ledger_lookup::answered);
    CHECK(it.response(shard, "k0")->body_dropped);
}

TEST_CASE("ledger: keys expire after the window, not before")
{
    ledger it{{.window = seconds{10}}};
    it.record_start(at(0), shard, "k", 1);
    it.record_end(at(5'000'000), shard, "k", execution_state::answered, {});
    it.expire(at(14'000'000));
    CHECK(it.size() == 1);
    it.expire(at(15'000'000));
    CHECK(it.size() == 0);
}

TEST_CASE("ledger: a replicated ledger gives the same lookup results as the original")
{
    rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        ledger original;
        ledger copy;
        for (const auto& [key_number, state] : steps) {
            const auto key = std::to_string(key_number % 8);
            if (original.record_start(at(1), shard, key, 1) == ledger_lookup::new_key) {
                copy.apply(at(1), original.item(at(1), shard, key));
            } else if (state % 4 > 0) {
                copy.apply(at(1), original.record_end(at(1), shard, key,
                                                      static_cast<execution_state>(state % 4), {}));
            }
        }
        for (int i = 0; i < 8; ++i) {
            const auto key = std::to_string(i);
            RC_ASSERT(original.lookup(shard, key, 1) == copy.lookup(shard, key, 1));
        }
    });
}
