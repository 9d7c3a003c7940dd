#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

constexpr long long heartbeat_ms = 870;
constexpr long long silence_until_removed_ms = 3 * heartbeat_ms;
constexpr long long removal_check_ms = 20;
constexpr const char* servers_topic = "keyed.servers";
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_precondition_failed = 412;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;

std::string big_endian(std::uint64_t number, std::size_t bytes)
{
    std::string out(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i) {
        out[bytes - 1 - i] = static_cast<char>(number >> (8U * i) & 0xffU);
    }
    return out;
}

std::string base64(const std::string& text)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            bits =
                bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > text.size() ? '=' : digits[bits >> (18U - 6U * j) & 0x3fU];
        }
    }
    return out;
}

std::string end_body(std::size_t offset, std::size_t end)
{
    return "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(end) + "}";
}

} // namespace

void store::serve(const std::string& address)
{
    std::thread{[this] { remove_silent_servers(); }}.detach();
    const auto listener = listen_at(address);
    std::thread{[this, listener] {
        while (true) {
            const auto fd = accept_connection(listener);
            std::thread{[this, fd] { serve_connection(fd); }}.detach();
        }
    }}.detach();
}

void store::serve_connection(int fd)
{
    http_stream stream{fd};
    while (const auto request = stream.read()) {
        if (!stream.write(answer(*request))) {
            return;
        }
    }
}

std::string store::answer(const http_message& request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/log-append") {
        return append(request);
    }
    if (path == "/v1/log-read") {
        return read(request);
    }
    return path == "/v1/log-newest" ? newest(request) : format_answer(http_not_found, "", "");
}

std::string store::append(const http_message& request)
{
    const auto topic = query_value(request.target(), "topic");
    const auto at = query_value(request.target(), "at");
    const std::lock_guard lock{mutex_};
    const auto first = topics_[topic].size();
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != first) {
        return format_answer(http_precondition_failed, "", end_body(first, first));
    }
    const auto& body = request.body;
    std::size_t done = 0;
    while (done + length_bytes < body.size()) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < length_bytes; ++i) {
            length = length << 8U | static_cast<unsigned char>(body[done + i]);
        }
        const auto content = body.substr(done + length_bytes, length);
        const auto key_length = static_cast<unsigned char>(content[0]);
        add(topic, {.key = content.substr(1, key_length),
                    .value = content.substr(1 + key_length),
                    .bytes = body.substr(done, length_bytes + length)});
        done += length_bytes + length;
    }
    return format_answer(http_ok, "", end_body(first, topics_[topic].size()));
}

void store::add(const std::string& topic, record it)
{
    if (topic == servers_topic && it.value.empty()) {
        heartbeats_.erase(it.key);
    } else if (topic == servers_topic) {
        heartbeats_[it.key] = now_ms();
    }
    topics_[topic].push_back(std::move(it));
    appended_.notify_all();
}

std::string store::read(const http_message& request)
{
    const auto from = std::strtoull(query_value(request.target(), "from").c_str(), nullptr, 10);
    const auto wait_ms = std::atoi(query_value(request.target(), "waitMs").c_str());
    std::unique_lock lock{mutex_};
    const auto& records = topics_[query_value(request.target(), "topic")];
    appended_.wait_for(lock, std::chrono::milliseconds{wait_ms},
                       [&] { return records.size() > from; });
    auto out = big_endian(records.size(), offset_bytes) + big_endian(0, offset_bytes);
    for (auto i = from; i < records.size(); ++i) {
        out += records[i].bytes;
    }
    return format_answer(http_ok, "", out);
}

std::string store::newest(const http_message& request)
{
    const std::lock_guard lock{mutex_};
    const auto& records = topics_[query_value(request.target(), "topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < records.size(); ++i) {
        last[records[i].key] = i;
    }
    std::string items;
    for (const auto& [key, offset] : last) {
        if (!records[offset].value.empty()) {
            items += (items.empty() ? "" : ",") + std::string{R"({"key":")"} + key +
                     R"(","value":")" + base64(records[offset].value) + R"(","offset":)" +
                     std::to_string(offset) + "}";
        }
    }
    return format_answer(http_ok, "",
                         R"({"items":[)" + items + R"(],"hasMore":false,"end":)" +
                             std::to_string(records.size()) + "}");
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const auto content = std::string{static_cast<char>(key.size())} + key + value;
    const std::lock_guard lock{mutex_};
    add(topic,
        {.key = key, .value = value, .bytes = big_endian(content.size(), length_bytes) + content});
}

long long store::last_heartbeat(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    const auto found = heartbeats_.find(id);
    return found == heartbeats_.end() ? 0 : found->second;
}

void store::remove_silent_servers()
{
    while (true) {
        sleep_ms(removal_check_ms);
        std::vector<std::string> silent;
        {
            const std::lock_guard lock{mutex_};
            for (const auto& [key, at] : heartbeats_) {
                if (now_ms() - at >= silence_until_removed_ms) {
                    silent.push_back(key);
                }
            }
        }
        for (const auto& key : silent) {
            put(servers_topic, key, "");
        }
    }
}

} // namespace review
