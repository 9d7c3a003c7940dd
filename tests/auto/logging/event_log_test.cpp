#include "quincewing/logging/event_log.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace quincewing;

TEST_CASE("log: lines of one kind are bounded in a second, and the rest is told")
{
    std::string out;
    event_log log{[&](const char* buf, std::size_t n) {
                      out.append(buf, n);
                      return static_cast<long>(n);
                  },
                  {.lines_per_kind = 3}};
    const instant now{seconds{5}};
    for (int i = 0; i < 10; ++i) {
        log.line(now, "refused", {{"request", "r 1"}});
    }
    log.line(now, "started", {});
    log.tick(now + seconds{1});
    CHECK(log.left_out() == 7);
    CHECK(out.find("5000 refused request=\"r 1\"\n") == 0);
    CHECK(out.find("left_out of=refused lines=7") != std::string::npos);
    CHECK(out.find("started") != std::string::npos);
}

TEST_CASE("log: a reader that stopped costs lines, never time or memory")
{
    event_log log{[](const char*, std::size_t) { return -1L; }, {.max_pending = 1000}};
    for (int i = 0; i < 10'000; ++i) {
        log.line(instant{seconds{i}}, "refused", {{"request", "1234567890"}});
    }
    CHECK(log.pending() < 1100);
    CHECK(log.left_out() > 9'900);
}
