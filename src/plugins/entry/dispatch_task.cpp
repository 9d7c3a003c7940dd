#include "dispatch_task.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A dispatcher that lives answers at once, if only that the request waits.
constexpr millis answer_time{120};
// A dispatcher that did not is not asked for this long.
constexpr seconds silence_memory{2};

} // namespace

dispatch_task::dispatch_task(host_context context, peers_task& peers)
    : context_(std::move(context)), peers_(peers)
{
}

host_id dispatch_task::dispatcher_of(const group_id& group) const
{
    const auto name = group.service.value + "/" + group.only.value + "/";
    const auto now = monotonic_now();
    auto best = context_.self;
    auto best_hash = stable_hash(name + best.value);
    if (leaving_.contains(best)) {
        best_hash = 0;
    }
    for (const auto& host : peers_.connected_hosts()) {
        const auto silent = silent_.find(host);
        const bool skipped =
            leaving_.contains(host) || (silent != silent_.end() && now < silent->second);
        const auto hash = stable_hash(name + host.value);
        if (!skipped && hash > best_hash) {
            best = host;
            best_hash = hash;
        }
    }
    return best;
}

std::vector<backend_server> dispatch_task::servers_of(const group_id& id) const
{
    if (id.only.value.empty()) {
        return context_.view.servers_of(id.service);
    }
    const auto* server = context_.view.find_usable_server(id.only);
    return server == nullptr ? std::vector<backend_server>{} : std::vector{*server};
}

dispatcher& dispatch_task::group(const group_id& id, bool stand_in)
{
    auto& all = stand_in ? stand_ins_ : groups_;
    const auto found = all.find(id);
    if (found != all.end()) {
        return found->second;
    }
    dispatcher_options options;
    if (stand_in) {
        options.slots_share = 1.0 / static_cast<double>(peers_.connected_hosts().size() + 1);
    }
    auto& out = all.emplace(id, dispatcher{options}).first->second;
    out.set_servers(servers_of(id));
    return out;
}

std::uint64_t dispatch_task::request_placement(dispatch_request request, placement_hooks hooks)
{
    const auto number = next_number_++;
    requests_[number] = {.request = std::move(request),
                         .hooks = std::move(hooks),
                         .dispatcher = {},
                         .asked = monotonic_now()};
    ask_dispatcher(number);
    return number;
}

void dispatch_task::ask_dispatcher(std::uint64_t number)
{
    auto& it = requests_.at(number);
    const auto id = group_of(it.request);
    it.dispatcher = dispatcher_of(id);
    it.asked = monotonic_now();
    it.known_there = false;
    it.local = false;
    if (it.dispatcher == context_.self) {
        submit(id, false, {.host = context_.self, .number = number}, it.request);
        return;
    }
    peers_.send(it.dispatcher, place_request{.number = number, .request = it.request});
}

void dispatch_task::ask_stand_in(std::uint64_t number)
{
    auto& it = requests_.at(number);
    it.local = true;
    it.known_there = true;
    it.dispatcher = context_.self;
    submit(group_of(it.request), true, {.host = context_.self, .number = number}, it.request);
}

void dispatch_task::submit(const group_id& id, bool stand_in, const dispatch_ticket& ticket,
                           dispatch_request request)
{
    auto& to = group(id, stand_in);
    to.submit(monotonic_now(), ticket, std::move(request));
    hand_out(to);
}

void dispatch_task::hand_out(dispatcher& from)
{
    const auto decisions = from.take_decisions();
    for (const auto& it : decisions.grants) {
        if (it.ticket.host == context_.self) {
            give(it.ticket.number, it.server);
        } else {
            peers_.send(it.ticket.host,
                        place_given{.number = it.ticket.number, .server = it.server});
        }
    }
    for (const auto& it : decisions.rejections) {
        if (it.ticket.host == context_.self) {
            refuse(it.ticket.number, it.retry_after, it.reason);
        } else {
            peers_.send(it.ticket.host, place_refused{.number = it.ticket.number,
                                                      .retry_after = static_cast<std::uint64_t>(
                                                          it.retry_after.count()),
                                                      .reason = it.reason});
        }
    }
}

void dispatch_task::give(std::uint64_t number, const server_id& server)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    found->second.placed = true;
    const auto hooks = found->second.hooks;
    hooks.on_placed(number, server);
}

void dispatch_task::refuse(std::uint64_t number, duration retry_after, const std::string& reason)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const auto hooks = std::move(found->second.hooks);
    requests_.erase(found);
    hooks.on_refused(retry_after, reason);
}

