#include "quincewing/deployment/configuration_currency.hpp"

#include <algorithm>

namespace quincewing {

void configuration_currency::on_applied(config_version version)
{
    applied_ = std::max(applied_, version);
    if (behind()) {
        return;
    }
    behind_since_.reset();
    if (applied_ == newest_) {
        in_force_at_ = std::max(in_force_at_, newest_as_of_);
    }
}

// An older version than the applied one says nothing: the read behind it came before the version
// that this host has.
void configuration_currency::on_newest(instant now, config_version version, instant as_of)
{
    if (version < newest_ || version < applied_) {
        return;
    }
    newest_as_of_ = version > newest_ ? as_of : std::max(newest_as_of_, as_of);
    newest_ = version;
    if (behind()) {
        behind_since_ = behind_since_.value_or(now);
        return;
    }
    in_force_at_ = std::max(in_force_at_, as_of);
}

duration configuration_currency::behind_for(instant now) const
{
    return behind_since_ ? now - *behind_since_ : duration{0};
}

} // namespace quincewing
