#include "endless_server.hpp"

#include "quincewing/http/client_connection.hpp"

#include <doctest/doctest.h>

using namespace quincewing;
using namespace quincewing::testing;

// Guards against late answers of a great size that keep a connection busy until the deadline.
TEST_CASE("endless answer: a response that is passed over ends too")
{
    for (const auto& bytes : all_endless_bytes()) {
        CAPTURE(bytes.name);
        event_loop loop;
        endless_server server{loop, bytes};
        client_connection it{loop, {.address = server.address()}};
        bool lost = false;
        it.send("GET / HTTP/1.1\r\n\r\n", "", true,
                {.on_head = [](message_head&) { return head_action::skip; },
                 .on_lost = [&](connection_loss) {
                     lost = true;
                     loop.stop();
                 }});
        timer limit{loop, [&] { loop.stop(); }};
        limit.once(seconds{5});
        loop.run();
        CHECK(lost);
        // Passed over, not kept: a late answer may be a long one.
        constexpr std::size_t allowed_to_pass = 32UL * 1024 * 1024;
        CHECK(server.taken() <= allowed_to_pass);
    }
}
