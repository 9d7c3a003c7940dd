#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// Streams of records in the platform's store, which retains the newest record of every key.
enum class store_stream
{
    /// The operators' configuration.
    configuration,
    /// Registrations of the backend servers.
    servers,
    /// The coordinator, and the assignment of keys to servers.
    assignment,
    /// Addresses of the entry hosts.
    hosts,
    /// Requests that no host sends on, since they crash servers.
    quarantines
};

const char* to_string(store_stream stream);

enum class store_status
{
    ok,
    /// A condition of the call did not hold, so that it had no effect.
    conflict,
    /// The requested records are no longer retained.
    dropped,
    /// The call failed without effect.
    not_done,
    /// No answer: the call may have taken effect or may still do so.
    unknown
};

const char* to_string(store_status status);

struct store_record
{
    std::string key;
    /// Empty when the key was removed.
    std::optional<std::string> value;
    log_offset offset;
};

/// Records of one read, and the end of the stream at that time.
struct store_page
{
    store_status status{store_status::unknown};
    std::vector<store_record> records;
    log_offset end;
    /// As told by the answer, whatever its status.
    store_era era;
};

struct store_append_result
{
    store_status status{store_status::unknown};
    /// End of the stream, when the answer tells it.
    log_offset end;
    /// As told by the answer, whatever its status.
    store_era era;
};

/// Asynchronous calls to the store. Each callback is called once.
struct store_api
{
    /// Reads the newest record of every key.
    std::function<void(store_stream, std::function<void(store_page)>)> newest;
    /// Reads records from an offset on; waits up to this time for the first.
    std::function<void(store_stream, log_offset from, duration wait,
                       std::function<void(store_page)>)>
        read;
    /// Appends one record; if an offset is given, only while the stream ends there.
    std::function<void(store_stream, store_record, std::optional<log_offset> at,
                       std::function<void(store_append_result)>)>
        append;
};

} // namespace quincewing
