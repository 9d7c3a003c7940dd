#include "quincewing/http/http_call.hpp"

#include "call_support.hpp"

#include "quincewing/http/client_connection.hpp"
#include "quincewing/net/connect_check.hpp"
#include "quincewing/net/event_loop.hpp"

#include <utility>

namespace quincewing {

namespace {

// Answers to control calls have few headers.
constexpr std::size_t max_head = 16UL * 1024;

/// A call that is under way. It owns itself until its end.
struct running_call
{
    running_call(event_loop& l, http_request r, std::function<void(const http_answer&)> d)
        : loop(l), request(std::move(r)), done(std::move(d)),
          connection(l, {.address = request.address,
                         .max_head = max_head,
                         .connect_timeout = request.timeout}),
          timeout(l,
                  [this] {
                      connection.abort();
                      check_process();
                  }),
          deletion(l, [this] { delete this; })
    {
    }

    void start()
    {
        timeout.once(request.timeout);
        connection.send(
            call_head(request, "Connection: close\r\n"), request.body, true,
            {.on_head = [this](message_head& head) { return take_head(head); },
             .on_body = [this](const char* buf, std::size_t n) { answer.body.append(buf, n); },
             .on_end = [this](bool) { finish(answer); },
             .on_lost =
                 [this](connection_loss how) {
                     if (how == connection_loss::refused) {
                         finish({.refused = true});
                     } else {
                         check_process();
                     }
                 }});
    }

    head_action take_head(message_head& head)
    {
        answer.status = head.status;
        for (auto& [name, value] : head.headers) {
            answer.headers[name] = std::move(value);
        }
        connection.set_body_limit(request.max_answer);
        return head_action::accept;
    }

    // A connection that ends without an answer does not tell whether its process is gone.
    void check_process()
    {
        timeout.cancel();
        check_connect(loop, request.address, request.timeout, [this](connect_result it) {
            finish({.refused = it == connect_result::refused});
        });
    }

    // Neither the connection nor a timer may be destroyed inside its own function.
    void finish(const http_answer& with)
    {
        timeout.cancel();
        deletion.soon();
        tell_answer(loop, done, with);
    }

    event_loop& loop;
    http_request request;
    std::function<void(const http_answer&)> done;
    http_answer answer;
    client_connection connection;
    timer timeout;
    timer deletion;
};

} // namespace

void http_call(event_loop& loop, const http_request& request,
               std::function<void(const http_answer&)> done)
{
    auto* it = new running_call{loop, request, std::move(done)};
    it->start();
}

http_answer http_call_and_wait(const http_request& request)
{
    event_loop loop;
    http_answer out;
    timer end{loop, [&] { loop.stop(); }};
    http_call(loop, request, [&](const http_answer& it) {
        out = it;
        // After the call has been deleted.
        end.soon();
    });
    loop.run();
    return out;
}

} // namespace quincewing
