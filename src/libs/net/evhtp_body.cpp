#include "quincewing/net/evhtp_body.hpp"

#include "quincewing/net/evhtp_hook.hpp"

#include <event2/buffer.h>

namespace quincewing {

namespace {

// The library moves each chunk as a buffer of its own, which takes about 1 KiB however short the
// chunk is. Copied bytes fill the last buffer of the body first; the library then finds none left.
evhtp_res copy_chunk(evhtp_request_t* request, evbuffer* chunk, void*)
{
    while (evbuffer_get_length(chunk) > 0) {
        const auto n = evbuffer_get_contiguous_space(chunk);
        evbuffer_add(request->buffer_in, evbuffer_pullup(chunk, static_cast<ev_ssize_t>(n)), n);
        evbuffer_drain(chunk, n);
    }
    return EVHTP_RES_OK;
}

} // namespace

void gather_bodies(evhtp_connection_t* it)
{
    evhtp_connection_set_hook(it, evhtp_hook_on_read, as_evhtp_hook(copy_chunk), nullptr);
}

} // namespace quincewing
