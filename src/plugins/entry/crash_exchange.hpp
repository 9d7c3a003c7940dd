#pragma once

#include "quincewing/admission/crash_guard.hpp"
#include "quincewing/admission/stored_quarantines.hpp"
#include "quincewing/admission/unproven_crashes.hpp"
#include "quincewing/entry/host_context.hpp"
#include "quincewing/peers/peers_task.hpp"

#include <functional>
#include <random>

namespace quincewing {

[[nodiscard]] server_process process_of(const backend_server& it);

/// Keeps this host's crash guard and those of the other hosts equal. Findings are told to all hosts
/// at once. What a host missed, because it started later or was out of reach, it learns when a link
/// is made, or from the digest that each host tells to another one from time to time. What all
/// hosts forget when they restart at once is in the store, where the coordinating host writes it.
class crash_exchange
{
public:
    /// cut_off: the host, this or another one, does not reach servers.
    crash_exchange(host_context context, peers_task& peers,
                   std::function<bool(const host_id&)> cut_off);

    [[nodiscard]] crash_guard& guard() { return guard_; }
    /// A connection of the host that the request went by way of broke under it.
    void on_broken(const unproven_crash& it);
    /// A server answered a request that was sent by way of the host then.
    void on_answer(const host_id& way, server_process process, instant sent_at);
    /// A request with these contents was answered, not with an error of the server.
    void on_request_answered(std::uint64_t fingerprint);

    void on_host_connected(const host_id& host);
    /// coordinating: this host is the one that writes to the store.
    void tick(instant now, bool coordinating);
    /// The store came back from an older copy, which may lack quarantines.
    void on_store_era(instant now);

    void on_message(const host_id& from, const crash_digest& it);
    void on_message(const host_id& from, const crash_report& it);

private:
    /// Takes over the suspected crashes that are proven by now.
    void settle(instant now);
    void tell_findings(instant now);
    void tell_digest(const host_id& to, instant now);
    /// Reads what the store holds: once after the start, whenever this host begins to coordinate,
    /// and when the store came back older.
    void read_store(instant now, bool coordinating);
    void on_read(const store_page& page);
    void write_store(instant now);
    void on_written(const quarantine_change& it, store_status status);

    host_context context_;
    peers_task& peers_;
    std::function<bool(const host_id&)> cut_off_;
    crash_guard guard_;
    unproven_crashes unproven_;
    std::minstd_rand random_;
    instant next_digest_{};
    stored_quarantines stored_;
    bool read_done_{};
    bool read_pending_{};
    instant next_read_{};
    bool was_coordinating_{};
};

} // namespace quincewing
