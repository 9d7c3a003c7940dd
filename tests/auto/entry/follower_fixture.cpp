#include "follower_fixture.hpp"

#include "quincewing/base/ids.hpp"

#include <doctest/doctest.h>
#include <utility>

namespace quincewing::testing {

follower_fixture::follower_fixture(const std::string& address)
    : context{loop, settings, platform, view, metrics, make_host_id(address, 1)}
{
    settings.peers = address;
    platform.store.newest = [this](store_stream stream, std::function<void(store_page)> done) {
        calls.push_back({.name = "newest", .stream = stream, .done = std::move(done)});
    };
    platform.store.read = [this](store_stream stream, log_offset from, duration,
                                 std::function<void(store_page)> done) {
        calls.push_back({.name = "read", .stream = stream, .from = from, .done = std::move(done)});
    };
    platform.store.append = [this](store_stream stream, store_record record,
                                   std::optional<log_offset>,
                                   std::function<void(store_append_result)> done) {
        calls.push_back({.name = "append",
                         .stream = stream,
                         .record = std::move(record),
                         .appended = std::move(done)});
    };
    platform.decode_server =
        [](const store_record& it) -> tl::expected<backend_server, std::string> {
        return backend_server{.id = server_id{it.key},
                              .address = it.value.value_or(""),
                              .draining = it.value == "draining"};
    };
    platform.decode_configuration =
        [](const store_record& it) -> tl::expected<configuration, std::string> {
        return configuration{.version = config_version{std::stoull(it.value.value_or("0"))}};
    };
    platform.is_configuration = [](const store_record&) { return true; };
}

std::vector<follower_fixture::store_call> follower_fixture::take_calls()
{
    return std::exchange(calls, {});
}

follower_fixture::store_call follower_fixture::take_call()
{
    auto taken = take_calls();
    REQUIRE(taken.size() == 1);
    return std::move(taken.front());
}

store_record stored(const std::string& key, const std::string& value, std::uint64_t offset)
{
    return {.key = key, .value = value, .offset = log_offset{offset}};
}

store_page page_of(std::vector<store_record> records, std::uint64_t end)
{
    return {.status = store_status::ok, .records = std::move(records), .end = log_offset{end}};
}

} // namespace quincewing::testing
