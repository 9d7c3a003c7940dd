#include "quincewing/entry/entry_host.hpp"

#include "raw_caller.hpp"
#include "small_deployment.hpp"

#include "quincewing/http/client_connection.hpp"
#include "quincewing/net/endpoint.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <sys/socket.h>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// Sends requests one after the other over a keep-alive connection until a connect is refused.
class sequential_caller
{
public:
    sequential_caller(event_loop& loop, std::string address, std::string name)
        : loop_(loop), address_(std::move(address)), name_(std::move(name)),
          next_timer_(loop, [this] { send(); })
    {
        next_timer_.soon();
    }

    /// Request ids by outcome.
    std::set<std::string> served;
    std::set<std::string> refused;
    /// The connection broke before the response was complete.
    std::set<std::string> lost;
    /// The response was not the one to this request.
    std::set<std::string> mismatched;
    bool connection_refused{};

private:
    void send()
    {
        previous_connection_.reset();
        if (!connection_ || connection_->closed()) {
            previous_connection_ = std::move(connection_);
            connection_ =
                std::make_unique<client_connection>(loop_, client_connection_options{address_});
        }
        id_ = name_ + "-" + std::to_string(++number_);
        body_.clear();
        const auto head = "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request: " + id_ +
                          "\r\nX-Time-Left: 5000\r\nContent-Length: " + std::to_string(id_.size()) +
                          "\r\n\r\n";
        connection_->send(
            head, id_, true,
            {.on_head =
                 [this](message_head& it) {
                     status_ = it.status;
                     return head_action::accept;
                 },
             .on_body = [this](const char* buf, std::size_t n) { body_.append(buf, n); },
             .on_end = [this](bool) { on_end(); },
             .on_lost = [this](connection_loss how) { on_lost(how); }});
    }
    void on_end()
    {
        if (status_ == 200) {
            (body_ == id_ ? served : mismatched).insert(id_);
        } else {
            refused.insert(id_);
        }
        schedule_next();
    }
    void on_lost(connection_loss how)
    {
        if (how == connection_loss::refused) {
            connection_refused = true;
            return;
        }
        lost.insert(id_);
        schedule_next();
    }
    void schedule_next() { next_timer_.once(millis{7}); }

    event_loop& loop_;
    std::string address_;
    std::string name_;
    timer next_timer_;
    std::unique_ptr<client_connection> connection_;
    std::unique_ptr<client_connection> previous_connection_;
    std::string id_;
    std::string body_;
    int number_{};
    int status_{};
};

} // namespace

// Guards against requests lost at shutdown: keep-alive connections were closed although requests
// had already been read from them.
TEST_CASE("entry host: a graceful stop leaves no executed request unanswered")
{
    event_loop loop;
    small_deployment deployment{loop, {.service_time = millis{400}}};
    entry_host host{loop, deployment.settings(), deployment.api()};
    REQUIRE(host.start().empty());
    std::vector<std::unique_ptr<sequential_caller>> callers;
    timer begin{loop, [&] {
                    for (int i = 0; i < 6; ++i) {
                        callers.push_back(std::make_unique<sequential_caller>(
                            loop, deployment.settings().callers, "c" + std::to_string(i)));
                    }
                }};
    begin.once(millis{700});
    bool stopped = false;
    timer stop{loop, [&] {
                   host.stop(stop_signal_now(), [&] {
                       stopped = true;
                       loop.stop();
                   });
               }};
    stop.once(millis{1700});
    timer test_timeout{loop, [&] { loop.stop(); }};
    test_timeout.once(seconds{12});
    loop.run();
    CHECK(stopped);
    std::set<std::string> served;
    for (const auto& it : callers) {
        served.insert(it->served.begin(), it->served.end());
        CHECK(it->mismatched.empty());
        for (const auto& id : it->lost) {
            CHECK_MESSAGE(deployment.executed.count(id) == 0, "executed but not answered: ", id);
        }
        for (const auto& id : it->refused) {
            CHECK_MESSAGE(deployment.executed.count(id) == 0, "executed but refused: ", id);
        }
        for (const auto& id : it->served) {
            CHECK_MESSAGE(deployment.executed.count(id) == 1, "not executed exactly once: ", id);
            CHECK(deployment.bodies[id] == id);
        }
    }
    for (const auto& id : deployment.executed) {
        CHECK_MESSAGE(served.contains(id), "executed but not answered: ", id);
    }
    // Requests were served until the stop, and after it until the load balancer has noticed.
    CHECK(served.size() > 6 * 4);
}

