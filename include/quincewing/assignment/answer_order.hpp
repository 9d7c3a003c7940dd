#pragma once

#include "quincewing/assignment/coordinator_effects.hpp"

#include <deque>
#include <map>
#include <string>

namespace quincewing {

/// What came for a grant or a release.
struct key_answer
{
    call_outcome outcome{call_outcome::unknown};
    connection_number connection;
    /// No other call was sent on the connection before.
    bool first_on_connection{};
    /// Token of a release; may be empty.
    std::string handoff;
};

/// Tells whether an answer to a grant or release can be that of another call. Answers bear no
/// number: when a server writes one once more, each later call on the connection gets the answer of
/// an earlier one.
class answer_order
{
public:
    /// The outcome of a grant; call_outcome::doubtful when the answer is that of a release.
    call_outcome judge_grant(const key_answer& it);
    /// The outcome of a release; call_outcome::doubtful when the answer may be another call's.
    call_outcome judge_release(const key_answer& it);
    /// The connection is closed.
    void forget(connection_number it) { tokens_.erase(it); }

private:
    [[nodiscard]] bool is_new(const key_answer& it) const;
    void note_token(const key_answer& it);

    /// Tokens that came on each open connection, the newest last.
    std::map<connection_number, std::deque<std::string>> tokens_;
};

} // namespace quincewing
