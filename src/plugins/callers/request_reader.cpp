#include "request_reader.hpp"

#include "quincewing/admission/request_fingerprint.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace quincewing {

namespace {

constexpr std::size_t longest_idempotency_key = 255;
constexpr std::array idempotent_methods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

/// The first two parts of a path: /service/key/...
struct path_parts
{
    std::string first;
    std::string second;
};

path_parts split_path(const std::string& target)
{
    const auto path = target.substr(0, target.find('?'));
    path_parts out;
    if (path.empty() || path.front() != '/') {
        return out;
    }
    const auto slash = path.find('/', 1);
    out.first = path.substr(1, slash == std::string::npos ? slash : slash - 1);
    if (slash != std::string::npos) {
        const auto end = path.find('/', slash + 1);
        out.second = path.substr(slash + 1, end == std::string::npos ? end : end - slash - 1);
    }
    return out;
}

const std::pair<const std::string, service_settings>*
find_service(const host_settings& settings, const std::string& host, const std::string& first)
{
    const auto name = host.substr(0, host.find(':'));
    for (const auto& it : settings.services) {
        if (!it.second.host_name.empty() &&
            strcasecmp(it.second.host_name.c_str(), name.c_str()) == 0) {
            return &it;
        }
    }
    const auto found = settings.services.find(first);
    return found == settings.services.end() ? nullptr : &*found;
}

tl::expected<duration, request_error> read_deadline(const service_settings& service,
                                                    const header_list& headers)
{
    const auto* text = find_header(headers, "Quincewing-Deadline-Ms");
    if (text == nullptr) {
        return service.deadline;
    }
    long n = 0;
    const auto* end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, n);
    if (ec != std::errc{} || rest != end || n <= 0) {
        return tl::make_unexpected(
            request_error{400, "Quincewing-Deadline-Ms: expected milliseconds, 1 or more"});
    }
    return n < service.max_deadline / millis{1} ? duration{millis{n}} : service.max_deadline;
}

request_class class_of(const service_settings& service, const inbound_request& it)
{
    if (!it.idempotent) {
        return request_class::write;
    }
    const bool bulk =
        std::any_of(service.bulk_paths.begin(), service.bulk_paths.end(),
                    [&](const auto& path) { return it.target.find(path) != std::string::npos; });
    return bulk ? request_class::bulk : request_class::read;
}

} // namespace

tl::expected<void, request_error> read_request(const host_settings& settings, instant now,
                                               inbound_request& it)
{
    const auto parts = split_path(it.target);
    const auto* host = find_header(it.headers, "Host");
    const auto* found = find_service(settings, host == nullptr ? "" : *host, parts.first);
    if (found == nullptr) {
        return tl::make_unexpected(request_error{404, "no such service"});
    }
    const auto& [name, service] = *found;
    it.service = service_id{name};
    if (!service.key_header.empty()) {
        const auto* key = find_header(it.headers, service.key_header);
        it.shard_key = key == nullptr ? "" : *key;
    } else {
        it.shard_key = service.host_name.empty() ? parts.second : parts.first;
    }
    if (service.keyed && it.shard_key.empty()) {
        return tl::make_unexpected(request_error{400, "the request names no key"});
    }
    if (const auto* key = find_header(it.headers, "Idempotency-Key")) {
        it.idempotency_key = *key;
    }
    if (it.idempotency_key.size() > longest_idempotency_key) {
        return tl::make_unexpected(request_error{400, "Idempotency-Key: at most 255 bytes"});
    }
    const bool by_method = std::any_of(idempotent_methods.begin(), idempotent_methods.end(),
                                       [&](const char* m) { return it.method == m; });
    it.idempotent = by_method && it.idempotency_key.empty();
    if (!by_method && it.idempotency_key.empty() && service.require_idempotency_key) {
        return tl::make_unexpected(request_error{428, "Idempotency-Key is required"});
    }
    const auto deadline = read_deadline(service, it.headers);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    it.deadline = now + *deadline;
    it.klass = class_of(service, it);
    it.fingerprint = fingerprint_of({.method = it.method, .target = it.target, .body = it.body});
    return {};
}

} // namespace quincewing
