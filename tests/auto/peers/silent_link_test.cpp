#include "pausing_path.hpp"

#include "quincewing/peers/peers_task.hpp"

#include "port_block.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace quincewing;
using namespace quincewing::testing;

namespace {

/// A host that takes requests and answers them when it is told to.
class taking_host
{
public:
    taking_host(event_loop& loop, host_id id, const std::string& address, const std::string& listen)
        : peers(loop, {.self = std::move(id), .address = address, .listen = listen},
                {.on_message = [this](const envelope&) { ++messages; },
                 .on_connected = [](const peer_identity&) {},
                 .on_process_gone = [](const host_id&) {},
                 .on_request =
                     [this](const exchange_ptr& it) {
                         it->abort = [this] { ++aborted; };
                         requests.push_back(it);
                     },
                 .next_request_id = [] { return request_id{}; }})
    {
        REQUIRE(peers.start());
    }

    /// Answers the n-th request that came.
    void answer(std::size_t n) const
    {
        const auto& it = requests.at(n);
        if (it->on_head) {
            it->on_head({.status = 200});
        }
        if (it->on_end) {
            it->on_end(true);
        }
    }

    peers_task peers;
    std::vector<exchange_ptr> requests;
    int messages{};
    int aborted{};
};

/// What became of a request that was handed over.
struct outcome
{
    exchange_ptr it{std::make_shared<exchange>()};
    std::optional<int> status;
    bool whole{};
    bool failed{};
};

/// A host that hands requests over, and one that takes them at the end of a path that can pause.
class silent_link_run
{
public:
    silent_link_run()
        : path(loop, address_, listen_),
          origin(loop,
                 {.self = make_host_id(own_address_, 1),
                  .address = own_address_,
                  .listen = own_address_},
                 {.on_message = [](const envelope&) {},
                  .on_connected = [this](const peer_identity&) { ++connected; },
                  .on_disconnected = [this](const host_id&) { ++disconnected; },
                  .on_process_gone = [this](const host_id&) { ++gone; }})
    {
        start_taker();
        origin.connect_to({address_});
        run(millis{200});
        REQUIRE(origin.connected(taker_id));
    }

    /// Also in place of the one that runs.
    void start_taker()
    {
        taker.reset();
        taker_id = make_host_id(address_, ++instances_);
        taker = std::make_unique<taking_host>(loop, taker_id, address_, listen_);
    }
    void run(duration time)
    {
        timer end{loop, [this] { loop.stop(); }};
        end.once(time);
        loop.run();
    }
    std::shared_ptr<outcome> forward(bool outlasts_silence)
    {
        auto out = std::make_shared<outcome>();
        out->it->request.method = "POST";
        out->it->request.target = "/x";
        out->it->request.deadline = monotonic_now() + seconds{30};
        out->it->on_head = [raw = out.get()](const response_head& head) {
            raw->status = head.status;
        };
        out->it->on_end = [raw = out.get()](bool whole) { raw->whole = whole; };
        origin.forward(taker_id, out->it,
                       {.failed = [raw = out.get()](const forward_failure&) { raw->failed = true; },
                        .outlasts_silence = [outlasts_silence] { return outlasts_silence; }});
        outcomes_.push_back(out);
        return out;
    }
    /// Hands a request over and waits until the other host has it.
    std::shared_ptr<outcome> hand_over(bool outlasts_silence)
    {
        const auto before = taker->requests.size();
        auto out = forward(outlasts_silence);
        run(millis{100});
        REQUIRE(taker->requests.size() == before + 1);
        return out;
    }

    event_loop loop;

private:
    std::string own_address_{free_address()};
    std::string address_{free_address()};
    std::string listen_{free_address()};
    std::uint64_t instances_{1};
    std::vector<std::shared_ptr<outcome>> outcomes_;

public:
    pausing_path path;
    std::unique_ptr<taking_host> taker;
    host_id taker_id;
    peers_task origin;
    int connected{};
    int disconnected{};
    int gone{};
};

// Longer than a silent link takes to be given up.
constexpr millis silence{2300};

} // namespace

