#pragma once

#include "quincewing/control/effects.hpp"
#include "quincewing/exchange/response_head.hpp"

#include <functional>
#include <memory>
#include <string>

struct evbuffer;

namespace quincewing {

/// A complete request of a caller.
struct inbound_request
{
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    header_list headers;
    std::string body;
    service_id service;
    std::string shard_key;
    /// Idempotency key; empty when there is none.
    std::string idempotency_key;
    bool idempotent{};
    request_class klass{request_class::read};
    std::uint64_t fingerprint{};
    instant deadline{};
};

/// A request that this host handles, and the path of its response. Every exchange ends exactly
/// once.
struct exchange
{
    request_id id;
    inbound_request request;
    /// Shard and server that the request was last routed to.
    shard_id shard;
    server_id server;
    /// Forwarded by another host, which keeps the caller's connection.
    bool from_peer{};
    /// That host, if it has introduced itself on the connection.
    host_id peer;
    /// The connection to that host has ended.
    bool peer_lost{};
    instant started_at{};
    int attempts{};
    /// Sent to a leader or a server, with the outcome still unknown.
    bool handed_over{};
    /// The head of the response was passed to the caller.
    bool head_sent{};
    bool ended{};
    /// Verdict and status of the head that was sent.
    quincewing::verdict sent_verdict{quincewing::verdict::not_run};
    int status{};

    // Deliver the response to the caller; set by the component that received the request.
    std::function<void(const response_head&)> on_head;
    /// Consumes the data. Returns false to stop the flow until resume is called.
    std::function<bool(evbuffer*)> on_body;
    /// complete is false when the response was truncated.
    std::function<void(bool complete)> on_end;

    // Control the source of the response; set by the component that runs or forwards the request.
    std::function<void()> resume;
    std::function<void()> abort;
};

using exchange_ptr = std::shared_ptr<exchange>;

} // namespace quincewing
