#include "process_fleet.hpp"
#include "test_options.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr std::uint64_t own_schedules = 150;

/// Changes, adds or removes some bytes.
std::string odd(std::string text, std::mt19937_64& random)
{
    const auto below = [&](std::size_t n) {
        return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
    };
    for (std::size_t i = 0; i < 1 + below(3); ++i) {
        const auto at = below(text.size() + 1);
        const auto byte = static_cast<char>(below(256));
        if (below(3) == 0 && at < text.size()) {
            text.erase(at, 1 + below(4));
        } else if (at < text.size()) {
            text[at] = byte;
        } else {
            text += byte;
        }
    }
    return text;
}

http_answer ask(const process_fleet& fleet, const std::string& path, const std::string& body)
{
    return http_call_and_wait(
        {.method = "POST", .address = fleet.operators(0), .path = path, .body = body});
}

} // namespace

// Guards against an operator's bytes that end the host, and with it the requests that it has.
TEST_CASE("operator pages: what is no text, or of another type, is answered and ends no host")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    const std::vector<std::pair<std::string, std::string>> cases{
        {"/explain", "\xff\xfe"},
        {"/explain", "boats/\xff"},
        {"/plan", R"({"intent":"level","service":"boats","operator":5})"},
        {"/plan", R"({"intent":"level","service":"boats","operator":null})"},
        {"/plan", "[]"},
        {"/plan", "7"},
        {"/plan", R"({"intent":"set","name":"x","value":{}})"},
        {"/confirm", "[]"},
        {"/confirm", R"({"plan":"p1","operator":[]})"},
    };
    for (const auto& it : cases) {
        const auto& path = it.first;
        const auto& body = it.second;
        CAPTURE(path);
        CAPTURE(body);
        CHECK(ask(fleet, path, body).status != 0);
        REQUIRE_FALSE(fleet.host(0).ended());
    }
    std::mt19937_64 random{options().seed};
    CAPTURE(options().seed);
    for (std::uint64_t i = 0; i < schedules_or(own_schedules); ++i) {
        const auto& [path, body] = cases[i % cases.size()];
        const auto bytes = odd(body, random);
        CAPTURE(bytes);
        // A plan that is confirmed by chance waits for its fate.
        ask(fleet, path, bytes);
        REQUIRE_FALSE(fleet.host(0).ended());
    }
    CHECK(fleet.status(0).status == 200);
}

// Guards against a caller's bytes that end the host once an operator asks for the request.
TEST_CASE("operator pages: a request whose key is no text is explained")
{
    process_fleet fleet{{}};
    REQUIRE(fleet.wait_served());
    const std::string key = "k\xff\xfe";
    http_call_and_wait({.method = "POST",
                        .address = fleet.callers(0),
                        .path = "/boats/boat7/deposit",
                        .headers = {{"Idempotency-Key", key}},
                        .timeout = seconds{4}});
    CHECK(ask(fleet, "/explain", key).status != 0);
    CHECK_FALSE(fleet.host(0).ended());
}

// Guards against a command that ends by a signal in place of an error.
TEST_CASE("operator pages: a word of a command that is no text is a clear error")
{
    constexpr int bad_usage = 2;
    const auto log = std::filesystem::temp_directory_path() /
                     ("quincewing-plan-" + std::to_string(getpid()) + ".log");
    child_process command{
        {QUINCEWING_PROGRAM, "plan", "-a", "127.0.0.1:1", "level", "service=\xff"}, log};
    CHECK(command.wait() == bad_usage);
    std::stringstream text;
    text << std::ifstream{log}.rdbuf();
    CHECK(text.str().find("not UTF-8") != std::string::npos);
    std::filesystem::remove(log);
}
