#include "quincewing/exchange/response_head.hpp"

#include <algorithm>

namespace quincewing {

int status_of(refusal why, quincewing::verdict it)
{
    switch (why) {
    case refusal::key_mismatch:
        return 422;
    case refusal::overloaded:
    case refusal::quarantined:
        return 429;
    case refusal::deadline:
        return it == verdict::unknown ? 504 : 503;
    case refusal::earlier_run_unknown:
    case refusal::ledger_lost:
        return 409;
    default:
        return it == verdict::unknown ? 504 : 503;
    }
}

std::string retry_after_seconds(duration it)
{
    const auto whole = (it + seconds{1} - duration{1}) / seconds{1};
    return std::to_string(std::max<long>(whole, 1));
}

std::pair<response_head, std::string> to_response(const final_answer& answer)
{
    response_head head{
        .verdict = answer.verdict, .why = answer.why, .retry_after = answer.retry_after};
    if (answer.verdict == verdict::ran) {
        head.status = static_cast<int>(answer.response.status);
        for (const auto& [key, value] : answer.response.headers) {
            head.headers.emplace_back(key, value);
        }
        if (answer.response.body_dropped) {
            head.headers.emplace_back("Quincewing-Answer", "not-kept");
        }
        head.length = answer.response.body.size();
        return {std::move(head), answer.response.body};
    }
    head.status = status_of(answer.why, answer.verdict);
    std::string body = std::string{to_string(answer.verdict)} + ": " + to_string(answer.why) + "\n";
    head.headers.emplace_back("Content-Type", "text/plain");
    head.length = body.size();
    return {std::move(head), std::move(body)};
}

} // namespace quincewing