// Guards against a request that is given up at its server since the host that it goes by way of was
// suspended, or its path was full.
TEST_CASE("silent link: a request that can't be repeated gets its answer when the host is back")
{
    silent_link_run it;
    const auto request = it.hand_over(true);
    it.path.pause();
    it.run(silence);
    CHECK(it.disconnected == 1);
    CHECK_FALSE(it.origin.connected(it.taker_id));
    CHECK_FALSE(request->failed);
    CHECK(it.taker->aborted == 0);
    it.taker->answer(0);
    it.path.go_on();
    it.run(millis{1500});
    CHECK(request->status == 200);
    CHECK(request->whole);
    CHECK(it.origin.connected(it.taker_id));
    CHECK(it.origin.silent_connection_count() == 0);
}

// Guards against new requests that wait on a link which stays silent while new ones work.
TEST_CASE("silent link: a new link stands beside the one that still carries requests")
{
    silent_link_run it;
    const auto first = it.hand_over(true);
    it.path.pause_open();
    it.run(silence);
    CHECK(it.origin.connected(it.taker_id));
    const auto second = it.hand_over(true);
    it.taker->answer(1);
    it.run(millis{100});
    CHECK(second->whole);
    CHECK(it.origin.silent_connection_count() == 1);
    it.taker->answer(0);
    it.path.go_on();
    it.run(millis{200});
    CHECK(first->whole);
    CHECK(it.origin.silent_connection_count() == 0);
    CHECK(it.path.size() == 1);
}

// Guards against messages that are sent by way of a new link and arrive before older ones.
TEST_CASE("silent link: messages that were not sent yet are not sent later")
{
    silent_link_run it;
    const auto request = it.hand_over(true);
    it.path.pause_open();
    // More than sockets take in.
    constexpr int messages = 40;
    const reach_question large{.servers = {server_id{std::string(1'000'000, 's')}}};
    for (int i = 0; i < messages; ++i) {
        it.origin.send(it.taker_id, large);
    }
    it.run(silence);
    it.path.go_on();
    it.run(millis{500});
    CHECK(it.taker->messages < messages / 2);
    it.taker->answer(0);
    it.run(millis{200});
    CHECK(request->whole);
}

// Guards against a request that waits for a silent host although it may be sent elsewhere.
TEST_CASE("silent link: a request that may be repeated fails, and the connection ends with it")
{
    silent_link_run it;
    const auto request = it.hand_over(false);
    it.path.pause_open();
    it.run(silence);
    CHECK(request->failed);
    CHECK(it.origin.silent_connection_count() == 0);
    it.path.go_on();
    it.run(millis{200});
    CHECK(it.taker->aborted == 1);
    CHECK(it.path.size() == 1);
}

// Guards against connections that pile up: requests that their source has given up hold none.
TEST_CASE("silent link: a connection ends when its last request is given up")
{
    silent_link_run it;
    const auto request = it.hand_over(true);
    it.path.pause_open();
    it.run(silence);
    REQUIRE(it.origin.silent_connection_count() == 1);
    request->it->abort();
    it.run(millis{50});
    CHECK(it.origin.silent_connection_count() == 0);
    it.path.go_on();
    it.run(millis{200});
    CHECK(it.path.size() == 1);
}

// Guards against requests that wait until their deadline for a host that is gone.
TEST_CASE("silent link: requests fail at once when the connection breaks")
{
    silent_link_run it;
    const auto request = it.hand_over(true);
    it.path.pause();
    it.run(silence);
    REQUIRE(it.origin.silent_connection_count() == 1);
    it.path.break_open();
    it.run(millis{50});
    CHECK(request->failed);
    CHECK(it.origin.silent_connection_count() == 0);
}

// Guards against requests that wait for a process in whose place another one runs.
TEST_CASE("silent link: requests fail at once when another process is at the address")
{
    silent_link_run it;
    const auto request = it.hand_over(true);
    it.path.pause_open();
    it.run(silence);
    REQUIRE(it.origin.silent_connection_count() == 1);
    const auto before = it.taker_id;
    it.start_taker();
    it.run(millis{1000});
    CHECK(it.origin.connected(it.taker_id));
    CHECK(before != it.taker_id);
    CHECK(it.gone == 1);
    CHECK(request->failed);
    CHECK(it.origin.silent_connection_count() == 0);
}
