#include "quincewing/wire/told_beat.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

TEST_CASE("told beat: servers reach no further than the list that was told")
{
    const coordinator_beat last{.term = 2, .servers_read = 40, .servers_changed = 30};
    // A change at offset 45 was read and is not told yet.
    const coordinator_beat now{.term = 2, .servers_read = 50, .servers_changed = 45};
    const auto it = told_beat(now, last);
    CHECK(it.servers_changed == 30);
    CHECK(it.servers_read == 40);
}

TEST_CASE("told beat: without a change servers reach as far as the last read, and ages are new")
{
    const coordinator_beat last{
        .term = 2, .table_revision = 7, .servers_read = 40, .servers_changed = 30, .table_age = 9};
    const coordinator_beat now{
        .term = 2, .table_revision = 8, .servers_read = 50, .servers_changed = 30, .table_age = 1};
    const auto it = told_beat(now, last);
    CHECK(it.servers_read == 50);
    CHECK(it.table_revision == 7);
    CHECK(it.table_age == 1);
}

TEST_CASE("told beat: the read behind a configuration that is told next confirms no earlier one")
{
    const coordinator_beat last{.configuration = 7, .configuration_age = 9};
    const auto next = told_beat({.configuration = 8, .configuration_age = 1}, last);
    CHECK(next.configuration == 7);
    CHECK(next.configuration_age == unknown_age);
    const auto same = told_beat({.configuration = 7, .configuration_age = 1}, last);
    CHECK(same.configuration_age == 1);
}
