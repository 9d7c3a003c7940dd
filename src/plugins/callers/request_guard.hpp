#pragma once

#include <cstddef>
#include <evhtp/evhtp.h>
#include <map>
#include <memory>

namespace quincewing {

/// Reads the bytes of a libevhtp server's connections with the entry host's strict parser as well,
/// since the library's own one is lenient. A request is refused unless both agree on its head.
class request_guard
{
public:
    /// max_head: the largest head in bytes.
    explicit request_guard(std::size_t max_head);
    ~request_guard();
    request_guard(const request_guard&) = delete;
    request_guard& operator=(const request_guard&) = delete;

    /// To be called for a connection that was accepted.
    void watch(evhtp_connection_t* it);
    /// To be called when the library has read a head. Returns the status of the refusal, which must
    /// close the connection; 0: the request is accepted.
    [[nodiscard]] evhtp_res check(evhtp_request_t* request);
    /// The same, when it has read the whole request.
    [[nodiscard]] evhtp_res check_body(evhtp_request_t* request) const;
    /// To be called when a connection ends.
    void forget(evhtp_connection_t* it);

private:
    struct stream;

    std::size_t max_head_;
    std::map<evhtp_connection_t*, std::unique_ptr<stream>> streams_;
};

} // namespace quincewing
