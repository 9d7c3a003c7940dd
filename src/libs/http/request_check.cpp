#include "quincewing/http/request_check.hpp"

#include <algorithm>
#include <strings.h>

namespace quincewing {

namespace {

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool same_text(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::ptrdiff_t occurrences(const header_list& headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(),
                         [&](const auto& it) { return same_text(it.first, name); });
}

/// All values of the header are this one.
bool has_only(const header_list& headers, std::string_view name, std::string_view value)
{
    return std::all_of(headers.begin(), headers.end(), [&](const auto& it) {
        return !same_text(it.first, name) || same_text(trimmed(it.second), value);
    });
}

// A server may take the host from the target and another one from the header.
bool is_target_of_host(const message_head& head)
{
    const std::string_view target = head.target;
    if (target.starts_with('/')) {
        return true;
    }
    if (target == "*") {
        return head.method == "OPTIONS";
    }
    constexpr std::string_view scheme_end = "://";
    const auto scheme = target.find(scheme_end);
    const auto* host = find_header(head.headers, "Host");
    if (scheme == std::string_view::npos || host == nullptr) {
        return false;
    }
    const auto rest = target.substr(scheme + scheme_end.size());
    return same_text(rest.substr(0, rest.find_first_of("/?#")), trimmed(*host));
}

// Content of these has no defined meaning (RFC 9110, section 9.3), and there are servers that take
// it for the next request.
bool has_no_content(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "TRACE";
}

} // namespace

request_fault check_request(const message_head& head)
{
    const auto& headers = head.headers;
    // A CONNECT ends at its head for some parsers, whatever length that names.
    if (head.method == "CONNECT") {
        return request_fault::unsupported;
    }
    const auto codings = occurrences(headers, "Transfer-Encoding");
    const auto lengths = occurrences(headers, "Content-Length");
    const bool ambiguous_end =
        lengths + codings > 1 || (codings > 0 && !head.version_1_1) ||
        (has_no_content(head.method) && (codings > 0 || head.length.value_or(0) > 0));
    if (ambiguous_end || occurrences(headers, "Host") > 1 || !is_target_of_host(head)) {
        return request_fault::invalid;
    }
    // Client libraries offer h2c with ordinary requests; an answer in HTTP/1.1 declines it (RFC
    // 9110, section 7.8). A caller that asks for another protocol may send it without
    // waiting for the answer.
    if (!has_only(headers, "Transfer-Encoding", "chunked") ||
        !has_only(headers, "Upgrade", "h2c")) {
        return request_fault::unsupported;
    }
    return request_fault::none;
}

} // namespace quincewing
