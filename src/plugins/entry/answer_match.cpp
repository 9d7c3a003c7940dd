#include "answer_match.hpp"

namespace quincewing {

// Servers write the id of a request into the answer to it, and a faulty one may write an answer
// once more when the connection carries a later request.
answer_match match_answer(const std::string& wanted, const std::string* answered,
                          bool first_on_connection)
{
    const bool has_id = answered != nullptr && !answered->empty();
    if (has_id && *answered != wanted) {
        return wanted.empty() && first_on_connection ? answer_match::own : answer_match::of_another;
    }
    if (has_id || wanted.empty() || first_on_connection) {
        return answer_match::own;
    }
    return answer_match::without_id;
}

} // namespace quincewing
