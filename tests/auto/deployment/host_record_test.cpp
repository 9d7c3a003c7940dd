#include "quincewing/deployment/host_record.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

TEST_CASE("host record: read as it was written, and as earlier builds write it")
{
    const host_record own{.host = host_id{"10.0.0.1:7200/ab12"}, .cores = 0.5};
    CHECK(parse_host_record(format_host_record(own)).host == own.host);
    CHECK(parse_host_record(format_host_record(own)).cores == doctest::Approx(0.5));
    CHECK(parse_host_record("10.0.0.1:7200/ab12").host == own.host);
    CHECK(parse_host_record("10.0.0.1:7200/ab12").cores == 0);
    CHECK(format_host_record({.host = own.host}) == "10.0.0.1:7200/ab12");
}

TEST_CASE("host record: what can't be read counts as not told")
{
    CHECK(parse_host_record("").host.value.empty());
    CHECK(parse_host_record("h cores=").cores == 0);
    CHECK(parse_host_record("h cores=-3").cores == 0);
    CHECK(parse_host_record("h cores=nan").cores == 0);
    CHECK(parse_host_record("h cores=inf").cores == 0);
    CHECK(parse_host_record("h cores=1e300").cores == 0);
    CHECK(parse_host_record("h cores=x later=1").cores == 0);
    CHECK(parse_host_record("h cores=0.25 later=1").cores == 0.25);
}
