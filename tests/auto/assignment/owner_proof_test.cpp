#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <utility>
#include <variant>

using namespace quincewing;

namespace {

const service_id keyed_service{"keyed"};

/// A coordinator that goes on with its term after the store came back from an older copy. The store
/// answers at once, the servers as the test says.
struct restored_store
{
    restored_store()
    {
        for (const auto* id : {"s1", "s2"}) {
            servers[server_id{id}] = {.id = server_id{id},
                                      .start = server_start{1},
                                      .address = id,
                                      .service = keyed_service,
                                      .slots = 2};
        }
        core.on_store_era(now, store_era{1});
        core.set_servers(now, servers, {keyed_service});
        run(seconds{6});
        restored_at = now;
        core.on_store_era(now, store_era{2});
        servers.at(server_id{"s1"}).draining = true;
        core.set_servers(now, servers, {keyed_service});
    }
    void run(duration time)
    {
        for (const auto until = now + time; now < until; now += millis{50}) {
            core.tick(now);
            auto effects = core.take_effects();
            for (; !effects.empty(); effects = core.take_effects()) {
                for (const auto& it : effects) {
                    std::visit([this](const auto& effect) { execute(effect); }, it);
                }
            }
        }
    }
    void execute(const read_table&) { core.on_table_read(now, now, stored, log_offset{end}); }
    // With one keyed service no server is asked for its id.
    void execute(const identify_server&) {}
    void execute(const append_table& it)
    {
        stored = decode_table(it.data).value();
        ++end;
        core.on_append(now, it.number, append_outcome::appended);
    }
    void execute(const grant_keys& it)
    {
        const bool first = it.holder.id.value == "s1";
        // From then on no coordinator of the earlier era has a call under way.
        const coordinator_options times;
        const bool may_prove =
            first && restored_at && now - *restored_at >= times.read_validity + times.grant_timeout;
        late_grants += may_prove ? 1 : 0;
        const bool accepted = late_grants < 2 || !second_is_fenced;
        core.on_call(now, it.number,
                     may_prove && !accepted ? call_outcome::fenced : call_outcome::accepted, "",
                     connection_number{first ? 1U : 2U});
    }
    void execute(const release_keys& it) { released = released || it.holder.id.value == "s1"; }

    instant now{seconds{1000}};
    std::optional<instant> restored_at;
    std::optional<assignment_table> stored;
    std::uint64_t end{};
    std::size_t late_grants{};
    bool second_is_fenced{};
    bool released{};
    backend_servers servers;
    coordinator core{{.self = host_id{"h1"}}, {}};
};

} // namespace

// failure: a renewal that got the answer of the one before it proved that no coordinator of an
// earlier era had moved the keys.
TEST_CASE("coordinator: an owner is proven once the next answer on its connection has come")
{
    restored_store it;
    SUBCASE("the next answer refuses")
    {
        it.second_is_fenced = true;
        it.run(seconds{8});
        CHECK(it.late_grants >= 1);
        CHECK_FALSE(it.released);
    }
    SUBCASE("the next answer accepts")
    {
        it.run(seconds{8});
        CHECK(it.released);
    }
}
