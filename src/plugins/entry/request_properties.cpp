#include "request_properties.hpp"

#include "http_status.hpp"

#include "quincewing/admission/request_fingerprint.hpp"

#include <charconv>
#include <string_view>

namespace quincewing {

std::optional<std::int64_t> integer_header(const header_list& headers, const std::string& name)
{
    const auto* text = find_header(headers, name);
    std::int64_t out = 0;
    if (text == nullptr) {
        return {};
    }
    const auto result = std::from_chars(text->data(), text->data() + text->size(), out);
    return result.ec == std::errc{} ? std::optional{out} : std::nullopt;
}

// Groups routes with equal latency objective, timeout, priority and retry policy into one class of
// traffic, since there may be very many routes.
std::uint64_t traffic_class_of(const route& it)
{
    constexpr std::uint64_t multiplier = 1'000'003;
    const auto objective = static_cast<std::uint64_t>(it.latency_objective / millis{1});
    const auto timeout = static_cast<std::uint64_t>(it.timeout / millis{1});
    return ((objective * multiplier + timeout) * multiplier + it.priority) * 2 +
           (it.retry == retry_policy::at_most_once ? 1 : 0);
}

std::string host_without_port(const std::string& host)
{
    return host.substr(0, host.find(':'));
}

std::uint64_t fingerprint_of(const caller_exchange& it)
{
    const auto header = [&](const char* name) -> std::string_view {
        const auto* out = find_header(it.head.headers, name);
        return out == nullptr ? std::string_view{} : *out;
    };
    return fingerprint_of({.method = it.head.method,
                           .target = it.head.target,
                           .body = it.body,
                           .host = header("Host"),
                           .credentials = header("Authorization")});
}

// A length or a last chunk shows where an answer ends, not whose it is: only the signature does.
bool is_unproven_success(const message_head& response, const std::string& signature_header)
{
    const bool success =
        response.status >= http_status::ok && response.status < http_status::redirection;
    if (!success || signature_header.empty()) {
        return false;
    }
    const auto* signature = find_header(response.headers, signature_header);
    return signature == nullptr || signature->empty();
}

} // namespace quincewing
