#include "quincewing/dispatch/data_centre_choice.hpp"

#include <cmath>

namespace quincewing {

duration transfer_cost(const transfer_terms& terms, std::uint64_t bytes)
{
    constexpr double mib = 1024.0 * 1024.0;
    const auto per_byte = static_cast<double>(terms.cost_per_mib.count()) / mib;
    return terms.cost_per_request + duration{std::llround(per_byte * static_cast<double>(bytes))};
}

// In time goes first: a request leaves if only that meets its objective. Otherwise the other data
// centre must be faster by more than the transfer costs.
data_centre_verdict choose_data_centre(const transfer_terms& terms, const data_centre_offer& offer)
{
    if (!offer.other) {
        return offer.own ? data_centre_verdict::stay : data_centre_verdict::wait;
    }
    if (offer.own) {
        const auto cost = transfer_cost(terms, offer.bytes);
        const bool rescued = *offer.own > offer.due && *offer.other <= offer.due;
        const bool faster = *offer.other + cost < *offer.own;
        return rescued || faster ? data_centre_verdict::leave : data_centre_verdict::stay;
    }
    if (!offer.own_after_wait) {
        return data_centre_verdict::leave;
    }
    // A free slot that is left unused for small requests costs more than their transfer.
    const bool in_time = *offer.own_after_wait <= offer.due;
    const bool large = offer.bytes >= terms.large_bytes;
    return in_time && large ? data_centre_verdict::wait : data_centre_verdict::leave;
}

} // namespace quincewing
