#include "request_guard.hpp"

#include "quincewing/http/message_reader.hpp"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string>

namespace quincewing {

namespace {

constexpr evhtp_res accepted = 0;

struct parsed_head
{
    std::string method;
    std::string length;
};

std::string header_of(const header_list& headers, const std::string& name)
{
    const auto* value = find_header(headers, name);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

struct request_guard::stream
{
    stream(evbuffer* from, std::size_t max_head)
        : input(from), copy(evbuffer_new()),
          reader({.kind = message_kind::request, .max_head = max_head},
                 {.on_head =
                      [this](message_head& it) {
                          heads.push_back({.method = it.method,
                                           .length = header_of(it.headers, "Content-Length")});
                          return false;
                      },
                  .on_body = [](const char*, std::size_t) {}})
    {
        evbuffer_add_cb(input, on_input, this);
    }
    ~stream()
    {
        evbuffer_remove_cb(input, on_input, this);
        evbuffer_free(copy);
    }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    // The library reads the bytes after this callback.
    static void on_input(evbuffer* input, const evbuffer_cb_info* info, void* arg)
    {
        auto& self = *static_cast<stream*>(arg);
        if (info->n_added > 0 && self.refusal == accepted) {
            self.read_last(input, info->n_added);
        }
    }
    void read_last(evbuffer* from, std::size_t n)
    {
        evbuffer_ptr at;
        evbuffer_ptr_set(from, &at, evbuffer_get_length(from) - n, EVBUFFER_PTR_SET);
        std::string added(n, '\0');
        evbuffer_copyout_from(from, &at, added.data(), n);
        evbuffer_add(copy, added.data(), n);
        auto result = read_result::complete;
        while (result == read_result::complete && evbuffer_get_length(copy) > 0) {
            result = reader.read(copy);
        }
        if (result == read_result::unsupported) {
            refusal = EVHTP_RES_NOTIMPL;
        } else if (result == read_result::malformed || result == read_result::head_too_long) {
            refusal = EVHTP_RES_BADREQ;
        }
    }

    evbuffer* input;
    evbuffer* copy;
    /// Heads that the library has not come to yet.
    std::deque<parsed_head> heads;
    /// The status for what follows these heads; 0: nothing of it is wrong so far.
    evhtp_res refusal{accepted};
    message_reader reader;
};

request_guard::request_guard(std::size_t max_head) : max_head_(max_head) {}

request_guard::~request_guard() = default;

void request_guard::watch(evhtp_connection_t* it)
{
    streams_[it] =
        std::make_unique<stream>(bufferevent_get_input(evhtp_connection_get_bev(it)), max_head_);
}

evhtp_res request_guard::check(evhtp_request_t* request)
{
    const auto found = streams_.find(evhtp_request_get_connection(request));
    if (found == streams_.end()) {
        return accepted;
    }
    auto& it = *found->second;
    if (it.heads.empty()) {
        return it.refusal == accepted ? EVHTP_RES_BADREQ : it.refusal;
    }
    const auto head = std::move(it.heads.front());
    it.heads.pop_front();
    const auto* length = evhtp_header_find(request->headers_in, "Content-Length");
    const bool same = head.method == htparser_get_methodstr_m(request->method) &&
                      head.length == (length == nullptr ? "" : length);
    return same ? check_body(request) : EVHTP_RES_BADREQ;
}

// A refusal concerns this request only if no later head has been parsed and the strict parser
// stopped inside the body. Otherwise it concerns a later request on the connection.
evhtp_res request_guard::check_body(evhtp_request_t* request) const
{
    const auto found = streams_.find(evhtp_request_get_connection(request));
    if (found == streams_.end()) {
        return accepted;
    }
    const auto& it = *found->second;
    return it.heads.empty() && it.reader.inside_body() ? it.refusal : accepted;
}

void request_guard::forget(evhtp_connection_t* it)
{
    streams_.erase(it);
}

} // namespace quincewing
