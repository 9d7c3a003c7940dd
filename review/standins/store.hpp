#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// The platform's store, as far as an entry host uses it: appends, with a condition or without,
/// reads that wait, and the newest record of each key. Entries of endpoints that are silent for
/// three heartbeat intervals are removed.
class store
{
public:
    /// Serves at the address until the process ends.
    void serve(const std::string& address);
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// When the entry of an endpoint was written last.
    [[nodiscard]] long long last_heartbeat(const std::string& id);

private:
    struct record
    {
        std::string key;
        std::string value;
        /// As it was appended, with its length.
        std::string bytes;
    };
    using topic_records = std::vector<record>;

    void serve_connection(int fd);
    std::string answer(const http_message& request);
    std::string append(const http_message& request);
    std::string read(const http_message& request);
    std::string newest(const http_message& request);
    void add(const std::string& topic, record it);
    void remove_silent_servers();

    std::mutex mutex_;
    std::condition_variable appended_;
    std::map<std::string, topic_records> topics_;
    /// When the entry of each endpoint was written last.
    std::map<std::string, long long> heartbeats_;
};

} // namespace review
