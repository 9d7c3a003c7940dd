#pragma once

#include <string>

namespace quincewing {

/// Whose answer has come on a connection to a backend server.
enum class answer_match
{
    /// It is the answer to the request.
    own,
    /// It bears the id of another request.
    of_another,
    /// It bears no id, though the request has one, and may be to an earlier request.
    without_id
};

/// wanted: the id of the request; empty: it has none. answered: the id that the answer bears;
/// nullptr: it bears none. first_on_connection: the connection carried nothing before the request.
[[nodiscard]] answer_match match_answer(const std::string& wanted, const std::string* answered,
                                        bool first_on_connection);

} // namespace quincewing
