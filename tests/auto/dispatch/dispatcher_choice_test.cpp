#include "quincewing/dispatch/dispatcher_choice.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace quincewing;

namespace {

constexpr std::size_t host_count = 300;
constexpr std::size_t strong_count = 18;
constexpr std::size_t group_count = 606;

std::vector<dispatch_candidate> make_hosts()
{
    std::vector<dispatch_candidate> out;
    for (std::size_t i = 0; i < host_count; ++i) {
        out.push_back({.host = host_id{"10.0.0." + std::to_string(i) + ":7200/1"},
                       .cores = i < strong_count ? 0.5 : 0.1});
    }
    return out;
}

std::map<std::string, host_id> choices(const std::vector<dispatch_candidate>& hosts)
{
    std::map<std::string, host_id> out;
    for (std::size_t i = 0; i < group_count; ++i) {
        const auto group = "keyed/s" + std::to_string(i) + "/";
        const auto* chosen = choose_dispatcher(group, hosts);
        out[group] = chosen == nullptr ? host_id{} : chosen->host;
    }
    return out;
}

std::map<host_id, std::size_t> counts(const std::map<std::string, host_id>& chosen)
{
    std::map<host_id, std::size_t> out;
    for (const auto& [group, host] : chosen) {
        ++out[host];
    }
    return out;
}

} // namespace

TEST_CASE("dispatcher choice: at 300 hosts the strong ones dispatch, about evenly")
{
    const auto hosts = make_hosts();
    const auto by_host = counts(choices(hosts));
    CHECK(by_host.size() == strong_count);
    for (const auto& [host, n] : by_host) {
        CHECK(n < 2 * group_count / strong_count);
    }
}

TEST_CASE("dispatcher choice: a host that is lost changes its own groups only")
{
    auto hosts = make_hosts();
    const auto before = choices(hosts);
    const auto lost = hosts[3].host;
    hosts[3].skipped = true;
    for (const auto& [group, host] : choices(hosts)) {
        CHECK((host == before.at(group)) == (before.at(group) != lost));
    }
}

TEST_CASE("dispatcher choice: without the strong hosts the others dispatch")
{
    auto hosts = make_hosts();
    for (std::size_t i = 0; i < strong_count; ++i) {
        hosts[i].skipped = true;
    }
    CHECK(counts(choices(hosts)).size() > host_count / 2);
    for (auto& it : hosts) {
        it.skipped = true;
    }
    CHECK(choose_dispatcher("keyed/s1/", hosts) == nullptr);
}

// A host of an earlier build chooses among all.
TEST_CASE("dispatcher choice: while a host has not told its cores, all hosts choose among all")
{
    auto hosts = make_hosts();
    hosts[200].cores = 0;
    auto untold = hosts;
    for (auto& it : untold) {
        it.cores = 0;
    }
    CHECK(choices(hosts) == choices(untold));
    CHECK(counts(choices(hosts)).size() > host_count / 2);
}
