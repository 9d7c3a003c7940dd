#pragma once

#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace quincewing::testing {

const service_id keyed_service{"keyed"};

/// A coordinator with a store that answers at once and servers whose answers the test sets.
struct coordinator_fixture
{
    explicit coordinator_fixture(const char* name = "h1", coordinator_options options = {})
        : core(
              [&] {
                  options.self = host_id{name};
                  return options;
              }(),
              {})
    {
    }

    void add_server(const char* id, std::uint64_t start = 1, const char* address = nullptr)
    {
        backend_server server{.id = server_id{id},
                              .start = server_start{start},
                              .address = address == nullptr ? id : address,
                              .service = keyed_service,
                              .data_centre = data_centre_id{"dc1"},
                              .slots = 2};
        servers[server.id] = server;
        core.set_servers(now, servers, keyed);
    }
    void remove_server(const char* id)
    {
        servers.erase(server_id{id});
        core.set_servers(now, servers, keyed);
    }
    /// The append among the effects, which it takes and does not carry out.
    std::optional<append_table> take_append()
    {
        for (auto& effect : core.take_effects()) {
            if (const auto* append = std::get_if<append_table>(&effect)) {
                return *append;
            }
        }
        return {};
    }
    void carry_out_effects()
    {
        for (auto& effect : core.take_effects()) {
            if (std::holds_alternative<read_table>(effect) && store_unreachable) {
                core.on_table_unreadable(now);
            } else if (std::holds_alternative<read_table>(effect)) {
                core.on_store_era(now, era);
                core.on_table_read(now, now, stored, log_offset{end});
            } else if (const auto* append = std::get_if<append_table>(&effect)) {
                if (appends_turned_away) {
                    // As a task does after each answer.
                    ++appends;
                    core.on_append(now, append->number, append_outcome::not_done);
                    core.tick(now);
                    continue;
                }
                const bool fits = append->at.value == end;
                if (fits) {
                    stored = decode_table(append->data).value();
                    ++end;
                }
                appends += fits ? 0 : 1;
                core.on_append(now, append->number,
                               fits ? append_outcome::appended : append_outcome::conflict);
                core.tick(now);
            } else if (const auto* grant = std::get_if<grant_keys>(&effect)) {
                grants.push_back(*grant);
                core.on_call(now, grant->number, grant_outcome(*grant), "", newest_connection);
            } else if (const auto* asked = std::get_if<identify_server>(&effect)) {
                identifications.push_back(*asked);
                core.on_call(now, asked->number, identify_outcome(*asked), "", newest_connection);
            } else if (const auto* release = std::get_if<release_keys>(&effect)) {
                releases.push_back(*release);
                core.on_call(now, release->number, release_outcome(*release), "token", {});
            }
        }
    }
    /// The store comes back as it was when it held this table.
    void bring_store_back(std::optional<assignment_table> table, std::uint64_t stream_end)
    {
        stored = std::move(table);
        end = stream_end;
        ++era.value;
    }
    void run(duration time)
    {
        const auto until = now + time;
        while (now < until) {
            now += millis{50};
            core.tick(now);
            for (int i = 0; i < 4; ++i) {
                carry_out_effects();
            }
        }
    }
    bool all_held() const
    {
        return !core.table().ranges.empty() &&
               std::all_of(core.table().ranges.begin(), core.table().ranges.end(),
                           [&](const auto& range) { return core.held(now, range); });
    }

    instant now{seconds{1000}};
    std::optional<assignment_table> stored;
    std::uint64_t end{};
    store_era era;
    bool appends_turned_away{};
    std::size_t appends{};
    bool store_unreachable{};
    std::set<service_id> keyed{keyed_service};
    backend_servers servers;
    std::vector<grant_keys> grants;
    std::vector<release_keys> releases;
    std::vector<identify_server> identifications;
    /// That of all calls that are answered.
    connection_number newest_connection{1};
    std::function<call_outcome(const grant_keys&)> grant_outcome = [](const auto&) {
        return call_outcome::accepted;
    };
    /// Whether the process at the address is the server that is asked for.
    std::function<call_outcome(const identify_server&)> identify_outcome = [](const auto&) {
        return call_outcome::accepted;
    };
    std::function<call_outcome(const release_keys&)> release_outcome = [](const auto&) {
        return call_outcome::accepted;
    };
    coordinator core;
};

} // namespace quincewing::testing
