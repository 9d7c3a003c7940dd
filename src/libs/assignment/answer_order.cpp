#include "quincewing/assignment/answer_order.hpp"

#include <algorithm>

namespace quincewing {

namespace {

// A server that writes an answer once more does so within seconds.
constexpr std::size_t max_tokens = 256;

bool answered(const key_answer& it)
{
    return it.outcome != call_outcome::not_sent && it.outcome != call_outcome::unknown;
}

} // namespace

bool answer_order::is_new(const key_answer& it) const
{
    const auto seen = tokens_.find(it.connection);
    return seen == tokens_.end() ||
           std::find(seen->second.begin(), seen->second.end(), it.handoff) == seen->second.end();
}

void answer_order::note_token(const key_answer& it)
{
    if (it.handoff.empty()) {
        return;
    }
    auto& tokens = tokens_[it.connection];
    tokens.push_back(it.handoff);
    if (tokens.size() > max_tokens) {
        tokens.pop_front();
    }
}

call_outcome answer_order::judge_grant(const key_answer& it)
{
    if (!answered(it) || it.handoff.empty()) {
        return it.outcome;
    }
    note_token(it);
    return it.first_on_connection ? it.outcome : call_outcome::doubtful;
}

// Every release before this one on the connection had a token of its own, or the connection would
// have been closed. So a new token can only be that of this release.
call_outcome answer_order::judge_release(const key_answer& it)
{
    if (!answered(it)) {
        return it.outcome;
    }
    const bool own = it.outcome == call_outcome::accepted && !it.handoff.empty() && is_new(it);
    if (!own && !it.first_on_connection) {
        return call_outcome::doubtful;
    }
    note_token(it);
    return it.outcome;
}

} // namespace quincewing
