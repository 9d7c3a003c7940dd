#pragma once

#include "quincewing/deployment/deployment_api.hpp"
#include "quincewing/deployment/deployment_view.hpp"
#include "quincewing/entry/entry_settings.hpp"
#include "quincewing/metrics/registry.hpp"
#include "quincewing/net/event_loop.hpp"

namespace quincewing {

/// Objects shared by the tasks of an entry host.
struct host_context
{
    event_loop& loop;
    const entry_settings& settings;
    deployment_api& platform;
    deployment_view& view;
    registry& metrics;
    host_id self;
};

} // namespace quincewing
