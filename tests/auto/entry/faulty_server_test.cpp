#include "faulty_server.hpp"
#include "test_options.hpp"

#include <doctest/doctest.h>
#include <random>
#include <string>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr int requests = 400;
constexpr millis calls_for{4000};
constexpr millis answers_for{2500};

void check_answer(const answer_run& run, const faulty_server& server, std::size_t n)
{
    const auto id = "r" + std::to_string(n);
    const auto status = run.statuses(n);
    const auto runs = server.runs(id);
    CAPTURE(id);
    CAPTURE(run.received(n));
    CHECK(runs <= 1);
    if (status == "200") {
        CHECK(runs == 1);
        CHECK(run.received(n).find("X-Request: " + id + "\r\n") != std::string::npos);
        CHECK(run.received(n).ends_with("\r\n\r\nfor " + id));
    } else if (status == "503") {
        CHECK(runs == 0);
    } else {
        CHECK(status == "502");
    }
}

} // namespace

// Guards against requests that must run at most once and run twice, are refused though they run, or
// get the answer to another, behind a server that writes earlier answers once more.
TEST_CASE("faulty server: answers written once more break no promise")
{
    const auto seed = options().seed;
    CAPTURE(seed);
    std::mt19937_64 random{seed};
    answer_run it{{.keyed = true}};
    faulty_server server{it, seed};
    it.run(calls_for + answers_for, [&] {
        for (int i = 0; i < requests; ++i) {
            const auto at = std::uniform_int_distribution<int>{0, 4000}(random);
            it.after(millis{at}, [&] { it.call("r" + std::to_string(it.calls())); });
        }
    });
    int answered = 0;
    for (std::size_t n = 0; n < it.calls(); ++n) {
        check_answer(it, server, n);
        answered += it.statuses(n) == "200" ? 1 : 0;
    }
    MESSAGE("seed " << seed << ": answered " << answered << " refusals " << server.refusals()
                    << " repeated " << server.repeated());
    CHECK(answered > requests / 3);
    CHECK(server.repeated() > requests / 20);
}
