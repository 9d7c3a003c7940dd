#pragma once

/// Status codes of responses to callers and from servers.
namespace quincewing::http_status {

inline constexpr int ok = 200;
inline constexpr int redirection = 300;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int body_too_large = 413;
inline constexpr int misdirected = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int head_too_large = 431;
inline constexpr int server_error = 500;
inline constexpr int not_implemented = 501;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace quincewing::http_status
