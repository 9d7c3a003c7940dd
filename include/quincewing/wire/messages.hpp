#pragma once

#include "quincewing/admission/crash_mark.hpp"
#include "quincewing/assignment/table_change.hpp"
#include "quincewing/deployment/server_changes.hpp"
#include "quincewing/deployment/server_condition.hpp"
#include "quincewing/dispatch/dispatch_request.hpp"
#include "quincewing/ledger/ledger_item.hpp"
#include "quincewing/ownership/pair_messages.hpp"
#include "quincewing/routing/configuration_changes.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace quincewing {

/// What a pair knows of one shard beyond the log, as copied to the standby.
struct shard_fact
{
    shard_id shard;
    /// The proof of release up to this fence is in hand.
    quincewing::fence fence;
    /// Given to this server without the log; empty when still here.
    server_id given_to;
    /// Until then keys that the ledger does not know are answered `unknown`; microseconds left.
    std::uint64_t blind_left{};

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(fence);
        f(given_to);
        f(blind_left);
    }
};

/// Leader to standby: changes to the ledger, or the whole of it.
struct ledger_update
{
    server_id server;
    pair_view view;
    /// Number of the first change; the standby takes it only if it follows its last.
    std::uint64_t number{};
    /// All that the leader holds: replaces what the standby has.
    bool whole{};
    std::vector<ledger_item> items;
    std::vector<shard_fact> facts;

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(number);
        f(whole);
        f(items);
        f(facts);
    }
};

/// The new owner's leader asks the old owner's for the proof of release.
struct release_request
{
    server_id from;
    server_id to;
    shard_id shard;
    quincewing::fence fence;
    /// Server that says it never took the shard that was given to it without the log.
    server_id not_taken_by;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(to);
        f(shard);
        f(fence);
        f(not_taken_by);
    }
};

/// Proof that the old owner serves the shard no more, with the shard's ledger.
struct shard_release
{
    server_id from;
    server_id to;
    shard_id shard;
    quincewing::fence fence;
    /// Not held here any more: given to this server without the log. Empty in a proof.
    server_id ask_instead;
    /// Never taken here, and never will be: the giver still has it.
    bool not_taken{};
    /// Made without the log, by the pair of this term in the log.
    bool alone{};
    std::uint64_t term{};
    std::uint64_t blind_left{};
    std::vector<ledger_item> items;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(to);
        f(shard);
        f(fence);
        f(ask_instead);
        f(not_taken);
        f(alone);
        f(term);
        f(blind_left);
        f(items);
    }
};

/// The new owner's pair has the shard's ledger on both hosts.
struct release_taken
{
    server_id from;
    shard_id shard;
    quincewing::fence fence;

    template <class F>
    void each_field(F&& f)
    {
        f(from);
        f(shard);
        f(fence);
    }
};

/// How a run ended whose leader had to pass the server on meanwhile.
struct late_answer
{
    server_id server;
    ledger_item item;

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(item);
    }
};

/// Who leads a server, for routing; no decision rests on it.
struct leader_hint
{
    server_id server;
    pair_view view;
    /// The server does not answer its leader.
    bool lost{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(view);
        f(lost);
    }
};

/// A shard that a server took without the log, for routing; no decision rests on it.
struct shard_hint
{
    shard_id shard;
    server_id server;
    quincewing::fence fence;

    template <class F>
    void each_field(F&& f)
    {
        f(shard);
        f(server);
        f(fence);
    }
};

/// Sign of life between hosts.
struct heartbeat
{
    data_centre_id data_centre;
    /// Offset up to which the sender has replayed the log.
    std::uint64_t applied{};
    /// This host stops soon and is no candidate for anything.
    bool leaving{};
    /// Digest of the crash marks that the sender knows.
    std::uint64_t crash_digest{};

    template <class F>
    void each_field(F&& f)
    {
        f(data_centre);
        f(applied);
        f(leaving);
        f(crash_digest);
    }
};

/// Asks for, and carries, the replayed state; for a start while the log is away.
struct state_request
{
    std::uint64_t applied{};

    template <class F>
    void each_field(F&& f)
    {
        f(applied);
    }
};

struct state_reply
{
    std::string data;

    template <class F>
    void each_field(F&& f)
    {
        f(data);
    }
};

/// Coordinator to all: what it knows, by version. Sent a few times a second.
struct coordinator_beat
{
    std::uint64_t term{};
    std::uint64_t table_revision{};
    /// Counts the changes of which grants are in force.
    std::uint64_t held_revision{};
    /// Offset up to which the servers are known, and of their last change.
    std::uint64_t servers_read{};
    std::uint64_t servers_changed{};
    std::uint64_t configuration{};
    /// Microseconds since the reads behind these were sent.
    std::uint64_t table_age{};
    std::uint64_t servers_age{};
    /// Since the read that showed the configuration as the newest; see told_beat.
    std::uint64_t configuration_age{};
    /// Where the configuration is stored.
    std::uint64_t configuration_offset{};
    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(table_revision);
        f(held_revision);
        f(servers_read);
        f(servers_changed);
        f(configuration);
        f(table_age);
        f(servers_age);
        f(configuration_age);
        f(configuration_offset);
    }
};

/// Asks the coordinator for what the sender lacks.
struct news_request
{
    /// Of the table that the sender has, and where the list of servers that it has changed last; 0
    /// if it has none. Hosts that speak 1 tell the coordinator's term and no more.
    std::uint64_t term{};
    std::uint64_t table_revision{};
    std::uint64_t servers_changed{};

    template <class F>
    void each_field(F&& f)
    {
        f(term);
        f(table_revision);
        f(servers_changed);
    }
};

