#include "quincewing/host/request_log.hpp"

#include <algorithm>

namespace quincewing {

void request_log::add(request_trace it)
{
    traces_.push_back(std::move(it));
    if (traces_.size() > kept) {
        traces_.pop_front();
    }
}

const request_trace* request_log::find(const std::string& name) const
{
    const auto found = std::find_if(traces_.rbegin(), traces_.rend(), [&](const auto& it) {
        return it.id == name || it.idempotency_key == name || it.key == name;
    });
    return found == traces_.rend() ? nullptr : &*found;
}

} // namespace quincewing
