#include "answer_run.hpp"
#include "relay_run.hpp"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// Far less than the time that callers have left.
constexpr millis soon{500};

/// An answer of a server that is a success, without its signature (X-Mark).
struct unsigned_success
{
    std::string name;
    /// What follows the line with the request's id.
    std::string rest;
    int status{200};
    /// The server closes the connection behind it.
    bool closes{};
};

std::vector<unsigned_success> unsigned_successes()
{
    return {
        {"with a length", "Content-Length: 5\r\n\r\nhello"},
        {"a letter of the signature's name is another one",
         "Y-Mark: s1\r\nContent-Length: 5\r\n\r\nhello"},
        {"the signature is empty", "X-Mark: \r\nContent-Length: 5\r\n\r\nhello"},
        {"in chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
        {"of which the rest does not come", "Content-Length: 9999\r\n\r\nhello"},
        {"without a body", "Content-Length: 0\r\n\r\n"},
        {"whose status has no body", "\r\n", 204},
        {"that says that nothing ran", "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"that ends with its connection", "\r\nhello", 200, true},
        {"without an end", "\r\nhello"},
    };
}

std::string bytes_of(const unsigned_success& it, const std::string& id)
{
    return "HTTP/1.1 " + std::to_string(it.status) + " OK\r\nX-Request: " + id + "\r\n" + it.rest;
}

/// Sends requests whose ids are the numbers below n.
void call_each(answer_run& it, std::size_t n)
{
    for (std::size_t i = 0; i < n; ++i) {
        it.call(std::to_string(i));
    }
}

/// Sends the answer to the n-th connection's request.
void answer_unsigned(raw_server& server, const unsigned_success& it, const std::string& id,
                     std::size_t n)
{
    if (it.closes) {
        server.send_and_close(bytes_of(it, id), n);
    } else {
        server.send(bytes_of(it, id), n);
    }
}

} // namespace

// Guards against a success without its server's signature that reaches the caller, and against one
// more run of a request that must run at most once.
TEST_CASE("unproven answer: a request that must run at most once fails at once, and runs once")
{
    const auto answers = unsigned_successes();
    answer_run it{{.keyed = true}};
    std::map<std::string, int> runs;
    it.on_request = [&](std::size_t n, const std::string& id) {
        ++runs[id];
        answer_unsigned(it.server, answers.at(std::stoul(id)), id, n);
    };
    it.run(soon, [&] { call_each(it, answers.size()); });
    for (std::size_t i = 0; i < answers.size(); ++i) {
        CAPTURE(answers[i].name);
        CHECK(it.statuses(i) == "502");
        CHECK(it.received(i).find("hello") == std::string::npos);
        CHECK(runs[std::to_string(i)] == 1);
    }
}

// Guards against a caller that waits or fails though another send is answered.
TEST_CASE("unproven answer: an idempotent request is sent once more")
{
    const auto answers = unsigned_successes();
    answer_run it{{.retry = retry_policy::idempotent, .keyed = true}};
    std::map<std::string, int> runs;
    it.on_request = [&](std::size_t n, const std::string& id) {
        if (++runs[id] == 1) {
            answer_unsigned(it.server, answers.at(std::stoul(id)), id, n);
        } else {
            it.server.send(response_to(id, "whole"), n);
        }
    };
    it.run(soon, [&] { call_each(it, answers.size()); });
    for (std::size_t i = 0; i < answers.size(); ++i) {
        CAPTURE(answers[i].name);
        CHECK(it.statuses(i) == "200");
        CHECK(it.received(i).ends_with("whole"));
        CHECK(runs[std::to_string(i)] == 2);
    }
}

// Guards against the rest of such an answer, or the server's true one, that is taken for the answer
// to the next request.
TEST_CASE("unproven answer: its connection carries no other request")
{
    answer_run it{{.keyed = true}};
    std::vector<std::size_t> connections;
    it.on_request = [&](std::size_t n, const std::string& id) {
        connections.push_back(n);
        if (id == "a") {
            it.server.send(bytes_of(unsigned_successes().front(), id), n);
        } else {
            it.server.send(response_to(id, "whole"), n);
        }
    };
    it.run(soon, [&] {
        it.call("a");
        it.after(millis{200}, [&] { it.call("b"); });
    });
    CHECK(it.statuses(0) == "502");
    REQUIRE(it.calls() == 2);
    CHECK(it.statuses(1) == "200");
    REQUIRE(connections.size() == 2);
    CHECK(connections[0] != connections[1]);
}

// Guards against a signature that is asked of answers that are no success.
TEST_CASE("unproven answer: a failure of a server needs no signature")
{
    answer_run it{{.keyed = true}};
    it.on_request = [&](std::size_t n, const std::string& id) {
        it.server.send("HTTP/1.1 404 None\r\nX-Request: " + id + "\r\nContent-Length: 0\r\n\r\n",
                       n);
    };
    it.run(soon, [&] { it.call("a"); });
    CHECK(it.statuses(0) == "404");
}

// Guards against such an answer that comes by way of another host.
TEST_CASE("unproven answer: a host that sent a request for another one tells a loss")
{
    for (const auto& answer : unsigned_successes()) {
        CAPTURE(answer.name);
        relay_run it{retry_policy::at_most_once};
        it.send("a");
        answer_unsigned(it.server, answer, "a", 0);
        it.run(millis{300});
        CHECK(it.statuses() == "lost");
        CHECK(it.last_loss() == "unproven");
        CHECK(it.ended());
    }
}
