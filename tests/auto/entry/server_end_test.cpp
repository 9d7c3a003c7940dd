#include "raw_caller.hpp"
#include "raw_server.hpp"
#include "small_deployment.hpp"

#include "quincewing/entry/entry_host.hpp"
#include "quincewing/net/endpoint.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

constexpr millis begin_after{500};

/// An entry host whose one server is a raw server.
class server_end_run
{
public:
    explicit server_end_run(small_deployment_options options,
                            raw_server_options server_options = {})
        : deployment_(loop, options), server(loop, server_options),
          host_(loop, deployment_.settings(), api())
    {
    }

    /// Starts the host, calls begin and runs for this long.
    void run(duration time, const std::function<void()>& begin)
    {
        REQUIRE(host_.start().empty());
        timer begin_timer{loop, begin};
        begin_timer.once(begin_after);
        timer end{loop, [&] { loop.stop(); }};
        end.once(begin_after + time);
        loop.run();
    }

    [[nodiscard]] std::string callers() const { return deployment_.settings().callers; }

    event_loop loop;

private:
    [[nodiscard]] deployment_api api()
    {
        auto out = deployment_.api();
        const auto decode = out.decode_server;
        out.decode_server = [this, decode](const store_record& record) {
            auto it = decode(record);
            it->address = server.address();
            return it;
        };
        return out;
    }

    small_deployment deployment_;

public:
    raw_server server;

private:
    entry_host host_;
};

std::string request_with_body(const std::string& id, const std::string& body)
{
    return "POST /x HTTP/1.1\r\nHost: desk.example\r\nX-Request: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A caller that closes its connection at once.
void send_and_leave(const std::string& address, const std::string& bytes)
{
    const auto to = parse_endpoint(address);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    close(fd);
}

} // namespace

// Guards against a request that is given up at its server since the server was silent for 600 ms.
TEST_CASE("entry server end: a request that can't be repeated outlasts its server's silence")
{
    server_end_run it{{}, {.receive_buffer = 2048, .reading = false}};
    const std::string body(14'000, '.');
    timer read_on{it.loop, [&] { it.server.set_reading(true); }};
    it.server.on_accepted = [&] { read_on.once(millis{1500}); };
    it.server.on_received = [&] {
        if (it.server.received().ends_with(body)) {
            it.server.send(response_to("a", "ok"));
        }
    };
    std::unique_ptr<raw_caller> caller;
    it.run(millis{3000}, [&] {
        caller = std::make_unique<raw_caller>(it.loop, it.callers());
        caller->send(request_with_body("a", body));
    });
    CHECK_MESSAGE(caller->statuses() == "200", caller->received());
}

// Guards against a request that its server gets although the caller left before it was sent.
TEST_CASE("entry server end: a request is not sent after its caller has left")
{
    server_end_run it{{}};
    it.run(millis{500}, [&] { send_and_leave(it.callers(), post_request("a")); });
    CHECK(it.server.received().empty());
}
