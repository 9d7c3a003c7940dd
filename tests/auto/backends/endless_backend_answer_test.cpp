#include "endless_server.hpp"

#include "quincewing/backends/backend_pool.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <memory>
#include <optional>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// Stated target for one request: what is on its way to a caller who does not read.
constexpr std::size_t allowed_bytes = 8UL * 1024 * 1024;
constexpr millis deadline{300};
constexpr millis response_timeout{300};
constexpr millis run_time{1500};

/// A request of the product's own mode, whose caller reads nothing of the answer.
class endless_run
{
public:
    endless_run(const endless_bytes& bytes, duration pause)
        : server(loop_, bytes, pause),
          pool_(loop_, server_id{"s1"}, server.address(), {.response_timeout = response_timeout},
                [this](const exchange_ptr&, const request_result& it) { result = it; }),
          sweep_(loop_, [this] { pool_.sweep(monotonic_now()); }),
          end_(loop_, [this] { loop_.stop(); })
    {
        exchange_->request.method = "POST";
        exchange_->request.target = "/x";
        exchange_->request.deadline = monotonic_now() + deadline;
        exchange_->on_head = [](const response_head&) {};
        exchange_->on_body = [](evbuffer*) { return false; };
        exchange_->on_end = [this](bool it) { complete = it; };
        pool_.send(exchange_, {});
        sweep_.every(millis{10});
        end_.once(run_time);
        loop_.run();
    }

private:
    event_loop loop_;

public:
    endless_server server;
    std::optional<request_result> result;
    std::optional<bool> complete;

private:
    backend_pool pool_;
    exchange_ptr exchange_ = std::make_shared<exchange>();
    timer sweep_;
    timer end_;
};

/// A few bytes, or lines, of what is sent again and again.
std::string slow_piece(const std::string& filler)
{
    constexpr std::size_t letters = 4;
    constexpr std::size_t longest_lines = 64;
    const auto end = filler.rfind('\n', longest_lines);
    return filler.substr(0, end == std::string::npos ? letters : end + 1);
}

} // namespace

// Guards against a server of the own mode whose bytes hold a request, and the slot that it has, for
// ever.
TEST_CASE(
    "backend answer without end: it ends after the request's deadline, with an unknown outcome")
{
    constexpr millis pause{20};
    for (auto bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        bytes.filler = slow_piece(bytes.filler);
        const endless_run it{bytes, pause};
        REQUIRE(it.result);
        // The server may have run it.
        CHECK(it.result->verdict == verdict::unknown);
        CHECK_FALSE(it.complete.value_or(false));
        CHECK(it.server.open_connections() == 0);
    }
}

// Guards against a head of the own mode's servers that is kept however long it is.
TEST_CASE("backend answer without end: a head is read up to its limit")
{
    for (const auto& bytes : all_endless_bytes()) {
        if (bytes.name != "a status line" && bytes.name != "a header's value" &&
            bytes.name != "headers") {
            continue;
        }
        CAPTURE(bytes.name);
        const endless_run it{bytes, duration{0}};
        REQUIRE(it.result);
        CHECK(it.result->verdict == verdict::unknown);
        CHECK(it.server.taken() <= allowed_bytes);
    }
}

// Guards against a server of the own mode that takes the host's memory, or a request for ever.
TEST_CASE("backend endless answer: it costs little memory and ends after the request's deadline")
{
    for (auto bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        for (const auto pause : {millis{0}, millis{50}}) {
            CAPTURE(pause.count());
            if (pause > millis{0}) {
                bytes.filler = slow_piece(bytes.filler);
            }
            const endless_run it{bytes, pause};
            REQUIRE(it.result);
            // The server may have run it.
            CHECK(it.result->verdict == verdict::unknown);
            CHECK_FALSE(it.complete.value_or(false));
            CHECK(it.server.taken() <= allowed_bytes);
            CHECK(it.server.open_connections() == 0);
        }
    }
}
