#include "http_server.hpp"

#include "quincewing/net/endpoint.hpp"

#include <cstdlib>
#include <ctime>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

namespace quincewing::standin {

http_server::http_server(event_loop& loop, const std::string& address, handler handle)
    : handle_(std::move(handle)), http_(evhttp_new(loop.base()))
{
    const auto at = parse_endpoint(address);
    evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                          EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* arg) {
            static_cast<http_server*>(arg)->handle_(request);
        },
        this);
    if (auto* socket = evhttp_bind_socket_with_handle(http_, at.ip.c_str(), at.port)) {
        fd_ = evhttp_bound_socket_get_fd(socket);
    }
}

http_server::~http_server()
{
    evhttp_free(http_);
}

std::string path_of(evhttp_request* request)
{
    const auto* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return path == nullptr ? "" : path;
}

values query_of(evhttp_request* request)
{
    values out;
    const auto* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq parsed{};
    if (query == nullptr || evhttp_parse_query_str(query, &parsed) != 0) {
        return out;
    }
    for (auto* it = parsed.tqh_first; it != nullptr; it = it->next.tqe_next) {
        out[it->key] = it->value;
    }
    evhttp_clear_headers(&parsed);
    return out;
}

std::string body_of(evhttp_request* request)
{
    auto* buf = evhttp_request_get_input_buffer(request);
    std::string out(evbuffer_get_length(buf), '\0');
    evbuffer_copyout(buf, out.data(), out.size());
    return out;
}

std::string caller_of(evhttp_request* request)
{
    char* ip = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &port);
    return ip == nullptr ? "" : ip;
}

std::string header_of(evhttp_request* request, const char* name)
{
    const auto* it = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return it == nullptr ? "" : it;
}

void reply(evhttp_request* request, int status, const std::string& body)
{
    auto* buf = evbuffer_new();
    evbuffer_add(buf, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

double number(const values& query, const std::string& name, double fallback)
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::strtod(found->second.c_str(), nullptr);
}

long long now_ns()
{
    timespec it{};
    clock_gettime(CLOCK_MONOTONIC, &it);
    return it.tv_sec * 1'000'000'000LL + it.tv_nsec;
}

} // namespace quincewing::standin
