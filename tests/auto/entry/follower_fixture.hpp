#pragma once

#include "quincewing/entry/host_context.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quincewing::testing {

/// What a task of an entry host needs, with a store that keeps calls until the test answers them.
/// Values are versions of a configuration, or addresses of servers ("draining" for one that is).
struct follower_fixture
{
    struct store_call
    {
        std::string name;
        store_stream stream{};
        log_offset from;
        store_record record;
        std::function<void(store_page)> done;
        std::function<void(store_append_result)> appended;
    };

    explicit follower_fixture(const std::string& address = "10.0.0.1:7100");

    /// Takes the calls that were made since the last time.
    std::vector<store_call> take_calls();
    /// Takes the one call that was made since the last time.
    store_call take_call();

    event_loop loop;
    entry_settings settings;
    deployment_api platform;
    deployment_view view{1};
    registry metrics;
    host_context context;
    std::vector<store_call> calls;
};

store_record stored(const std::string& key, const std::string& value, std::uint64_t offset);
store_page page_of(std::vector<store_record> records, std::uint64_t end);

} // namespace quincewing::testing
