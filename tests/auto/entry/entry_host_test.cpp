#include "quincewing/entry/entry_host.hpp"

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

/// A caller that sends the next request on its connection when the last is answered, until nobody
/// listens any more.
class steady_caller
{
public:
    steady_caller(event_loop& loop, std::string address, std::string name)
        : loop_(loop), address_(std::move(address)), name_(std::move(name)),
          next_timer_(loop, [this] { send(); })
    {
        next_timer_.soon();
    }

    /// Ids by what came of them.
    std::set<std::string> served;
    std::set<std::string> refused;
    /// The connection ended after the request's bytes had gone out.
    std::set<std::string> lost;
    std::set<std::string> mixed;
    bool nobody_listens{};

private:
    void send()
    {
        old_.reset();
        if (!connection_ || connection_->closed()) {
            old_ = std::move(connection_);
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
            (body_ == id_ ? served : mixed).insert(id_);
        } else {
            refused.insert(id_);
        }
        go_on();
    }
    void on_lost(connection_loss how)
    {
        if (how == connection_loss::refused) {
            nobody_listens = true;
            return;
        }
        lost.insert(id_);
        go_on();
    }
    void go_on() { next_timer_.once(millis{7}); }

    event_loop& loop_;
    std::string address_;
    std::string name_;
    timer next_timer_;
    std::unique_ptr<client_connection> connection_;
    std::unique_ptr<client_connection> old_;
    std::string id_;
    std::string body_;
    int number_{};
    int status_{};
};

} // namespace

// LOST: a stop ended kept connections behind requests that it had read.
TEST_CASE("entry host: a stop in order leaves no request without its answer")
{
    event_loop loop;
    small_deployment deployment{loop, millis{400}};
    entry_host host{loop, deployment.settings(), deployment.api()};
    REQUIRE(host.start().empty());
    std::vector<std::unique_ptr<steady_caller>> callers;
    timer begin{loop, [&] {
                    for (int i = 0; i < 6; ++i) {
                        callers.push_back(std::make_unique<steady_caller>(
                            loop, deployment.settings().callers, "c" + std::to_string(i)));
                    }
                }};
    begin.once(millis{700});
    bool stopped = false;
    // As long as the process stays after the stop, for what is still in its sockets.
    timer end{loop, [&] { loop.stop(); }};
    timer stop{loop, [&] {
                   host.stop([&] {
                       stopped = true;
                       end.once(millis{150});
                   });
               }};
    stop.once(millis{1700});
    timer give_up{loop, [&] { loop.stop(); }};
    give_up.once(seconds{12});
    loop.run();
    CHECK(stopped);
    std::set<std::string> served;
    for (const auto& it : callers) {
        served.insert(it->served.begin(), it->served.end());
        CHECK(it->mixed.empty());
        for (const auto& id : it->lost) {
            CHECK_MESSAGE(deployment.begun.count(id) == 0, "ran and was not answered: ", id);
        }
        for (const auto& id : it->refused) {
            CHECK_MESSAGE(deployment.begun.count(id) == 0, "ran and was refused: ", id);
        }
        for (const auto& id : it->served) {
            CHECK_MESSAGE(deployment.begun.count(id) == 1, "ran not once: ", id);
            CHECK(deployment.bodies[id] == id);
        }
    }
    for (const auto& id : deployment.begun) {
        CHECK_MESSAGE(served.contains(id), "ran and was not answered: ", id);
    }
    // They were served until the stop, and for the time that the balancer takes to notice.
    CHECK(served.size() > 6 * 4);
}

namespace {

/// What a host sends back to these bytes until it closes or says nothing for a while.
std::string raw_answer(const std::string& bytes, small_deployment& deployment, event_loop& loop)
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

std::string post(const std::string& id, const std::string& more, const std::string& body)
{
    return "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request: " + id +
           "\r\nX-Time-Left: 3000\r\n" + more + "\r\n" + body;
}

} // namespace

TEST_CASE("entry host: requests that come in one piece are answered one by one, in order")
{
    event_loop loop;
    small_deployment deployment{loop, millis{30}};
    const auto got = raw_answer(post("a", "Content-Length: 3\r\n", "aaa") +
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

TEST_CASE("entry host: a request whose end two parsers see at two places goes nowhere")
{
    event_loop loop;
    small_deployment deployment{loop, millis{30}};
    const auto smuggled = post("c", "Content-Length: 0\r\n", "");
    for (const auto* more : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                             "Content-Length: 5\r\nContent-Length: 6\r\n",
                             "Transfer-Encoding : chunked\r\n", "Content-Length: +5\r\n"}) {
        const auto got = raw_answer(post("a", more, "0\r\n\r\n" + smuggled), deployment, loop);
        CHECK_MESSAGE(got.starts_with("HTTP/1.1 400"), more, got);
        CHECK(deployment.begun.empty());
    }
}

TEST_CASE("entry host: a body over the limit is refused before it has come")
{
    event_loop loop;
    small_deployment deployment{loop, millis{30}};
    const auto got =
        raw_answer(post("a", "Content-Length: 900000000\r\n", "begin"), deployment, loop);
    CHECK(got.starts_with("HTTP/1.1 413"));
    CHECK(deployment.begun.empty());
}