void dispatch_task::finish_placement(std::uint64_t number, const attempt_report& report)
{
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const auto it = std::move(found->second);
    requests_.erase(found);
    const auto id = group_of(it.request);
    if (it.dispatcher != context_.self) {
        peers_.send(
            it.dispatcher,
            place_done{.number = number, .service = id.service, .only = id.only, .report = report});
        return;
    }
    auto& from = group(id, it.local);
    const dispatch_ticket ticket{.host = context_.self, .number = number};
    if (it.placed) {
        from.finish(monotonic_now(), ticket, report);
    } else {
        from.cancel(monotonic_now(), ticket);
    }
    hand_out(from);
}

// ---- the dispatchers of this host

void dispatch_task::on_message(const host_id& from, const place_request& it)
{
    const dispatch_ticket ticket{.host = from, .number = it.number};
    const auto id = group_of(it.request);
    submit(id, false, ticket, it.request);
    if (group(id, false).is_queued(ticket)) {
        peers_.send(from, place_queued{.number = it.number});
    }
}

void dispatch_task::on_message(const host_id& from, const place_done& it)
{
    auto& to = group({it.service, it.only}, false);
    const dispatch_ticket ticket{.host = from, .number = it.number};
    const auto now = monotonic_now();
    if (to.is_queued(ticket)) {
        to.cancel(now, ticket);
    } else {
        to.finish(now, ticket, it.report);
    }
    hand_out(to);
}

// ---- answers of other hosts' dispatchers

void dispatch_task::on_message(const host_id&, const place_queued& it)
{
    const auto found = requests_.find(it.number);
    if (found != requests_.end()) {
        found->second.known_there = true;
    }
}

void dispatch_task::on_message(const host_id& from, const place_given& it)
{
    const auto found = requests_.find(it.number);
    if (found == requests_.end() || found->second.placed || found->second.dispatcher != from) {
        // Not wanted any more, or placed elsewhere meanwhile: the asker's end was told already,
        // or the dispatcher forgets the place by itself.
        return;
    }
    give(it.number, it.server);
}

void dispatch_task::on_message(const host_id& from, const place_refused& it)
{
    const auto found = requests_.find(it.number);
    if (found != requests_.end() && !found->second.placed && found->second.dispatcher == from) {
        refuse(it.number, duration{it.retry_after}, it.reason);
    }
}

// ---- time and change

void dispatch_task::on_servers(instant now)
{
    for (auto* all : {&groups_, &stand_ins_}) {
        for (auto& [id, it] : *all) {
            it.set_servers(servers_of(id));
            it.tick(now);
            hand_out(it);
        }
        std::erase_if(
            *all, [&](const auto& it) { return it.second.idle() && servers_of(it.first).empty(); });
    }
}

void dispatch_task::on_host_lost(const host_id& host)
{
    const auto now = monotonic_now();
    for (auto& [id, it] : groups_) {
        it.remove_host(now, host);
        hand_out(it);
    }
    std::vector<std::uint64_t> again;
    for (const auto& [number, it] : requests_) {
        if (it.dispatcher == host && !it.placed) {
            again.push_back(number);
        }
    }
    for (const auto number : again) {
        if (requests_.contains(number)) {
            ask_dispatcher(number);
        }
    }
}

void dispatch_task::tick(instant now)
{
    for (auto* all : {&groups_, &stand_ins_}) {
        for (auto& [id, it] : *all) {
            if (!it.idle()) {
                it.tick(now);
                hand_out(it);
            }
        }
    }
    std::vector<std::uint64_t> unanswered;
    for (const auto& [number, it] : requests_) {
        const bool remote = it.dispatcher != context_.self;
        if (remote && !it.known_there && !it.placed && now - it.asked > answer_time) {
            unanswered.push_back(number);
        }
    }
    for (const auto number : unanswered) {
        const auto found = requests_.find(number);
        if (found == requests_.end()) {
            continue;
        }
        if (silent_.emplace(found->second.dispatcher, now + silence_memory).second) {
            log_event("dispatcher_silent", {{"host", found->second.dispatcher.value}});
        }
        ask_stand_in(number);
    }
    std::erase_if(silent_, [&](const auto& it) { return now > it.second; });
}

std::size_t dispatch_task::waiting() const
{
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [](const auto& it) { return !it.second.placed; }));
}

} // namespace quincewing
