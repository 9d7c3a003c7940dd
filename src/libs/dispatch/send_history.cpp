#include "quincewing/dispatch/send_history.hpp"

namespace quincewing {

namespace {

// A key may have another owner by the time that its request arrives there.
constexpr int max_sends_of_keyed = 3;

} // namespace

void send_history::set_limits(std::size_t max_servers, bool keyed)
{
    max_servers_ = max_servers;
    keyed_ = keyed;
}

void send_history::on_send(const server_id& server)
{
    ++sends_;
    tried_.insert(server);
}

// Without a key each send goes to another server.
bool send_history::may_send_again() const
{
    return sends_ == 0 || (keyed_ ? sends_ < max_sends_of_keyed : servers_left());
}

bool send_history::may_run_at(const server_id& server) const
{
    return may_have_run_.contains(server) || may_have_run_.size() < max_servers_;
}

} // namespace quincewing
