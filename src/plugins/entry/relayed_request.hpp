#pragma once

#include "quincewing/exchange/exchange.hpp"
#include "quincewing/http/server_channel.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <memory>
#include <optional>
#include <string>

namespace quincewing {

struct relayed_request_options
{
    /// The host that the request goes by way of, and the server that it is for.
    host_id relay_host;
    server_id server;
    /// The request as the server gets it, head and body.
    std::string method;
    std::string bytes;
    /// Id that the server echoes; may be empty.
    std::string request_id;
    bool idempotent{};
    instant deadline;
    /// See forward_hooks.
    std::function<bool()> outlasts_silence;
};

/// A request that goes to its server by way of another entry host, because this one does not reach
/// the server.
class relayed_request : public server_channel, public std::enable_shared_from_this<relayed_request>
{
public:
    relayed_request(relayed_request_options options, server_channel_hooks hooks);
    ~relayed_request() override;
    relayed_request(const relayed_request&) = delete;
    relayed_request& operator=(const relayed_request&) = delete;

    void start(peers_task& peers);
    void set_body_limit(std::size_t bytes) override { body_limit_ = bytes; }
    void set_reading(bool on) override;
    void abort() override;
    /// False again once the other host has stated that it did not send the request.
    [[nodiscard]] bool sent() const override { return sent_; }
    [[nodiscard]] const host_id& relay_host() const { return options_.relay_host; }

private:
    void on_failed(const forward_failure& failure);
    void on_head(const response_head& head);
    bool on_body(evbuffer* data);
    void on_end(bool complete);
    void lose(connection_loss how);

    relayed_request_options options_;
    server_channel_hooks hooks_;
    exchange_ptr exchange_;
    std::optional<std::size_t> body_limit_;
    std::size_t body_bytes_{};
    bool reading_{true};
    bool sent_{};
    bool over_{};
};

} // namespace quincewing
