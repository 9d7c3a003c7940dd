#include "forward_headers.hpp"

#include <algorithm>
#include <cstdlib>

namespace quincewing {

namespace {

std::string lower(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return it;
}

std::string text_of(const header_list& headers, const char* name)
{
    const auto* it = find_header(headers, name);
    return it == nullptr ? std::string{} : *it;
}

std::uint64_t number_of(const header_list& headers, const char* name)
{
    return std::strtoull(text_of(headers, name).c_str(), nullptr, 10);
}

bool is_own(const std::string& name)
{
    return name.starts_with(":") || name.starts_with("qw-");
}

// A caller's own headers of these names would be taken for the other host's.
void add_passed_on(header_list& out, const header_list& from)
{
    for (const auto& [key, value] : from) {
        auto name = lower(key);
        if (!is_own(name) && !is_hop_by_hop_header(name)) {
            out.emplace_back(std::move(name), value);
        }
    }
}

} // namespace

header_list to_stream_headers(const exchange& it, instant now)
{
    const auto& request = it.request;
    const auto left = std::max<duration>(request.deadline - now, millis{1});
    header_list out{
        {":method", request.method},
        {":scheme", "http"},
        {":authority", "quincewing"},
        {":path", request.target},
        {"qw-service", request.service.value},
        {"qw-server", it.server.value},
        {"qw-shard", std::to_string(it.shard.number)},
        {"qw-key", request.shard_key},
        {"qw-idempotency-key", request.idempotency_key},
        {"qw-idempotent", request.idempotent ? "1" : "0"},
        {"qw-class", std::to_string(static_cast<int>(request.klass))},
        {"qw-fingerprint", std::to_string(request.fingerprint)},
        {"qw-left-us", std::to_string(left.count())},
    };
    add_passed_on(out, request.headers);
    return out;
}

exchange_ptr from_stream_headers(const header_list& headers, instant now)
{
    auto out = std::make_shared<exchange>();
    auto& request = out->request;
    request.method = text_of(headers, ":method");
    request.target = text_of(headers, ":path");
    request.service = service_id{text_of(headers, "qw-service")};
    request.shard_key = text_of(headers, "qw-key");
    request.idempotency_key = text_of(headers, "qw-idempotency-key");
    request.idempotent = text_of(headers, "qw-idempotent") == "1";
    request.klass = static_cast<request_class>(
        std::min<std::uint64_t>(number_of(headers, "qw-class"), request_class_count - 1));
    request.fingerprint = number_of(headers, "qw-fingerprint");
    request.deadline = now + std::chrono::microseconds{number_of(headers, "qw-left-us")};
    out->server = server_id{text_of(headers, "qw-server")};
    out->shard = {request.service, static_cast<std::uint32_t>(number_of(headers, "qw-shard"))};
    out->from_peer = true;
    out->started_at = now;
    for (const auto& [key, value] : headers) {
        if (!is_own(key)) {
            request.headers.emplace_back(key, value);
        }
    }
    return out;
}

header_list to_stream_headers(const response_head& it)
{
    header_list out{
        {":status", std::to_string(it.status)},
        {"qw-verdict", std::to_string(static_cast<int>(it.verdict))},
        {"qw-why", std::to_string(static_cast<int>(it.why))},
        {"qw-retry-after-us", std::to_string(it.retry_after.count())},
    };
    if (it.length) {
        out.emplace_back("qw-length", std::to_string(*it.length));
    }
    if (!it.loss.empty()) {
        out.emplace_back("qw-loss", it.loss);
    }
    add_passed_on(out, it.headers);
    return out;
}

response_head head_from_stream(const header_list& headers)
{
    response_head out;
    out.status = static_cast<int>(number_of(headers, ":status"));
    out.verdict = static_cast<verdict>(number_of(headers, "qw-verdict"));
    out.why = static_cast<refusal>(number_of(headers, "qw-why"));
    out.retry_after = std::chrono::microseconds{number_of(headers, "qw-retry-after-us")};
    out.loss = text_of(headers, "qw-loss");
    if (find_header(headers, "qw-length") != nullptr) {
        out.length = number_of(headers, "qw-length");
    }
    for (const auto& [key, value] : headers) {
        if (!is_own(key)) {
            out.headers.emplace_back(key, value);
        }
    }
    return out;
}

} // namespace quincewing
