#include "quincewing/net/http_call.hpp"

#include "quincewing/net/connect_check.hpp"
#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/event_loop.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <memory>

namespace quincewing {

namespace {

struct call_state
{
    event_loop& loop;
    std::string address;
    duration timeout;
    std::function<void(const http_answer&)> done;
};

evhttp_cmd_type command_of(const std::string& method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

http_answer to_answer(evhttp_request* request)
{
    http_answer out{.status = evhttp_request_get_response_code(request)};
    auto* buf = evhttp_request_get_input_buffer(request);
    out.body.resize(evbuffer_get_length(buf));
    evbuffer_copyout(buf, out.body.data(), out.body.size());
    const auto* headers = evhttp_request_get_input_headers(request);
    for (auto* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        out.headers[it->key] = it->value;
    }
    return out;
}

void on_done(evhttp_request* request, void* arg)
{
    std::unique_ptr<call_state> state{static_cast<call_state*>(arg)};
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        state->done(to_answer(request));
        return;
    }
    // The library does not tell why there was no answer.
    auto done = std::move(state->done);
    check_connect(state->loop, state->address, state->timeout,
                  [done = std::move(done)](connect_result it) {
                      done({.refused = it == connect_result::refused});
                  });
}

} // namespace

void http_call(event_loop& loop, const http_request& request,
               std::function<void(const http_answer&)> done)
{
    const auto to = parse_endpoint(request.address);
    auto state = std::make_unique<call_state>(
        call_state{loop, request.address, request.timeout, std::move(done)});
    auto* connection = evhttp_connection_base_new(loop.base(), nullptr, to.ip.c_str(), to.port);
    const auto tv = to_timeval(request.timeout);
    evhttp_connection_set_timeout_tv(connection, &tv);
    evhttp_connection_free_on_completion(connection);
    auto* it = evhttp_request_new(on_done, state.release());
    auto* headers = evhttp_request_get_output_headers(it);
    if (!request.headers.contains("Host")) {
        evhttp_add_header(headers, "Host", request.address.c_str());
    }
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [key, value] : request.headers) {
        evhttp_add_header(headers, key.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(it), request.body.data(), request.body.size());
    evhttp_make_request(connection, it, command_of(request.method), request.path.c_str());
}

http_answer http_call_and_wait(const http_request& request)
{
    event_loop loop;
    http_answer out;
    http_call(loop, request, [&](const http_answer& it) {
        out = it;
        loop.stop();
    });
    loop.run();
    return out;
}

} // namespace quincewing
