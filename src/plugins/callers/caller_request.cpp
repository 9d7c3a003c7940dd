#include "caller_request.hpp"

#include "request_reader.hpp"

#include "quincewing/net/evhtp_hook.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace quincewing {

namespace {

constexpr std::uint64_t gathered_at_most = 32UL * 1024;

std::string target_of(const evhtp_request_t* request)
{
    std::string out = request->uri->path->full;
    if (request->uri->query_raw != nullptr && request->uri->query_raw[0] != '\0') {
        out += "?";
        out += reinterpret_cast<const char*>(request->uri->query_raw);
    }
    return out;
}

inbound_request copy_request(evhtp_request_t* request, const std::string& target)
{
    inbound_request out;
    out.method = htparser_get_methodstr_m(request->method);
    out.target = target;
    const auto add = [](evhtp_kv_t* kv, void* arg) {
        static_cast<header_list*>(arg)->emplace_back(std::string{kv->key, kv->klen},
                                                     std::string{kv->val, kv->vlen});
        return 0;
    };
    evhtp_kvs_for_each(request->headers_in, add, &out.headers);
    out.body.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_remove(request->buffer_in, out.body.data(), out.body.size());
    return out;
}

// Whether bytes of a next request have come on the connection.
bool more_came(const evhtp_connection_t* connection)
{
    int in_socket = 0;
    ioctl(connection->sock, FIONREAD, &in_socket);
    return in_socket > 0 || evbuffer_get_length(bufferevent_get_input(connection->bev)) > 0;
}

} // namespace

caller_request::caller_request(host_task& host, evhtp_request_t* request)
    // The library puts the body of a posted form in the place of the query when it has read it.
    : host_(host), request_(request), target_(target_of(request))
{
}

void caller_request::attach(host_task& host, evhtp_request_t* request)
{
    auto* self = new caller_request{host, request};
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini, as_evhtp_hook(on_fini), self);
    evhtp_request_set_hook(request, evhtp_hook_on_error, as_evhtp_hook(on_error), self);
}

void caller_request::take(evhtp_request_t* request)
{
    auto* self = static_cast<caller_request*>(request->hooks->on_request_fini_arg);
    evhtp_request_pause(request);
    self->begin();
}

void caller_request::begin()
{
    auto request = copy_request(request_, target_);
    const auto read = read_request(host_.settings(), monotonic_now(), request);
    std::erase_if(request.headers, [](const auto& it) { return is_hop_by_hop_header(it.first); });
    if (!read) {
        refuse(read.error().status, read.error().what);
        return;
    }
    if (!host_.taking_requests()) {
        refuse(503, "starting: the log is not read yet");
        return;
    }
    it_ = std::make_shared<exchange>();
    it_->id = host_.next_request_id();
    it_->request = std::move(request);
    it_->on_head = [this](const response_head& head) { on_head(head); };
    it_->on_body = [this](evbuffer* data) { return on_body(data); };
    it_->on_end = [this](bool whole) { on_end(whole); };
    host_.handle(it_);
}

void caller_request::add_header(const char* key, const std::string& value)
{
    evhtp_headers_add_header(request_->headers_out, evhtp_header_new(key, value.c_str(), 1, 1));
}

// A refusal of the request itself: nothing ran.
void caller_request::refuse(int status, const std::string& what)
{
    response_head head{.status = status, .verdict = verdict::not_run, .length = what.size() + 1};
    head.retry_after = status == 503 ? duration{seconds{1}} : duration{0};
    head.headers.emplace_back("Content-Type", "text/plain");
    on_head(head);
    evbuffer_add_printf(request_->buffer_out, "%s\n", what.c_str());
    on_end(true);
}

