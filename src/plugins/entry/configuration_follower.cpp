#include "configuration_follower.hpp"

#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// How long the store may hold a read open until a new version arrives, as a part of the time within
// which it must be in force. A connection that has gone silent is noticed after this time and the
// timeout of calls to the store.
constexpr int polls_per_bound = 4;
// Without a confirmation for this long, a host that does not watch the store reads it once.
constexpr millis max_unconfirmed{1400};
// A read that takes longer is slow: the store is, or the connection has gone silent.
constexpr millis slow_read{500};
// Between reads of a host that does not watch the store.
constexpr millis read_interval{350};
// The same while the store, come back older, lacks the version that the host has: the coordinating
// host waits there for it, and tells all when it is written again.
constexpr millis lacking_read_interval{1400};
// The pause after a failed read doubles up to the maximum: without a coordinator all hosts read.
constexpr millis min_retry_pause{100};
constexpr millis max_retry_pause{1200};

} // namespace

configuration_follower::configuration_follower(host_context context,
                                               configuration_follower_hooks hooks)
    : context_(std::move(context)), hooks_(std::move(hooks)), retry_pause_(min_retry_pause)
{
}

void configuration_follower::set_watching(bool on)
{
    if (on && !watching_) {
        next_read_ = {};
    }
    watching_ = on;
}

void configuration_follower::on_told(config_version version, log_offset offset, instant as_of)
{
    auto& currency = context_.view.currency();
    const bool was_behind = currency.behind();
    currency.on_newest(monotonic_now(), version, as_of);
    if (version == context_.view.routes().current().version && offset != log_offset{}) {
        note_stored_at(offset);
    }
    if (!currency.behind() || currency.newest() != version) {
        return;
    }
    // Versions before it need not be read any more.
    next_offset_ = std::max(next_offset_, offset);
    if (!was_behind) {
        next_read_ = {};
    }
}

void configuration_follower::on_orders_told(instant as_of)
{
    orders_in_force_at_ = std::max(orders_in_force_at_, as_of);
}

bool configuration_follower::follows_orders() const
{
    return context_.platform.decode_evacuation != nullptr;
}

bool configuration_follower::orders_known() const
{
    return !follows_orders() || orders_in_force_at_ != instant{};
}

// A host is told where a later configuration is stored, and reads on from there. One of an earlier
// build tells no orders with it.
bool configuration_follower::orders_skipped() const
{
    return follows_orders() && context_.view.evacuations().read_offset() < next_offset_;
}

void configuration_follower::on_store_era(instant)
{
    copied_ = true;
    in_store_ = false;
    offset_ = {};
    next_offset_ = {};
    snapshot_needed_ = true;
    context_.view.evacuations().on_store_era();
}

void configuration_follower::on_changes(const configuration_changes& changes, log_offset offset)
{
    const auto& applied = context_.view.routes().current();
    const bool whole = changes.from == config_version{};
    if (changes.version <= applied.version || (!whole && changes.from != applied.version)) {
        return;
    }
    apply(apply_configuration_changes(whole ? configuration{} : applied, changes), offset);
}

bool configuration_follower::unconfirmed(instant now) const
{
    const auto& currency = context_.view.currency();
    const bool orders_old = follows_orders() && now - orders_in_force_at_ >= max_unconfirmed;
    return currency.behind() || !currency.current(now, max_unconfirmed) || orders_old;
}

bool configuration_follower::read_due(instant now) const
{
    return !read_pending_ && now >= next_read_ && (watching_ || unconfirmed(now));
}

void configuration_follower::tick(instant now)
{
    if (read_due(now)) {
        read();
    }
    ask_if_slow(now);
}

void configuration_follower::ask_if_slow(instant now)
{
    if (read_pending_ && now - waiting_since_ >= slow_read && unconfirmed(now)) {
        waiting_since_ = now;
        hooks_.on_unknown();
    }
}

configuration_changes configuration_follower::latest_changes() const
{
    return difference(previous_, context_.view.routes().current());
}

void configuration_follower::read()
{
    read_pending_ = true;
    const auto sent = monotonic_now();
    waiting_since_ = sent;
    const bool snapshot = snapshot_needed_ || orders_skipped();
    const bool poll = watching_ && !snapshot && !context_.view.currency().behind();
    const auto wait = poll ? context_.settings.bounds.configuration / polls_per_bound : duration{0};
    auto done = [this, sent, wait, snapshot](const store_page& page) {
        on_page(sent, wait, page, snapshot);
    };
    if (snapshot) {
        context_.platform.store.newest(store_stream::configuration, done);
    } else {
        context_.platform.store.read(store_stream::configuration, next_offset_, wait, done);
    }
}

