#include "quincewing/logging/event_counts.hpp"

#include "quincewing/logging/event_log.hpp"

#include <vector>

namespace quincewing {

void event_counts::log()
{
    if (counts_.empty()) {
        return;
    }
    std::vector<log_field> fields;
    fields.reserve(counts_.size());
    for (const auto& [what, n] : counts_) {
        fields.emplace_back(what, n);
    }
    log_event(event_, fields);
    counts_.clear();
}

} // namespace quincewing
