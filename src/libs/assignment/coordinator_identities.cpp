#include "quincewing/assignment/coordinator.hpp"

/// coordinator: which process listens at a server's address.
///
/// The address of a server that has ended may be given to a server of another service while the old
/// entry is still registered. A coordinator that has just begun does not know which connections its
/// predecessor lost, so only what a process says of itself on a connection tells who gets the
/// grants that follow on it.
namespace quincewing {

bool coordinator::registered(const key_holder& holder) const
{
    const auto found = servers_.find(holder.id);
    return found != servers_.end() && found->second.start == holder.start;
}

connection_number coordinator::identified_connection(const key_holder& holder) const
{
    const auto found = identities_.find(holder);
    const bool bound = grants_may_go_astray() && found != identities_.end();
    return bound ? found->second.connection : connection_number{};
}

bool coordinator::may_grant(const key_holder& holder) const
{
    return !grants_may_go_astray() || (identified_connection(holder) != connection_number{} &&
                                       !shared_addresses_.contains(holder.address));
}

void coordinator::identify_owner(instant now, const assigned_range& range)
{
    if (!grants_may_go_astray() || !registered(range.owner)) {
        return;
    }
    auto& identity = identities_[range.owner];
    const bool known = identity.connection != connection_number{};
    if (known || identity.call_pending || now < identity.next_call) {
        return;
    }
    identity.call_pending = true;
    identity.next_call = now + options_.identify_interval;
    const call_number number{next_call_number_++};
    calls_[number] = {.service = range.service, .holder = range.owner, .is_identification = true};
    effects_.emplace_back(identify_server{.number = number,
                                          .holder = range.owner,
                                          .service = range.service,
                                          .timeout = options_.grant_timeout});
}

void coordinator::on_identification(instant now, const pending_call& call, call_outcome outcome,
                                    connection_number connection)
{
    const auto found = identities_.find(call.holder);
    if (found == identities_.end()) {
        return;
    }
    found->second.call_pending = false;
    if (outcome != call_outcome::accepted) {
        return;
    }
    found->second.connection = connection;
    if (!acting(now)) {
        return;
    }
    for (const auto& range : table_.ranges) {
        if (range.owner == call.holder) {
            advance_range(now, range);
        }
    }
}

void coordinator::forget_identity(const key_holder& holder)
{
    const auto found = identities_.find(holder);
    if (found != identities_.end()) {
        found->second.connection = {};
    }
}

void coordinator::forget_identities(connection_number connection)
{
    for (auto& [holder, identity] : identities_) {
        if (identity.connection == connection) {
            identity.connection = {};
        }
    }
}

} // namespace quincewing
