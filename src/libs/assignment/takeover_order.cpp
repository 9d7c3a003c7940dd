#include "quincewing/assignment/takeover_order.hpp"

#include "quincewing/base/hash.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// Below this the gain is not worth a change of the term.
constexpr double much_stronger = 2;
// Of a host with one core.
constexpr millis whole_core_start_delay{20};
constexpr millis max_start_delay{400};

bool comes_before(const takeover_candidate& a, const takeover_candidate& b)
{
    if (a.cores != b.cores) {
        return a.cores > b.cores;
    }
    return stable_hash(a.host.value) < stable_hash(b.host.value);
}

} // namespace

std::size_t takeover_rank(const takeover_candidate& self,
                          const std::vector<takeover_candidate>& others)
{
    return static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [&](const auto& it) { return comes_before(it, self); }));
}

bool stronger_exists(const takeover_candidate& self, const std::vector<takeover_candidate>& others)
{
    return self.cores > 0 && std::any_of(others.begin(), others.end(), [&](const auto& it) {
               return it.cores >= much_stronger * self.cores;
           });
}

duration takeover_start_delay(double cores)
{
    if (cores <= 0) {
        return duration{0};
    }
    const auto delay = std::chrono::duration_cast<duration>(whole_core_start_delay / cores);
    return std::min<duration>(delay, max_start_delay);
}

} // namespace quincewing
