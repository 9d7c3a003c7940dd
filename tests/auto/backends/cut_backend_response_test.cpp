#include "quincewing/backends/backend_pool.hpp"

#include "raw_server.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr millis reset_after{50};
constexpr millis run_time{400};

enum class ending
{
    close,
    reset
};

/// A request of the product's own mode whose server sends some bytes and ends the connection.
class backend_run
{
public:
    backend_run(event_loop& loop, std::string bytes, ending how)
        : bytes_(std::move(bytes)), how_(how), server_(loop),
          pool_(loop, server_id{"s1"}, server_.address(), {},
                [](const exchange_ptr&, const request_result&) {}),
          reset_(loop, [this] { server_.reset(0); })
    {
        server_.on_received = [this] { respond(); };
        exchange_->request.method = "GET";
        exchange_->request.target = "/x";
        exchange_->request.deadline = monotonic_now() + seconds{5};
        exchange_->on_head = [](const response_head&) {};
        exchange_->on_body = [](evbuffer*) { return true; };
        exchange_->on_end = [this](bool complete) { complete_ = complete; };
        pool_.send(exchange_, {});
    }

    /// Whether a response ended as a whole one; nothing if no head came.
    [[nodiscard]] std::optional<bool> complete() const { return complete_; }
    [[nodiscard]] bool asked() const { return answered_; }

private:
    void respond()
    {
        if (answered_ || !server_.received_on(0).ends_with("\r\n\r\n")) {
            return;
        }
        answered_ = true;
        if (how_ == ending::close) {
            server_.send_and_close(bytes_, 0);
            return;
        }
        server_.send(bytes_, 0);
        reset_.once(reset_after);
    }

    std::string bytes_;
    ending how_;
    raw_server server_;
    backend_pool pool_;
    exchange_ptr exchange_ = std::make_shared<exchange>();
    timer reset_;
    bool answered_{};
    std::optional<bool> complete_;
};

/// The first number of bytes upon which a cut response is taken for whole; npos: none is.
std::size_t first_whole(const std::string& text, ending how)
{
    event_loop loop;
    std::vector<std::unique_ptr<backend_run>> runs;
    runs.reserve(text.size());
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
        runs.push_back(std::make_unique<backend_run>(loop, text.substr(0, cut), how));
    }
    timer end{loop, [&] { loop.stop(); }};
    end.once(run_time);
    loop.run();
    for (std::size_t cut = 0; cut < runs.size(); ++cut) {
        CAPTURE(cut);
        CHECK(runs[cut]->asked());
        if (runs[cut]->complete().value_or(false)) {
            return cut;
        }
    }
    return std::string::npos;
}

const std::string head = "HTTP/1.1 200 OK\r\nX-Mark: s1\r\n";

} // namespace

// Guards against a success with an empty or short body whose server broke it off.
TEST_CASE("backend cut response: one that is cut off at any byte is no whole one")
{
    CHECK(first_whole(head + "Content-Length: 12\r\n\r\nhello, world", ending::close) ==
          std::string::npos);
    CHECK(
        first_whole(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n",
                    ending::close) == std::string::npos);
    CHECK(first_whole("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
                      ending::close) == std::string::npos);
}

// Guards against a body that was to end with its connection and is taken for whole when that is
// reset.
TEST_CASE("backend cut response: one without a length ends with a close and not with a reset")
{
    const auto text = head + "\r\nhello, world";
    CHECK(first_whole(text, ending::close) == head.size() + 2);
    CHECK(first_whole(text, ending::reset) == std::string::npos);
}
