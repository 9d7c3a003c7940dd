#include "keyed_servers.hpp"

#include "fleet_records.hpp"
#include "http_server.hpp"
#include "port_block.hpp"

#include "names.hpp"
#include "record_format.hpp"

#include "quincewing/http/http_call.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace quincewing::review {

namespace {

using nlohmann::json;

constexpr int slots = 4;
constexpr int http_ok = 200;
constexpr int second_version = 2;

/// The store's address, from the settings of the first host.
std::string store_address(const std::string& folder)
{
    std::ifstream in{folder + "/h-0.ini"};
    const std::string prefix = "store = ";
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(prefix)) {
            return line.substr(prefix.size());
        }
    }
    throw std::runtime_error{"no address of the store"};
}

void wait_until_up(const std::string& address)
{
    constexpr int tries = 500;
    for (int i = 0; i < tries; ++i) {
        if (http_call_and_wait({.address = address, .path = "/health", .timeout = millis{500}})
                .status == http_ok) {
            return;
        }
        std::this_thread::sleep_for(millis{5});
    }
    throw std::runtime_error{"a server does not answer"};
}

} // namespace

void keyed_servers::configure(const std::vector<std::string>& services) const
{
    auto document =
        json::parse(testing::configuration_record(second_version, true, 0, seconds{10}, 1'048'576));
    auto service = document["services"].at(0);
    document["services"] = json::array();
    for (const auto& it : services) {
        service["name"] = it;
        document["services"].push_back(service);
    }
    for (auto& route : document["routes"]) {
        route["service"] = services.front();
    }
    document["routes"].at(0)["service"] = services.back();
    const store_record record{.key = platform::configuration_key, .value = document.dump()};
    const auto answer =
        http_call_and_wait({.method = "POST",
                            .address = store_address(fleet_.folder()),
                            .path = std::string{"/v1/log-append?part=0&topic="} +
                                    platform::topic_name(store_stream::configuration),
                            .body = platform::encode_record(record)});
    if (answer.status != http_ok) {
        throw std::runtime_error{"the store did not take the configuration"};
    }
}

void keyed_servers::start(const std::string& id, const std::string& service)
{
    start_at(id, service, testing::free_address());
}

void keyed_servers::start_at(const std::string& id, const std::string& service,
                             const std::string& address)
{
    const std::vector<std::string> arguments{STANDIN_PROGRAM,       "backend",      address, id,
                                             std::to_string(slots), journal_of(id), "keys"};
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    servers_[id] = {.service = service,
                    .address = address,
                    .process = std::make_unique<testing::child_process>(
                        arguments, fleet_.folder() + "/" + id + ".log"),
                    .born = born};
    wait_until_up(address);
}

void keyed_servers::write_entry(const std::string& id) const
{
    const auto& it = servers_.at(id);
    auto entry = json::parse(testing::server_entry(it.address, fleet_.data_centre_of(0), slots,
                                                   testing::server_state::ready));
    entry["info"]["service"] = it.service;
    entry["born"] = it.born;
    fleet_.write_server_entry(id, entry.dump());
}

std::string keyed_servers::kill(const std::string& id)
{
    auto& it = servers_.at(id);
    it.process->signal(SIGKILL);
    it.ended_ns = standin::now_ns();
    return it.address;
}

void keyed_servers::remove_entry(const std::string& id) const
{
    fleet_.write_server_entry(id, {});
}

std::string keyed_servers::journal_of(const std::string& id) const
{
    return fleet_.folder() + "/journal-" + id;
}

// Lines are "grant FIRST-LAST-FENCE-UNTIL AT" and "release FIRST-LAST-FENCE-0 AT". A grant of keys
// that are held already makes the time longer.
std::vector<keyed_servers::hold> keyed_servers::holds_of(const std::string& id) const
{
    std::vector<hold> out;
    std::ifstream in{journal_of(id)};
    std::string what;
    std::string text;
    long long at_ns = 0;
    while (in >> what >> text >> at_ns) {
        hold it{.from_ns = at_ns};
        unsigned long long fence = 0;
        if (std::sscanf(text.c_str(), "%u-%u-%llu-%lld", &it.first, &it.last, &fence, &it.to_ns) !=
            4) {
            continue;
        }
        if (what == "grant") {
            out.push_back(it);
        }
        for (auto& held : out) {
            const bool same = held.first <= it.last && it.first <= held.last;
            if (what == "release" && same && held.to_ns > at_ns) {
                held.to_ns = at_ns;
            }
        }
    }
    const auto ended_ns = servers_.at(id).ended_ns;
    for (auto& it : out) {
        it.to_ns = ended_ns == 0 ? it.to_ns : std::min(it.to_ns, ended_ns);
    }
    return out;
}

bool keyed_servers::all_hold_keys() const
{
    return std::all_of(servers_.begin(), servers_.end(),
                       [&](const auto& it) { return !holds_of(it.first).empty(); });
}

void keyed_servers::write_record(std::ostream& to) const
{
    for (const auto& [id, it] : servers_) {
        to << "server " << id << " service " << it.service << " address " << it.address
           << " ended_ns " << it.ended_ns << "\n";
        std::ifstream in{journal_of(id)};
        std::string line;
        while (std::getline(in, line)) {
            to << id << " " << line << "\n";
        }
    }
}

shared_keys keyed_servers::longest_shared(const std::string& service) const
{
    shared_keys out;
    for (const auto& [id, server] : servers_) {
        for (const auto& [other_id, other] : servers_) {
            if (id >= other_id || server.service != service || other.service != service) {
                continue;
            }
            for (const auto& a : holds_of(id)) {
                for (const auto& b : holds_of(other_id)) {
                    const auto first = std::max(a.first, b.first);
                    const auto last = std::min(a.last, b.last);
                    const auto time = std::min(a.to_ns, b.to_ns) - std::max(a.from_ns, b.from_ns);
                    if (first <= last && time > out.time_ns) {
                        out = {.keys = std::to_string(first) + "-" + std::to_string(last),
                               .time_ns = time,
                               .servers = id + " and " + other_id};
                    }
                }
            }
        }
    }
    return out;
}

} // namespace quincewing::review
