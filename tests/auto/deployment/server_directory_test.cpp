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
    server_directory it{
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

TEST_CASE("directory: an unreadable entry names no server and breaks nothing")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "1", 1), record("b", "bad", 2), record("c", "3", 3)},
                      log_offset{4});
    CHECK(f.it.servers().size() == 2);
    CHECK(f.unreadable == 1);
}

TEST_CASE("directory: entries that lapse while the store is away have two seconds to come back")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "1", 1), record("b", "2", 2)}, log_offset{3});
    f.it.on_store_error(f.now);
    f.now += millis{100};
    f.it.on_records(f.now, {record("a", nullptr, 3), record("b", nullptr, 4)}, log_offset{5});
    CHECK(f.it.servers().size() == 2);
    f.now += seconds{1};
    f.it.on_records(f.now, {record("b", "2", 5)}, log_offset{6});
    f.now += seconds{1};
    f.it.tick(f.now);
    CHECK(f.it.servers().size() == 1);
    CHECK(f.it.servers().contains(server_id{"b"}));
}

TEST_CASE("directory: an entry that is removed while the store answers is gone at once")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "1", 1)}, log_offset{2});
    f.it.on_records(f.now, {record("a", nullptr, 2)}, log_offset{3});
    CHECK(f.it.servers().empty());
}

TEST_CASE("directory: older news of another host is not taken")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "draining", 8)}, log_offset{9});
    CHECK_FALSE(f.it.on_relayed({{.id = server_id{"a"}}}, log_offset{5}, log_offset{5}));
    CHECK(f.it.servers().at(server_id{"a"}).draining);
}

// Its own count of changes was ahead of the coordinator's, so it never asked again.
TEST_CASE("directory: a host that read by itself is behind a host that reads further")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "1", 1), record("b", "2", 1), record("c", "3", 1)},
                      log_offset{4});
    const auto own = f.it.changed_offset();
    CHECK_FALSE(f.it.behind(log_offset{4}, own));
    CHECK_FALSE(f.it.behind(log_offset{3}, log_offset{own.value + 1}));
    CHECK(f.it.behind(log_offset{6}, log_offset{own.value + 1}));
    CHECK(f.it.behind(log_offset{6}, log_offset{own.value - 1}));
}

TEST_CASE("directory: changes are told to those only whose servers are as they were told")
{
    directory_fixture f;
    f.it.on_full_read(f.now, {record("a", "1", 1)}, log_offset{4});
    CHECK_FALSE(f.it.relayed());
    REQUIRE(f.it.on_relayed({{.id = server_id{"b"}}}, log_offset{7}, log_offset{5}));
    CHECK(f.it.relayed());
    f.it.on_records(f.now, {record("b", nullptr, 8)}, log_offset{9});
    CHECK_FALSE(f.it.relayed());
}
