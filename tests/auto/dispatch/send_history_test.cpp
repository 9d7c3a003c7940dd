#include "quincewing/dispatch/send_history.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

const server_id a{"a"};
const server_id b{"b"};
const server_id c{"c"};

void send(send_history& to, const server_id& server)
{
    to.on_send(server);
    to.on_sent(server);
}

} // namespace

// Guards against a request that runs at one owner of its key after the other, whatever its route
// allows.
TEST_CASE("send history: a keyed request runs at no more servers than its route allows")
{
    send_history it;
    it.set_limits(2, true);
    CHECK(it.may_run_at(a));
    send(it, a);
    CHECK(it.may_run_at(b));
    send(it, b);
    CHECK(it.may_send_again());
    CHECK(it.may_run_at(a));
    CHECK_FALSE(it.may_run_at(c));
    // A server that did not run it does not count.
    it.on_not_run(b);
    CHECK(it.may_run_at(c));
}

// Guards against a request that is sent to a server again and again, as long as the retry budget
// lasts, since the server says each time that it is another one.
TEST_CASE("send history: a keyed request that its server turns away is sent three times at most")
{
    send_history it;
    it.set_limits(2, true);
    int sends = 0;
    while (it.may_send_again() && sends < 100) {
        send(it, a);
        it.on_not_run(a);
        it.forget(a);
        ++sends;
    }
    CHECK(sends == 3);
}

TEST_CASE("send history: a request without a key is sent to as many servers as its route allows")
{
    send_history it;
    it.set_limits(2, false);
    CHECK(it.may_send_again());
    send(it, a);
    CHECK(it.may_send_again());
    send(it, b);
    CHECK_FALSE(it.may_send_again());
    CHECK(it.sends() == 2);
}
