#include "quincewing/base/hash.hpp"
#include "quincewing/control/host_core.hpp"
#include "quincewing/deployment/server_conditions.hpp"
#include "quincewing/dispatch/server_reachability.hpp"
#include "quincewing/routing/route_table.hpp"
#include "quincewing/state/log_bootstrap.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <string>

/// Slopes for docs/CAPACITY.md: what state, replay, snapshot, ledger, copies and heartbeats cost
/// at several sizes. Sizes and contents are fixed, so there is no seed.
namespace {

using namespace quincewing;
using clock_type = std::chrono::steady_clock;

double since(clock_type::time_point begun)
{
    return std::chrono::duration<double>(clock_type::now() - begun).count();
}

/// Resident memory of this process, in bytes.
double resident()
{
    std::ifstream in{"/proc/self/statm"};
    double pages = 0;
    in >> pages >> pages;
    constexpr double page_bytes = 4096;
    return pages * page_bytes;
}

initial_deployment deployment(int servers, std::uint32_t shards)
{
    initial_deployment it;
    it.services.push_back({.id = service_id{"v"}, .shards = shards, .keyed = true});
    for (int i = 0; i < servers; ++i) {
        it.servers.push_back({.id = server_id{"server-" + std::to_string(i)},
                              .service = service_id{"v"},
                              .data_centre = data_centre_id{"dc" + std::to_string(i % 9)},
                              .address = "10.0.0.1:8000"});
    }
    return it;
}

record make(std::uint64_t n, record_body body)
{
    return {.id = record_id{"host/" + std::to_string(n)},
            .author = host_id{"10.0.0.1:7100/0123456789abcdef"},
            .body = std::move(body)};
}

void state_slopes()
{
    for (const int servers : {100, 1000, 10'000}) {
        const auto shards = static_cast<std::uint32_t>(servers * 16);
        const auto before = resident();
        log_state state;
        state.apply(log_offset{1}, make(1, deployment(servers, shards)));
        const auto bytes = resident() - before;
        std::uint64_t offset = 1;
        constexpr int records = 20'000;
        const auto begun = clock_type::now();
        for (int i = 0; i < records; ++i) {
            const auto server = server_id{"server-" + std::to_string(i % servers)};
            ++offset;
            const auto bytes_of = encode_record(
                make(offset, pair_change{.server = server,
                                         .expected_term = state.pairs().at(server).term,
                                         .leader = host_id{"10.0.0.1:7100/0123456789abcdef"},
                                         .standby = host_id{"10.0.0.2:7100/0123456789abcdef"}}));
            state.apply(log_offset{offset}, *decode_record(bytes_of));
        }
        const auto replay = records / since(begun);
        const auto snapshot_begun = clock_type::now();
        const auto data = state.serialise();
        const auto written = since(snapshot_begun);
        const auto parse_begun = clock_type::now();
        const auto parsed = log_state::parse(data);
        std::cout << "state: " << servers << " servers " << shards << " shards: " << bytes / shards
                  << " B resident a shard, replay " << replay << " pair records/s, snapshot "
                  << data.size() << " B written in " << written * 1000 << " ms read in "
                  << since(parse_begun) * 1000 << " ms" << (parsed ? "" : " FAILED") << "\n";
        const auto plan_begun = clock_type::now();
        constexpr int plans = 20;
        for (int i = 0; i < plans; ++i) {
            ++offset;
            state.apply(log_offset{offset},
                        make(offset, plan_confirmed{.plan = plan_id{"p" + std::to_string(offset)},
                                                    .expected_version = state.config_version(),
                                                    .set = {{"x", "y"}}}));
        }
        std::cout << "state: " << servers << " servers: a plan applied in "
                  << since(plan_begun) / plans * 1000 << " ms\n";
    }
}

void ledger_slopes()
{
    for (const int entries : {1000, 10'000, 100'000}) {
        const auto before = resident();
        ledger it;
        const shard_id shard{service_id{"v"}, 1};
        const auto begun = clock_type::now();
        std::size_t copied = 0;
        for (int i = 0; i < entries; ++i) {
            const auto key = "0f8fad5b-d9cb-469f-a165-" + std::to_string(100'000'000'000 + i);
            it.record_start(instant{}, shard, key, 1);
            auto item = it.record_end(instant{}, shard, key, execution_state::answered,
                                      {.status = 200,
                                       .headers = {{"Content-Type", "application/json"}},
                                       .body = std::string(120, 'x')});
            copied += encode_envelope({.body = ledger_update{.items = {std::move(item)}}}).size();
        }
        std::cout << "ledger: " << entries << " entries: " << (resident() - before) / entries
                  << " B resident an entry, " << since(begun) / entries * 1e6
                  << " us a run with its copy encoded, " << copied / entries
                  << " B a copy of an answer of 120 B\n";
    }
}

void membership_slopes()
{
    for (const int hosts : {10, 100, 1000}) {
        host_core core{
            {.self = make_host_id("10.9.9.9:7100", 1), .data_centre = data_centre_id{"a"}}};
        effects out;
        instant now{seconds{100}};
        constexpr int rounds = 20;
        std::size_t bytes = 0;
        const auto begun = clock_type::now();
        for (int r = 0; r < rounds; ++r) {
            now += millis{500};
            for (int i = 0; i < hosts; ++i) {
                const auto from = make_host_id("10.0.0." + std::to_string(i) + ":7100", 7);
                core.on_envelope(now,
                                 {.from = from,
                                  .to = core.options().self,
                                  .body = heartbeat{data_centre_id{"a"}}},
                                 out);
            }
            core.tick(now, out);
            for (const auto& it : out.sends) {
                bytes +=
                    encode_envelope({.from = core.options().self, .to = it.to, .body = it.body})
                        .size();
            }
            out = {};
        }
        std::cout << "membership: " << hosts << " hosts: " << since(begun) / rounds * 1e6
                  << " us and " << bytes / rounds << " B sent a round of 500 ms\n";
    }
}

void pair_slopes()
{
    const pair_heartbeat beat{.server = server_id{"server-1"},
                              .view = {.leader = make_host_id("10.0.0.1:7100", 1),
                                       .standby = make_host_id("10.0.0.2:7100", 2)}};
    std::cout
        << "pair: a beat is "
        << encode_envelope({.from = beat.view.leader, .to = beat.view.standby, .body = beat}).size()
        << " B\n";
}

/// Bytes of a message between two hosts.
std::size_t wire_bytes(const message& it)
{
    return encode_envelope({.from = make_host_id("10.0.0.1:7100", 1),
                            .to = make_host_id("10.0.0.2:7100", 2),
                            .body = it})
        .size();
}

/// What hosts tell each other of what servers say of themselves, and what they remember.
void condition_slopes()
{
    const instant now{seconds{100'000}};
    for (const std::uint64_t servers : {1, 100, 10'000}) {
        std::vector<backend_server> processes;
        processes.reserve(servers);
        for (std::uint64_t i = 0; i < servers; ++i) {
            processes.push_back({.id = server_id{"i-" + std::to_string(1'000'000'000 + i)},
                                 .start = server_start{1}});
        }
        const auto before = resident();
        server_conditions conditions;
        const server_notice notice{.rate_limit = request_rate{2.5}};
        for (const auto& it : processes) {
            conditions.on_notice(now, it, now, notice);
        }
        const auto memory = resident() - before;
        const auto all = conditions.report_all(now);
        server_conditions joined;
        auto begun = clock_type::now();
        joined.on_report(now, all);
        const auto report_us = since(begun) * 1e6;
        begun = clock_type::now();
        for (const auto& it : processes) {
            conditions.on_notice(now + seconds{1}, it, now, notice);
        }
        const auto answer_us = since(begun) * 1e6 / static_cast<double>(servers);
        std::cout << "server conditions " << servers << ": " << memory
                  << " B resident, report of all " << wire_bytes(all) << " B, merged in "
                  << report_us << " us, an answer of a limited server " << answer_us << " us\n";
    }
}

/// What hosts tell each other of the servers that they reach.
void reach_slopes()
{
    std::set<server_id> servers;
    for (int i = 0; i < 10'000; ++i) {
        servers.insert(server_id{"i-" + std::to_string(1'000'000'000 + i)});
    }
    const auto before = resident();
    server_reachability reach;
    reach.set_servers(servers);
    const auto memory = resident() - before;
    constexpr int requests = 100'000;
    const server_id asked{"i-1000005000"};
    auto begun = clock_type::now();
    bool all = true;
    for (int i = 0; i < requests; ++i) {
        all = all && reach.reachable(asked);
        reach.on_answer(instant{millis{i}});
    }
    const auto request_us = since(begun) * 1e6 / requests;
    std::cout << "reach: " << memory << " B resident for 10,000 servers, " << request_us
              << " us a request" << (all ? "" : " (unreachable)")
              << "; a host that is cut off tells " << wire_bytes(host_reach{.cut_off = true})
              << " B to each host, a question is " << wire_bytes(reach_question{.servers = {asked}})
              << " B\n";
}

/// What a change of the configuration costs: one weight, told as a change, and the whole.
void configuration_slopes()
{
    for (const int routes : {20, 200, 2000}) {
        configuration from{.version = config_version{1}};
        for (int i = 0; i < routes; ++i) {
            from.routes.push_back({.name = "route-" + std::to_string(1000 + i),
                                   .host = "gauges.example",
                                   .path_prefix = "/path-" + std::to_string(1000 + i) + "/",
                                   .shares = {{.service = service_id{"archive"}, .weight = 3},
                                              {.service = service_id{"annex"}, .weight = 1}}});
        }
        auto to = from;
        to.version = config_version{2};
        to.routes[0].shares[0].weight = 4;
        auto begun = clock_type::now();
        const coordinator_news news{.configuration_changes = difference(from, to)};
        const auto difference_us = since(begun) * 1e6;
        route_table table;
        table.apply(from);
        begun = clock_type::now();
        table.apply(apply_configuration_changes(from, *news.configuration_changes));
        const auto apply_us = since(begun) * 1e6;
        const coordinator_news whole{.configuration_changes = difference({}, to)};
        std::cout << "configuration " << routes << " routes: one weight " << wire_bytes(news)
                  << " B, found in " << difference_us << " us, applied in " << apply_us
                  << " us; the whole " << wire_bytes(whole) << " B\n";
    }
}

/// What hosts tell each other of requests that crash servers, and what they remember.
void crash_slopes()
{
    const instant now{seconds{100'000}};
    const instant later = now + seconds{2};
    for (const std::uint64_t requests : {1, 64, 4096}) {
        const auto before = resident();
        crash_guard guard;
        for (std::uint64_t i = 0; i < requests; ++i) {
            guard.on_crash(now, stable_hash(std::to_string(i)), server_process{~i}, duration{0},
                           false);
        }
        const auto memory = resident() - before;
        auto begun = clock_type::now();
        const auto digest = guard.digest(later);
        const auto digest_us = since(begun) * 1e6;
        const auto all = guard.report_all(later, false);
        crash_guard restarted;
        begun = clock_type::now();
        restarted.on_report(later, all);
        const auto report_us = since(begun) * 1e6;
        begun = clock_type::now();
        constexpr int answers = 1000;
        for (std::uint64_t i = 0; i < answers; ++i) {
            guard.on_answer(later, i);
            guard.on_process_alive(server_process{i}, later);
        }
        const auto answer_us = since(begun) * 1e6 / answers;
        std::cout << "crash marks " << requests << ": " << memory << " B resident, report of all "
                  << wire_bytes(all) << " B, merged in " << report_us << " us, digest "
                  << wire_bytes(crash_digest{.value = digest}) << " B in " << digest_us
                  << " us, an answer of another request " << answer_us << " us\n";
    }
}

} // namespace

int main()
{
    crash_slopes();
    condition_slopes();
    configuration_slopes();
    reach_slopes();
    pair_slopes();
    membership_slopes();
    ledger_slopes();
    state_slopes();
}