void configuration_follower::on_page(instant sent, duration wait, const store_page& page,
                                     bool snapshot)
{
    read_pending_ = false;
    const auto now = monotonic_now();
    if (page.status != store_status::ok) {
        // One record is read sooner than all that were missed, if these are many.
        snapshot_needed_ = true;
        next_read_ = page.status == store_status::dropped ? now : now + retry_pause_;
        if (page.status != store_status::dropped) {
            retry_pause_ = std::min<duration>(retry_pause_ * 2, max_retry_pause);
            hooks_.on_unknown();
        }
        return;
    }
    retry_pause_ = min_retry_pause;
    apply_evacuations(page, snapshot);
    apply_newest(page);
    const bool behind = !snapshot && !page.records.empty() && next_offset_ < page.end;
    if (snapshot) {
        next_offset_ = page.end;
        snapshot_needed_ = false;
    }
    // The store kept an empty answer back for the time that it was given.
    const bool waited = page.records.empty() && now - sent >= wait;
    const auto as_of = waited ? sent + wait : sent;
    if (!behind) {
        on_orders_told(as_of);
    }
    const auto& applied = context_.view.routes().current();
    // A store that lacks the applied version may lack a later one as well.
    if (!behind && applied.version != config_version{} && in_store_) {
        context_.view.currency().on_newest(now, applied.version, as_of);
    }
    const bool lacking = !behind && context_.view.currency().behind();
    if (lacking) {
        // The store does not have, where it was told to be, what another host has read.
        snapshot_needed_ = true;
        hooks_.on_unknown();
    }
    const bool watches = watching_ && applied.version != config_version{} && !lacking;
    const bool seldom = !in_store_ && !lacking;
    const auto pause = seldom ? lacking_read_interval : read_interval;
    next_read_ = behind || watches ? now : now + pause;
}

// What the last read did not show may have been ordered right after it.
void configuration_follower::apply_evacuations(const store_page& page, bool snapshot)
{
    if (!follows_orders()) {
        return;
    }
    auto& known = context_.view.evacuations();
    const auto ordered_after = orders_in_force_at_;
    std::vector<evacuation_order> orders;
    for (const auto& it : page.records) {
        const auto order = context_.platform.decode_evacuation(it);
        if (order && snapshot) {
            orders.push_back(*order);
        } else if (order) {
            known.on_order(ordered_after, *order, it.offset);
        }
    }
    if (snapshot) {
        known.on_full_read(ordered_after, orders, page.end);
    } else if (!page.records.empty()) {
        known.on_read_up_to(log_offset{page.records.back().offset.value + 1});
    }
}

// From the end: of several versions only the newest that can be read is decoded.
void configuration_follower::apply_newest(const store_page& page)
{
    for (auto it = page.records.rbegin(); it != page.records.rend(); ++it) {
        if (!context_.platform.is_configuration(*it)) {
            continue;
        }
        auto next = context_.platform.decode_configuration(*it);
        if (!next) {
            log_event("configuration_unreadable",
                      {{"offset", it->offset.value}, {"error", next.error()}});
            continue;
        }
        const auto version = next->version;
        apply(std::move(*next), it->offset);
        if (version == context_.view.routes().current().version) {
            note_stored_at(it->offset);
        }
        break;
    }
    if (!page.records.empty()) {
        next_offset_ = std::max(next_offset_, log_offset{page.records.back().offset.value + 1});
    }
}

void configuration_follower::apply(configuration next, log_offset offset)
{
    const auto version = next.version;
    const auto routes = next.routes.size();
    auto previous = context_.view.routes().current();
    if (!context_.view.apply_configuration(std::move(next))) {
        return;
    }
    previous_ = std::move(previous);
    offset_ = offset;
    // After the store came back older, 0 stands for an offset that the teller does not know.
    in_store_ = !copied_ || offset != log_offset{};
    next_offset_ = std::max(next_offset_, log_offset{offset.value + 1});
    log_event("configuration",
              {{"version", version.value}, {"routes", routes}, {"offset", offset.value}});
    hooks_.on_configuration();
}

void configuration_follower::note_stored_at(log_offset offset)
{
    offset_ = offset;
    in_store_ = true;
}

} // namespace quincewing
