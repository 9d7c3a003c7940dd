#include "backend_connection.hpp"

#include "quincewing/http/status_line.hpp"
#include "quincewing/net/endpoint.hpp"
#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace quincewing {

namespace {

struct method_name
{
    const char* name;
    evhttp_cmd_type command;
};

constexpr method_name methods[] = {
    {"GET", EVHTTP_REQ_GET},     {"POST", EVHTTP_REQ_POST},     {"PUT", EVHTTP_REQ_PUT},
    {"HEAD", EVHTTP_REQ_HEAD},   {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"PATCH", EVHTTP_REQ_PATCH},
};

evhttp_cmd_type command_of(const std::string& method)
{
    const auto* found = std::find_if(std::begin(methods), std::end(methods),
                                     [&](const auto& it) { return method == it.name; });
    return found == std::end(methods) ? EVHTTP_REQ_GET : found->command;
}

// The library goes on to the next response behind this one only. Another below 200 would be the
// last one, and so is one that has a body.
bool is_interim(const evhttp_request* request)
{
    const auto* headers = evhttp_request_get_input_headers(const_cast<evhttp_request*>(request));
    return evhttp_request_get_response_code(request) == 100 &&
           evhttp_find_header(headers, "Content-Length") == nullptr &&
           evhttp_find_header(headers, "Transfer-Encoding") == nullptr;
}

constexpr ev_ssize_t max_head_bytes = 65'536;
// Bytes of all interim responses and the final head together. Each head is limited by
// max_head_bytes, but the number of interim responses is not.
constexpr std::size_t max_bytes_before_head = 4UL * max_head_bytes;
// The line before a chunk: its length and its extension.
constexpr std::size_t max_chunk_line = 65'536;
// A longer chunk is handed on in parts.
constexpr std::size_t chunk_part = 65'536;
// A server says in its protocol that it did not run a request.
constexpr const char* not_run_header = "Quincewing-Not-Run";

} // namespace

backend_connection::backend_connection(event_loop& loop, backend_pool& pool,
                                       const std::string& address)
    : pool_(pool), address_(address)
{
    const auto to = parse_endpoint(address);
    auto* bev = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection_ =
        evhttp_connection_base_bufferevent_new(loop.base(), nullptr, bev, to.ip.c_str(), to.port);
    // Without it the library breaks the connection off after a time of its own.
    const auto tv = to_timeval(pool.options_.response_timeout);
    evhttp_connection_set_timeout_tv(connection_, &tv);
    evhttp_connection_set_max_headers_size(connection_, max_head_bytes);
    evbuffer_add_cb(bufferevent_get_output(bev), on_written, this);
    evbuffer_add_cb(bufferevent_get_input(bev), on_received, this);
}

backend_connection::~backend_connection()
{
    freeing_ = true;
    evhttp_connection_free(connection_);
}

// The library's own time counts from the last byte, and bytes may come without end.
bool backend_connection::overdue(instant now) const
{
    return busy_ && now > std::max(sent_at_, current_.it->request.deadline) +
                              pool_.options_.response_timeout;
}

bool backend_connection::unread() const
{
    return unread_bytes(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_))) > 0;
}

void backend_connection::on_written(evbuffer* /*buf*/, const evbuffer_cb_info* info, void* arg)
{
    auto& self = *static_cast<backend_connection*>(arg);
    if (info->n_deleted > 0 && !self.freeing_) {
        self.handed_ = true;
    }
}

// The library takes any number that the line's second word begins with, and doesn't keep the line.
void backend_connection::check_status_line(evbuffer* buf)
{
    std::size_t line_end_size = 0;
    const auto end = evbuffer_search_eol(buf, nullptr, &line_end_size, EVBUFFER_EOL_CRLF);
    if (end.pos < 0) {
        return;
    }
    std::string line(static_cast<std::size_t>(end.pos), '\0');
    evbuffer_copyout(buf, line.data(), line.size());
    status_line_seen_ = true;
    status_line_valid_ = is_status_line(line);
}

void backend_connection::on_received(evbuffer* buf, const evbuffer_cb_info* info, void* arg)
{
    auto& self = *static_cast<backend_connection*>(arg);
    if (info->n_added == 0 || !self.busy_ || self.freeing_) {
        return;
    }
    if (!self.status_line_seen_) {
        self.check_status_line(buf);
    }
    self.check_limits(buf, info->n_added);
    self.take_part_of_chunk(buf);
}

// Called inside the library's own handling of the bytes: the pool ends the request later.
void backend_connection::check_limits(evbuffer* buf, std::size_t added)
{
    if (!head_received_) {
        bytes_before_head_ += added;
        over_limit_ = over_limit_ || bytes_before_head_ > max_bytes_before_head;
    } else if (request_ != nullptr && request_->chunked != 0 && request_->ntoread < 0) {
        // What came before has been handled and holds no whole line.
        over_limit_ = over_limit_ || evbuffer_get_length(buf) - added > max_chunk_line;
    }
    if (over_limit_) {
        bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
        pool_.limit_timer_.soon();
    }
}