/// What changed at the coordinator; a part that is missing did not.
struct coordinator_news
{
    coordinator_beat versions;
    std::optional<assignment_table> table;
    /// For each range of the table, whether its grant is in force.
    std::optional<std::vector<std::uint8_t>> held;
    std::optional<std::vector<backend_server>> servers;
    /// In place of the whole table or list, when the receiver is taken to know the earlier one.
    std::optional<table_change> table_changes;
    std::optional<server_changes> servers_changes;
    /// Only if they are small: hosts read a large change from the store.
    std::optional<quincewing::configuration_changes> configuration_changes;

    template <class F>
    void each_field(F&& f)
    {
        f(versions);
        f(table);
        f(held);
        f(servers);
        f(table_changes);
        f(servers_changes);
        f(configuration_changes);
    }
};

/// Asks for the configuration; sent by a host that the store does not answer.
struct configuration_request
{
    /// The version that the sender has; 0: none.
    config_version version;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
    }
};

/// The sender's configuration.
struct configuration_reply
{
    config_version version;
    /// Where it is stored.
    std::uint64_t offset{};
    /// Microseconds since the sending of a read that showed it as the newest.
    std::uint64_t age{};
    /// The whole; missing if the receiver has this version or a newer one.
    std::optional<configuration_changes> whole;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
        f(offset);
        f(age);
        f(whole);
    }
};

/// Requests for one key since the last report.
struct key_load
{
    service_id service;
    key_number key{};
    std::uint32_t requests{};

    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(key);
        f(requests);
    }
};

/// Time that a server took for requests since the last report, on average.
struct server_load_report
{
    server_id server;
    std::uint64_t work{};

    template <class F>
    void each_field(F&& f)
    {
        f(server);
        f(work);
    }
};

/// Any host to the coordinator.
struct load_report
{
    std::vector<key_load> keys;
    std::vector<server_load_report> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(keys);
        f(servers);
    }
};

/// Asks the dispatcher of a group for a place at a server.
struct place_request
{
    std::uint64_t number{};
    dispatch_request request;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(request);
    }
};

/// The dispatcher has the request and no place for it yet.
struct place_queued
{
    std::uint64_t number{};

    template <class F>
    void each_field(F&& f)
    {
        f(number);
    }
};

struct place_given
{
    std::uint64_t number{};
    server_id server;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(server);
    }
};

struct place_refused
{
    std::uint64_t number{};
    /// Microseconds after which room is expected.
    std::uint64_t retry_after{};
    std::string reason;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(retry_after);
        f(reason);
    }
};

/// The place is free again, or not wanted any more.
struct place_done
{
    std::uint64_t number{};
    /// Where the request belongs, so that the dispatcher of its group is found.
    service_id service;
    server_id only;
    attempt_report report;

    template <class F>
    void each_field(F&& f)
    {
        f(number);
        f(service);
        f(only);
        f(report);
    }
};

/// Whether the sender reaches backend servers.
struct host_reach
{
    bool cut_off{};

    template <class F>
    void each_field(F&& f)
    {
        f(cut_off);
    }
};

/// The coordinator to another host: whether that one reaches servers that the sender does not.
struct reach_question
{
    std::vector<server_id> servers;

    template <class F>
    void each_field(F&& f)
    {
        f(servers);
    }
};

struct reach_result
{
    /// Servers that the sender does not reach either.
    std::uint32_t unreached{};

    template <class F>
    void each_field(F&& f)
    {
        f(unreached);
    }
};

/// The sender has coordinated, and its name is out of the table.
struct term_given_up
{
    std::uint64_t term{};

    template <class F>
    void each_field(F&& f)
    {
        f(term);
    }
};

/// The sender takes no new requests for a place: it stops, or knows no servers yet.
struct place_declined
{
    std::uint64_t number{};

    template <class F>
    void each_field(F&& f)
    {
        f(number);
    }
};

/// All requests that the sender has at the receiver's dispatchers. Those that are not in the list
/// are done, and their places are free.
struct place_check
{
    std::vector<std::uint64_t> waiting;
    std::vector<std::uint64_t> granted;

    template <class F>
    void each_field(F&& f)
    {
        f(waiting);
        f(granted);
    }
};

/// Answer to a place_check: which of the waiting requests the dispatchers do not have.
struct place_check_result
{
    std::vector<std::uint64_t> unknown;

    template <class F>
    void each_field(F&& f)
    {
        f(unknown);
    }
};

/// The sender stops soon: no new work for it.
struct host_leaving
{
    bool leaving{true};

    template <class F>
    void each_field(F&& f)
    {
        f(leaving);
    }
};

using message =
    std::variant<pair_heartbeat, pair_ack, ledger_update, release_request, shard_release,
                 release_taken, leader_hint, heartbeat, state_request, state_reply, crash_report,
                 late_answer, shard_hint, coordinator_beat, news_request, coordinator_news,
                 load_report, place_request, place_queued, place_given, place_refused, place_done,
                 host_leaving, place_declined, place_check, place_check_result, crash_digest,
                 server_condition_report, server_condition_digest, server_condition_request,
                 configuration_request, configuration_reply, host_reach, term_given_up,
                 reach_question, reach_result>;

/// A message between two entry hosts; dropped unless it is for this very process.
struct envelope
{
    /// Version of this format.
    std::uint32_t version{1};
    host_id from;
    host_id to;
    message body;

    template <class F>
    void each_field(F&& f)
    {
        f(version);
        f(from);
        f(to);
        f(body);
    }
};

std::string encode_envelope(const envelope& it);
/// An envelope whose body is encoded already.
std::string encode_envelope(const host_id& from, const host_id& to, std::string_view body);
std::string encode_body(const message& body);
tl::expected<envelope, std::string> decode_envelope(std::string_view buf);

} // namespace quincewing
