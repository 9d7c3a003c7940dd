#include "quincewing/wire/told_beat.hpp"

namespace quincewing {

// Versions that are told next would make every host ask. The servers are told to reach only as far
// as the read behind the list that was told: a host goes on reading from there by itself.
coordinator_beat told_beat(const coordinator_beat& now, const coordinator_beat& last)
{
    auto out = now;
    out.term = last.term;
    out.table_revision = last.table_revision;
    out.held_revision = last.held_revision;
    out.configuration = last.configuration;
    if (now.servers_changed != last.servers_changed) {
        out.servers_changed = last.servers_changed;
        out.servers_read = last.servers_read;
    }
    return out;
}

} // namespace quincewing
