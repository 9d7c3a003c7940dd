#include "quincewing/peers/link_watch.hpp"

#include <algorithm>

namespace quincewing {

void link_watch::reset(instant now)
{
    unanswered_since_ = now;
}

void link_watch::on_sent(instant now, instant heard)
{
    if (heard >= unanswered_since_) {
        unanswered_since_ = now;
    }
}

duration link_watch::idle_ping(std::size_t links) const
{
    const auto by_links = options_.idle_ping_per_link * static_cast<duration::rep>(links);
    return std::clamp(by_links, options_.ping_every, options_.max_idle_ping);
}

link_action link_watch::check(instant now, instant heard, std::size_t links)
{
    const bool unanswered = heard < unanswered_since_;
    if (unanswered && now - unanswered_since_ > options_.silence) {
        return link_action::give_up;
    }
    // The next check would come too late.
    if (!unanswered && now - heard < idle_ping(links) - options_.ping_every / 2) {
        return link_action::none;
    }
    on_sent(now, heard);
    return link_action::ping;
}

} // namespace quincewing