void caller_request::on_head(const response_head& head)
{
    status_ = static_cast<evhtp_res>(head.status);
    for (const auto& [key, value] : head.headers) {
        add_header(key.c_str(), value);
    }
    add_header("Quincewing-Verdict", to_string(head.verdict));
    if (it_) {
        add_header("Quincewing-Request-Id", std::to_string(it_->id.value));
    }
    if (head.why != refusal::none) {
        add_header("Quincewing-Reason", to_string(head.why));
    }
    if (head.status == 503 || head.status == 429 || head.retry_after > duration{0}) {
        add_header("Retry-After", retry_after_seconds(head.retry_after));
    }
    const bool no_body = evhtp_response_needs_body(status_, request_->method) == 0;
    if (no_body || (head.length && *head.length <= gathered_at_most)) {
        framing_ = framing::gathered;
        // The caller ends the connection: a close from here could cut the answer off.
        if (host_.ends_connections() && !more_came(request_->conn)) {
            add_header("Connection", "close");
        }
    } else if (head.length) {
        framing_ = framing::sized;
        add_header("Content-Length", std::to_string(*head.length));
        evhtp_send_reply_start(request_, status_);
    } else {
        framing_ = framing::chunked;
        evhtp_send_reply_chunk_start(request_, status_);
    }
    if (framing_ != framing::gathered) {
        evhtp_connection_set_hook(request_->conn, evhtp_hook_on_write, as_evhtp_hook(on_write),
                                  this);
    }
}

bool caller_request::on_body(evbuffer* data)
{
    if (finished_) {
        return true;
    }
    if (framing_ == framing::gathered) {
        evbuffer_add_buffer(request_->buffer_out, data);
        return true;
    }
    if (framing_ == framing::chunked) {
        evhtp_send_reply_chunk(request_, data);
    } else {
        evhtp_send_reply_body(request_, data);
    }
    auto* out = bufferevent_get_output(evhtp_connection_get_bev(request_->conn));
    return evbuffer_get_length(out) < host_.settings().limits.answer_buffer;
}

void caller_request::on_end(bool whole)
{
    if (finished_) {
        return;
    }
    if (!whole && framing_ == framing::gathered) {
        // Nothing was sent so far.
        fail();
        return;
    }
    if (!whole) {
        // What was sent so far must not look complete.
        finished_ = true;
        shutdown(request_->conn->sock, SHUT_RDWR);
        evhtp_request_resume(request_);
        return;
    }
    finish();
}

// The answer broke off before any of it was sent: the caller gets an answer of this host.
void caller_request::fail()
{
    const auto [head, body] =
        to_response({.verdict = verdict::unknown, .why = refusal::server_failed});
    evhtp_kvs_free(request_->headers_out);
    request_->headers_out = evhtp_kvs_new();
    evbuffer_drain(request_->buffer_out, evbuffer_get_length(request_->buffer_out));
    on_head(head);
    evbuffer_add(request_->buffer_out, body.data(), body.size());
    finish();
}

void caller_request::finish()
{
    finished_ = true;
    switch (framing_) {
    case framing::chunked:
        evhtp_send_reply_chunk_end(request_);
        break;
    case framing::sized:
        evhtp_send_reply_end(request_);
        break;
    default:
        evhtp_send_reply(request_, status_);
        break;
    }
    evhtp_request_resume(request_);
}

evhtp_res caller_request::on_fini(evhtp_request_t* request, void* arg)
{
    auto* self = static_cast<caller_request*>(arg);
    if (request->conn != nullptr) {
        evhtp_connection_unset_hook(request->conn, evhtp_hook_on_write);
    }
    if (self->it_) {
        self->it_->on_head = nullptr;
        self->it_->on_body = nullptr;
        self->it_->on_end = nullptr;
        self->host_.caller_gone(self->it_);
    }
    delete self;
    return EVHTP_RES_OK;
}

// The library keeps a broken connection, and its request, for as long as it is paused.
void caller_request::on_error(evhtp_request_t* request, evhtp_error_flags /*error*/, void* arg)
{
    auto* self = static_cast<caller_request*>(arg);
    if (!self->finished_) {
        self->finished_ = true;
        evhtp_request_resume(request);
    }
}

evhtp_res caller_request::on_write(evhtp_connection_t* /*connection*/, void* arg)
{
    auto* self = static_cast<caller_request*>(arg);
    if (self->it_ && self->it_->resume) {
        self->it_->resume();
    }
    return EVHTP_RES_OK;
}

} // namespace quincewing
