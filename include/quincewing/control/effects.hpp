#pragma once

#include "quincewing/admission/request_class.hpp"
#include "quincewing/base/time.hpp"
#include "quincewing/base/verdict.hpp"
#include "quincewing/state/record.hpp"
#include "quincewing/wire/messages.hpp"

#include <string>
#include <vector>

namespace quincewing {

/// A request as the leader's decisions see it.
struct request_meta
{
    request_id id;
    shard_id shard;
    /// Idempotency key; empty when the caller gave none.
    std::string key;
    /// Hash of method, path and body.
    std::uint64_t fingerprint{};
    bool idempotent{};
    request_class klass{request_class::read};
    instant deadline{};
};

/// Why a request got its final answer without a run of its own.
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
    ledger_lost,
    earlier_run_unknown,
    quarantined,
    shutting_down,
    server_failed
};

const char* to_string(refusal it);

/// The final answer to a request that is not sent to a server by this decision.
struct final_answer
{
    request_id id;
    quincewing::verdict verdict{quincewing::verdict::not_run};
    refusal why{refusal::none};
    duration retry_after{};
    /// A kept answer, when verdict is ran.
    stored_response response;
};

/// Send this request to the server now.
struct dispatch
{
    request_id id;
    server_id server;
    quincewing::fence fence;
};

enum class command_kind : std::uint8_t
{
    /// Grants or renews the shards; an empty list asks whether the server answers at all.
    grant,
    revoke
};

/// An order to a backend server; its result comes back by number.
struct server_command
{
    std::uint64_t number{};
    server_id server;
    command_kind kind{command_kind::grant};
    duration lease{};
    /// The grant's end on the server's own clock, in microseconds. A grant that lay in a frozen
    /// server's buffers is over by then, whenever it is read.
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
    /// A higher fence is known to the server.
    fenced,
    no_answer,
    /// Nobody listens at the server's address: its process is gone.
    process_gone
};

/// What came back of an order.
struct command_reply
{
    command_result result{command_result::no_answer};
    /// The server's clock when it answered, in microseconds; 0 when it did not tell.
    std::uint64_t server_clock{};
};

/// A change of state worth a line in the log.
struct state_change
{
    std::string what;
    std::string about;
    std::string detail;
};

/// Everything that a decision wants done, in order.
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
    /// Requests whose connection to the server is given up.
    std::vector<request_id> aborts;
    std::vector<state_change> changes;

    void send(host_id to, message body) { sends.push_back({std::move(to), std::move(body)}); }
    void note(std::string what, std::string about, std::string detail = {})
    {
        changes.push_back({std::move(what), std::move(about), std::move(detail)});
    }
};

} // namespace quincewing
