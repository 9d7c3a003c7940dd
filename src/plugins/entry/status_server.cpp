#include "status_server.hpp"

#include "http_status.hpp"

#include "quincewing/net/endpoint.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace quincewing {

namespace {

constexpr int http_ok = 200;
// Questions have few headers and no body.
constexpr std::size_t max_request_bytes = 16UL * 1024;

void reply_text(evhttp_request* request, int status, const std::string& text)
{
    auto* buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, buf);
    evbuffer_free(buf);
}

} // namespace

status_server::status_server(host_context context, std::function<bool()> ready,
                             std::function<void()> update_metrics,
                             std::function<std::string()> servers)
    : context_(std::move(context)), ready_(std::move(ready)),
      update_metrics_(std::move(update_metrics)), servers_(std::move(servers))
{
}

status_server::~status_server()
{
    for (auto* it : {readiness_, metrics_}) {
        if (it != nullptr) {
            evhttp_free(it);
        }
    }
}

evhttp* status_server::listen(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    auto* out = evhttp_new(context_.loop.base());
    evhttp_set_max_headers_size(out, max_request_bytes);
    evhttp_set_max_body_size(out, max_request_bytes);
    evhttp_set_bevcb(
        out,
        [](event_base* base, void*) {
            auto* it = bufferevent_socket_new(base, -1, 0);
            // The library reads a line of a chunk whole, however long it is.
            bufferevent_setwatermark(it, EV_READ, 0, 2 * max_request_bytes);
            return it;
        },
        nullptr);
    if (evhttp_bind_socket(out, endpoint.ip.c_str(), endpoint.port) != 0) {
        evhttp_free(out);
        return nullptr;
    }
    return out;
}

std::string status_server::start()
{
    readiness_ = listen(context_.settings.readiness);
    if (readiness_ == nullptr) {
        return context_.settings.readiness;
    }
    metrics_ = listen(context_.settings.metrics);
    if (metrics_ == nullptr) {
        return context_.settings.metrics;
    }
    const auto on_readiness = [](evhttp_request* request, void* arg) {
        const bool ready = static_cast<status_server*>(arg)->ready_();
        reply_text(request, ready ? http_ok : http_status::unavailable,
                   ready ? "ready\n" : "not ready\n");
    };
    evhttp_set_cb(readiness_, context_.platform.names.readiness_path.c_str(), on_readiness, this);
    const auto on_metrics = [](evhttp_request* request, void* arg) {
        auto& self = *static_cast<status_server*>(arg);
        self.update_metrics_();
        reply_text(request, http_ok, self.context_.metrics.render());
    };
    evhttp_set_cb(metrics_, "/metrics", on_metrics, this);
    const auto on_status = [](evhttp_request* request, void* arg) {
        reply_text(request, http_ok, static_cast<status_server*>(arg)->servers_());
    };
    evhttp_set_cb(metrics_, "/status", on_status, this);
    return {};
}

} // namespace quincewing