void backend_connection::take_part_of_chunk(evbuffer* buf)
{
    const auto n = evbuffer_get_length(buf);
    if (!head_received_ || request_ == nullptr || request_->chunked == 0 || n < chunk_part ||
        request_->ntoread <= static_cast<ev_int64_t>(n)) {
        return;
    }
    auto* part = evhttp_request_get_input_buffer(request_);
    evbuffer_remove_buffer(buf, part, n);
    // Bytes of the chunk that are still to come, as the library counts them.
    request_->ntoread -= static_cast<ev_int64_t>(n);
    take_body(request_);
    evbuffer_drain(part, evbuffer_get_length(part));
}

void backend_connection::send(const backend_pool::waiting& it, instant now)
{
    current_ = it;
    result_ = {};
    busy_ = true;
    handed_ = false;
    head_received_ = false;
    status_line_seen_ = false;
    status_line_valid_ = false;
    bytes_before_head_ = 0;
    checking = false;
    checked = false;
    sent_at_ = now;
    const auto& request = it.it->request;
    auto* out = evhttp_request_new(on_done, this);
    request_ = out;
    evhttp_request_set_header_cb(out, on_head);
    evhttp_request_set_chunked_cb(out, on_chunk);
    auto* headers = evhttp_request_get_output_headers(out);
    evhttp_add_header(headers, "Host", address_.c_str());
    for (const auto& [key, value] : request.headers) {
        evhttp_add_header(headers, key.c_str(), value.c_str());
    }
    const auto left = std::chrono::duration_cast<millis>(request.deadline - now).count();
    evhttp_add_header(headers, "Quincewing-Deadline-Ms",
                      std::to_string(std::max<long>(left, 1)).c_str());
    if (it.at.offset > 0) {
        evhttp_add_header(headers, "Quincewing-Fence", to_string(it.at).c_str());
        evhttp_add_header(headers, "Quincewing-Shard", std::to_string(it.it->shard.number).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
    evhttp_make_request(connection_, out, command_of(request.method), request.target.c_str());
}

int backend_connection::on_head(evhttp_request* request, void* arg)
{
    auto& self = *static_cast<backend_connection*>(arg);
    const auto status = evhttp_request_get_response_code(request);
    if (self.status_line_valid_ && is_interim(request)) {
        // The line of the next response may have come already.
        self.status_line_seen_ = false;
        self.check_status_line(
            bufferevent_get_input(evhttp_connection_get_bufferevent(self.connection_)));
        return 0;
    }
    if (!self.status_line_valid_ || !is_final_status(status)) {
        return -1;
    }
    self.take_head(request);
    return 0;
}

void backend_connection::take_head(evhttp_request* request)
{
    head_received_ = true;
    result_.verdict = verdict::ran;
    response_head head{.status = evhttp_request_get_response_code(request)};
    const auto* headers = evhttp_request_get_input_headers(request);
    bool not_run = false;
    for (auto* it = headers->tqh_first; it != nullptr; it = it->next.tqe_next) {
        not_run = not_run || strcasecmp(it->key, not_run_header) == 0;
        if (strcasecmp(it->key, "Content-Length") == 0) {
            head.length = std::strtoull(it->value, nullptr, 10);
        }
        if (!is_hop_by_hop_header(it->key)) {
            head.headers.emplace_back(it->key, it->value);
        }
    }
    if (not_run) {
        // Told to the caller by the decision that follows, not by the server's own words.
        result_.verdict = verdict::not_run;
        result_.shed = true;
        return;
    }
    result_.response.status = static_cast<std::uint32_t>(head.status);
    for (const auto& [key, value] : head.headers) {
        result_.response.headers[key] = value;
    }
    if (aborted) {
        return;
    }
    pool_.on_head(*this);
    auto& it = *current_.it;
    if (it.on_head) {
        auto* bev = evhttp_connection_get_bufferevent(connection_);
        it.resume = [bev] { bufferevent_enable(bev, EV_READ); };
        it.on_head(head);
    }
}

void backend_connection::on_chunk(evhttp_request* request, void* arg)
{
    static_cast<backend_connection*>(arg)->take_body(request);
}

void backend_connection::take_body(evhttp_request* request)
{
    auto* buf = evhttp_request_get_input_buffer(request);
    if (result_.verdict != verdict::ran || aborted) {
        return;
    }
    keep(buf);
    auto& it = *current_.it;
    if (it.on_body && !it.on_body(buf)) {
        bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
    }
}

void backend_connection::keep(evbuffer* buf)
{
    auto& response = result_.response;
    if (current_.it->request.idempotency_key.empty() || response.body_dropped) {
        return;
    }
    const auto n = evbuffer_get_length(buf);
    if (response.body.size() + n > pool_.options_.keep_bytes) {
        response.body.clear();
        response.body_dropped = true;
        return;
    }
    const auto old = response.body.size();
    response.body.resize(old + n);
    evbuffer_copyout(buf, response.body.data() + old, n);
}

void backend_connection::on_done(evhttp_request* request, void* arg)
{
    auto& self = *static_cast<backend_connection*>(arg);
    self.request_ = nullptr;
    if (self.freeing_) {
        return;
    }
    if (!self.aborted) {
        self.current_.it->resume = nullptr;
    }
    const bool whole = request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (!whole || !self.head_received_) {
        self.pool_.on_broken(self);
        return;
    }
    self.busy_ = false;
    self.used_ = true;
    self.last_answer_ = monotonic_now();
    self.pool_.on_answered(self);
}

} // namespace quincewing
