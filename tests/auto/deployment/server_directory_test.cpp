#include "quincewing/deployment/server_directory.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

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
    CHECK_FALSE(f.directory.on_relayed({{.id = server_id{"a"}}}, log_offset{5}, log_offset{5}));
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
    REQUIRE(f.directory.on_relayed({{.id = server_id{"b"}}}, log_offset{7}, log_offset{5}));
    CHECK(f.directory.relayed());
    f.directory.on_records(f.now, {record("b", nullptr, 8)}, log_offset{9});
    CHECK_FALSE(f.directory.relayed());
}