namespace {

/// Starts an entry host, sends it these bytes and returns what it sends back within 600 ms.
std::string exchange_raw(const std::string& bytes, small_deployment& deployment, event_loop& loop)
{
    entry_host host{loop, deployment.settings(), deployment.api()};
    REQUIRE(host.start().empty());
    std::string out;
    const auto to = parse_endpoint(deployment.settings().callers);
    bufferevent* bev = nullptr;
    timer begin{loop, [&] {
                    bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
                    const auto on_read = [](bufferevent* from, void* arg) {
                        auto* in = bufferevent_get_input(from);
                        std::string got(evbuffer_get_length(in), '\0');
                        evbuffer_remove(in, got.data(), got.size());
                        *static_cast<std::string*>(arg) += got;
                    };
                    bufferevent_setcb(bev, on_read, nullptr, nullptr, &out);
                    bufferevent_enable(bev, EV_READ | EV_WRITE);
                    bufferevent_socket_connect_hostname(bev, nullptr, AF_INET, to.ip.c_str(),
                                                        to.port);
                    bufferevent_write(bev, bytes.data(), bytes.size());
                }};
    begin.once(millis{300});
    timer end{loop, [&] { loop.stop(); }};
    end.once(millis{900});
    loop.run();
    bufferevent_free(bev);
    return out;
}

std::string post(const std::string& id, const std::string& extra_headers, const std::string& body)
{
    return "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request: " + id +
           "\r\nX-Time-Left: 3000\r\n" + extra_headers + "\r\n" + body;
}

} // namespace

TEST_CASE("entry host: pipelined requests are answered one by one, in order")
{
    event_loop loop;
    small_deployment deployment{loop, {.service_time = millis{30}}};
    const auto got = exchange_raw(post("a", "Content-Length: 3\r\n", "aaa") +
                                      post("b", "Content-Length: 2\r\n", "bb"),
                                  deployment, loop);
    const auto first = got.find("\r\n\r\na");
    const auto second = got.find("\r\n\r\nb");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
    CHECK(deployment.bodies["a"] == "aaa");
    CHECK(deployment.bodies["b"] == "bb");
}

TEST_CASE("entry host: a request of ambiguous length is rejected, against request smuggling")
{
    event_loop loop;
    small_deployment deployment{loop, {.service_time = millis{30}}};
    const auto smuggled = post("c", "Content-Length: 0\r\n", "");
    for (const auto* headers : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                "Content-Length: 5\r\nContent-Length: 6\r\n",
                                "Transfer-Encoding : chunked\r\n", "Content-Length: +5\r\n"}) {
        const auto got = exchange_raw(post("a", headers, "0\r\n\r\n" + smuggled), deployment, loop);
        CHECK_MESSAGE(got.starts_with("HTTP/1.1 400"), headers, got);
        CHECK(deployment.executed.empty());
    }
}

TEST_CASE("entry host: an oversized body is rejected before it is received")
{
    event_loop loop;
    small_deployment deployment{loop, {.service_time = millis{30}}};
    const auto got =
        exchange_raw(post("a", "Content-Length: 900000000\r\n", "begin"), deployment, loop);
    CHECK(got.starts_with("HTTP/1.1 413"));
    CHECK(deployment.executed.empty());
}

// Guards against a rejection that the caller never sees, since the rest of its request makes the
// system reset the connection.
TEST_CASE("entry host: a caller that goes on sending an oversized body is not reset")
{
    constexpr std::size_t sent_bytes = 1'000'000;
    event_loop loop;
    small_deployment deployment{loop, {}};
    entry_host host{loop, deployment.settings(), deployment.api()};
    REQUIRE(host.start().empty());
    std::unique_ptr<raw_caller> caller;
    timer begin{loop, [&] {
                    caller = std::make_unique<raw_caller>(loop, deployment.settings().callers);
                    caller->send(
                        post("a", "Content-Length: 900000000\r\n", std::string(sent_bytes, '.')));
                }};
    begin.once(millis{300});
    timer end{loop, [&] { loop.stop(); }};
    end.once(millis{900});
    loop.run();
    CHECK(caller->statuses() == "413");
    CHECK_FALSE(caller->broken());
}
