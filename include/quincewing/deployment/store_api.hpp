#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace quincewing {

/// Streams of the platform's store. Each keeps the newest record of every key.
enum class store_stream
{
    /// What the operators want.
    configuration,
    /// What the backend servers announce.
    servers,
    /// Who coordinates and who holds which keys.
    assignment,
    /// Where the entry hosts are.
    hosts
};

const char* to_string(store_stream it);

enum class store_status
{
    ok,
    /// A condition of the call did not hold; nothing was done.
    conflict,
    /// The records asked for are not kept any more.
    dropped,
    /// Nothing was done.
    not_done,
    /// No answer: it may have been carried out, now or later.
    unknown
};

const char* to_string(store_status it);

struct store_record
{
    std::string key;
    /// None: the key was removed.
    std::optional<std::string> value;
    log_offset offset;
};

/// Records of one read, and where the stream ended then.
struct store_page
{
    store_status status{store_status::unknown};
    std::vector<store_record> records;
    log_offset end;
};

struct store_append_result
{
    store_status status{store_status::unknown};
    /// End of the stream, when the answer tells it.
    log_offset end;
};

/// Calls to the store. Each answers once.
struct store_api
{
    /// The newest record of every key.
    std::function<void(store_stream, std::function<void(store_page)>)> newest;
    /// Records from an offset on; waits up to this time for the first.
    std::function<void(store_stream, log_offset from, duration wait,
                       std::function<void(store_page)>)>
        read;
    /// Appends one record; with an offset only if the stream ends there.
    std::function<void(store_stream, store_record, std::optional<log_offset> at,
                       std::function<void(store_append_result)>)>
        append;
};

} // namespace quincewing
