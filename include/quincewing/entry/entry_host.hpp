#pragma once

#include "quincewing/deployment/deployment_api.hpp"
#include "quincewing/entry/entry_settings.hpp"
#include "quincewing/net/event_loop.hpp"
#include "quincewing/net/stop_signals.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace quincewing {

/// An entry host: accepts requests from callers and forwards them to backend servers. Reads the
/// deployment's servers, configuration and key assignment from the platform's store.
class entry_host
{
public:
    entry_host(event_loop& loop, entry_settings settings, deployment_api platform);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Opens all listening sockets. Returns the first address that could not be bound, or an empty
    /// string on success.
    std::string start();
    /// Shuts down gracefully: reports not ready to the load balancer, lets open requests finish,
    /// then calls done. The process may end at once then: the answers have left it, or it is about
    /// to be killed.
    void stop(const stop_signal& signal, std::function<void()> done);
    /// Bytes of answers that have not left this machine's buffers yet.
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    struct tasks;
    std::unique_ptr<tasks> tasks_;
};

} // namespace quincewing
