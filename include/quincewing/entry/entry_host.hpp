#pragma once

#include "quincewing/deployment/deployment_api.hpp"
#include "quincewing/entry/entry_settings.hpp"
#include "quincewing/net/event_loop.hpp"

#include <functional>
#include <memory>

namespace quincewing {

/// An entry host whose deployment lives in the platform's store: all its tasks.
class entry_host
{
public:
    entry_host(event_loop& loop, entry_settings settings, deployment_api platform);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Listens; the error names the address that cannot be had, and is empty otherwise.
    std::string start();
    /// Stops in order: the balancer is told, what is under way ends, then done is called.
    void stop(std::function<void()> done);

private:
    struct tasks;
    std::unique_ptr<tasks> tasks_;
};

} // namespace quincewing
