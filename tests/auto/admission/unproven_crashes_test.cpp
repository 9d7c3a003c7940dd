#include "quincewing/admission/unproven_crashes.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace quincewing;

namespace {

const host_id self{"h-0"};
const host_id other{"h-1"};
const instant start{seconds{10}};

unproven_crash crash(std::uint64_t process, instant at, const host_id& way = self)
{
    return {.fingerprint = 7, .process = server_process{process}, .way = way, .at = at};
}

/// What the tests let be known.
struct evidence
{
    std::set<server_process> gone;
    std::set<host_id> cut;

    [[nodiscard]] crash_evidence get() const
    {
        return {.listed = [this](server_process it) { return !gone.contains(it); },
                .cut_off = [this](const host_id& it) { return cut.contains(it); }};
    }
};

} // namespace

// Guards against crashes of servers that only a host which is cut off has seen.
TEST_CASE("unproven crash: one seen by a host that is cut off does not count")
{
    evidence known{.cut = {self}};
    unproven_crashes it;
    it.add(crash(1, start));
    it.add(crash(2, start));
    CHECK(it.take_proven(start + seconds{5}, known.get()).empty());
    CHECK(it.take_proven(start + seconds{11}, known.get()).empty());
    CHECK(it.empty());
}

TEST_CASE("unproven crash: an answer of another server to a later request proves it")
{
    const evidence known;
    unproven_crashes it;
    it.add(crash(1, start));
    it.on_answer(self, server_process{2}, start - millis{1});
    it.on_answer(other, server_process{2}, start + millis{1});
    CHECK(it.take_proven(start + millis{2}, known.get()).empty());
    it.on_answer(self, server_process{2}, start + millis{1});
    const auto proven = it.take_proven(start + millis{2}, known.get());
    REQUIRE(proven.size() == 1);
    CHECK(proven.front().process == server_process{1});
    CHECK(it.empty());
}

TEST_CASE("unproven crash: the process that answers a later request has not crashed")
{
    const evidence known;
    unproven_crashes it;
    it.add(crash(1, start));
    it.on_answer(other, server_process{1}, start + millis{1});
    CHECK(it.empty());
}

TEST_CASE("unproven crash: a process that is no server any more has crashed")
{
    evidence known{.gone = {server_process{1}}, .cut = {self}};
    unproven_crashes it;
    it.add(crash(1, start));
    it.add(crash(2, start));
    CHECK(it.take_proven(start + millis{1}, known.get()).size() == 1);
}

TEST_CASE("unproven crash: one that nothing speaks against counts after a time")
{
    const evidence known;
    unproven_crashes it;
    it.add(crash(1, start));
    CHECK(it.take_proven(start + millis{900}, known.get()).empty());
    CHECK(it.take_proven(start + millis{1100}, known.get()).size() == 1);
}

TEST_CASE("unproven crash: a request that is answered has crashed nothing")
{
    const evidence known;
    unproven_crashes it;
    it.add(crash(1, start));
    it.on_request_answered(7);
    CHECK(it.empty());
}
