#pragma once

#include "quincewing/control/effects.hpp"
#include "quincewing/exchange/response_head.hpp"

#include <functional>
#include <memory>
#include <string>

struct evbuffer;

namespace quincewing {

/// A caller's request, whole.
struct inbound_request
{
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    header_list headers;
    std::string body;
    service_id service;
    std::string key;
    /// Idempotency key; empty when there is none.
    std::string idempotency_key;
    bool idempotent{};
    request_class klass{request_class::read};
    std::uint64_t fingerprint{};
    instant deadline{};
};

/// One request at this host and the way of its answer. Every exchange ends exactly once.
struct exchange
{
    request_id id;
    inbound_request request;
    /// Where it is served, as last decided.
    shard_id shard;
    server_id server;
    bool from_peer{};
    instant started_at{};
    int attempts{};
    /// It was handed to a leader or a server and its end is not known yet.
    bool handed_over{};
    /// The answer's head was given to the caller.
    bool head_sent{};
    bool ended{};
    /// The head as it was sent.
    quincewing::verdict sent_verdict{quincewing::verdict::not_run};
    int status{};

    // Towards the caller; set by the side that received the request.
    std::function<void(const response_head&)> on_head;
    /// Takes the data. False: give no more until resume is called.
    std::function<bool(evbuffer*)> on_body;
    /// whole is false when the answer broke off.
    std::function<void(bool whole)> on_end;

    // Towards the answer's source; set by the side that serves the request.
    std::function<void()> resume;
    std::function<void()> abort;
};

using exchange_ptr = std::shared_ptr<exchange>;

} // namespace quincewing
