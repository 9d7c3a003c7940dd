#pragma once

#include "quincewing/admission/request_class.hpp"
#include "quincewing/base/time.hpp"
#include "quincewing/base/verdict.hpp"
#include "quincewing/state/record.hpp"
#include "quincewing/wire/messages.hpp"

#include <string>
#include <vector>

namespace quincewing {

/// Properties of a request that the leader's decisions depend on.
struct request_meta
{
    request_id id;
    shard_id shard;
    /// Idempotency key; empty for a request without one.
    std::string key;
    /// Hash of method, path and body.
    std::uint64_t fingerprint{};
    bool idempotent{};
    request_class klass{request_class::read};
    instant deadline{};
};

/// Why a request was answered without being run.
enum class refusal : std::uint8_t
{
    none,
    not_leader,
    lease_lapsed,
    shard_unavailable,
    overloaded,
    deadline,
    ledger_full,
    key_mismatch,
    /// The ledger of an earlier leader was lost, so an earlier run cannot be ruled out.
    ledger_lost,
    earlier_run_unknown,
    quarantined,
    shutting_down,
    server_failed
};

const char* to_string(refusal it);

/// Answer to a request that is not sent to a server.
struct final_answer
{
    request_id id;
    quincewing::verdict verdict{quincewing::verdict::not_run};
    refusal why{refusal::none};
    duration retry_after{};
    /// The stored response of an earlier run, when the verdict is ran.
    stored_response response;
};

/// Sends a waiting request to its server.
struct dispatch
{
    request_id id;
    server_id server;
    quincewing::fence fence;
};

enum class command_kind : std::uint8_t
{
    /// Grants or renews the shards. Without shards it only checks that the server answers.
    grant,
    revoke
};

/// A command to a backend server. Its result is matched by the number.
struct server_command
{
    std::uint64_t number{};
    server_id server;
    command_kind kind{command_kind::grant};
    duration lease{};
    /// Expiry of the grant on the server's own clock, in microseconds. With an absolute time, a
    /// grant that waited in the buffers of a frozen server has expired when it is read.
    std::uint64_t until{};
    struct item
    {
        shard_id shard;
        quincewing::fence fence;
    };
    std::vector<item> items;
};

enum class command_result : std::uint8_t
{
    done,
    /// The server knows a higher fence.
    fenced,
    no_answer,
    /// Nothing listens at the server's address: its process has ended.
    process_gone
};

/// The result of a command.
struct command_reply
{
    command_result result{command_result::no_answer};
    /// The server's clock when it answered, in microseconds; 0 when it was not reported.
    std::uint64_t server_clock{};
};

/// A change of state that is logged and counted.
struct state_change
{
    /// Kind of the change, as it appears in the metric.
    std::string what;
    /// The server, shard, host or log offset that changed.
    std::string about;
    std::string detail;
};

/// The actions that a decision results in, each kind in the order of execution.
struct effects
{
    struct outgoing
    {
        host_id to;
        message body;
    };
    std::vector<outgoing> sends;
    std::vector<record_body> appends;
    std::vector<server_command> commands;
    std::vector<dispatch> dispatches;
    std::vector<final_answer> answers;
    /// Requests in flight whose connection to the server is to be closed.
    std::vector<request_id> aborts;
    std::vector<state_change> changes;

    void send(host_id to, message body) { sends.push_back({std::move(to), std::move(body)}); }
    void add_change(std::string what, std::string about, std::string detail = {})
    {
        changes.push_back({std::move(what), std::move(about), std::move(detail)});
    }
};

} // namespace quincewing
