#include "quincewing/deployment/store_call_counts.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

TEST_CASE("store calls: counted by what they do and passed on")
{
    std::size_t passed_on = 0;
    store_call_counts counts;
    const auto store =
        counts.wrap({.newest = [&](store_stream, const auto& done) { ++passed_on, done({}); },
                     .read = [&](store_stream, log_offset, duration,
                                 const auto& done) { ++passed_on, done({}); },
                     .append = [&](store_stream, const auto&, auto,
                                   const auto& done) { ++passed_on, done({}); }});
    store.newest(store_stream::servers, [](const store_page&) {});
    store.read(store_stream::servers, {}, {}, [](const store_page&) {});
    store.read(store_stream::servers, {}, {}, [](const store_page&) {});
    CHECK(passed_on == 3);
    CHECK(counts.take_new() ==
          std::map<std::string, std::uint64_t>{{"newest_servers", 1}, {"read_servers", 2}});
    CHECK(counts.take_new().empty());
    store.append(store_stream::hosts, {}, {}, [](const store_append_result&) {});
    CHECK(counts.take_new() == std::map<std::string, std::uint64_t>{{"append_hosts", 1}});
    CHECK(counts.all().at("read_servers") == 2);
}
