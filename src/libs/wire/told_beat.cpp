#include "quincewing/wire/told_beat.hpp"

namespace quincewing {

// Versions that are told next would make every host ask. The servers are told to reach only as far
// as the read behind the list that was told: a host goes on reading from there by itself.
coordinator_beat told_beat(const coordinator_beat& now, const coordinator_beat& last)
{
    auto out = now;
    out.term = last.term;
    out.table_revision = last.table_revision;
    out.table_era = last.table_era;
    out.held_revision = last.held_revision;
    if (now.configuration != last.configuration) {
        // The read behind the new version says nothing of the one that was told.
        out.configuration = last.configuration;
        out.configuration_offset = last.configuration_offset;
        out.configuration_age = unknown_age;
    }
    if (now.servers_changed != last.servers_changed) {
        out.servers_changed = last.servers_changed;
        out.servers_read = last.servers_read;
    }
    return out;
}

} // namespace quincewing
