#pragma once

#include "quincewing/admission/crash_mark.hpp"
#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace quincewing {

struct unproven_crashes_options
{
    /// A crash counts after this time, unless the host that saw it is cut off.
    duration max_wait{seconds{1}};
    /// Nothing has shown by then that it was one.
    duration memory{seconds{10}};
};

/// A server that seemed to crash under a request, since the connection broke.
struct unproven_crash
{
    std::uint64_t fingerprint{};
    server_process process;
    /// The host whose connection it was.
    host_id way;
    instant at;
    duration ran_for{};
};

/// What is known when an unproven crash is looked at.
struct crash_evidence
{
    /// The process is among the servers.
    std::function<bool(server_process)> listed;
    /// The host does not reach servers at present.
    std::function<bool(const host_id&)> cut_off;
};

/// Crashes that may be the fault of the way to the server: a host that is cut off sees servers
/// crash that are well. A crash is proven once the same host is answered by a server again or the
/// process is gone. Does no I/O and reads no clock.
class unproven_crashes
{
public:
    explicit unproven_crashes(unproven_crashes_options options = {}) : options_(options) {}

    void add(const unproven_crash& it) { crashes_.push_back(it); }
    /// A server answered by way of the host, to a request that was sent then.
    void on_answer(const host_id& way, server_process process, instant sent_at);
    /// A request with these contents was answered, not with an error of the server.
    void on_request_answered(std::uint64_t fingerprint);
    [[nodiscard]] bool any_proven() const { return !proven_.empty(); }
    /// The crashes that are proven by now, the oldest first.
    std::vector<unproven_crash> take_proven(instant now, const crash_evidence& evidence);
    [[nodiscard]] bool empty() const { return crashes_.empty() && proven_.empty(); }

private:
    unproven_crashes_options options_;
    std::vector<unproven_crash> crashes_;
    std::vector<unproven_crash> proven_;
};

} // namespace quincewing
