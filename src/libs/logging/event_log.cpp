#include "quincewing/logging/event_log.hpp"

#include "quincewing/net/event_loop.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace quincewing {

namespace {

// A value with spaces or quotes would break "name=value" apart.
void append_value(std::string& to, const std::string& value)
{
    if (value.find_first_of(" \t\r\n\"=") == std::string::npos && !value.empty()) {
        to += value;
        return;
    }
    to += '"';
    for (const char c : value) {
        to += c == '"' || c == '\n' || c == '\r' ? '\'' : c;
    }
    to += '"';
}

std::string milliseconds_text(duration it)
{
    std::array<char, 32> buf{};
    const auto n =
        std::snprintf(buf.data(), buf.size(), "%.1fms", static_cast<double>(it.count()) / 1000.0);
    return {buf.data(), static_cast<std::size_t>(n)};
}

} // namespace

log_field::log_field(std::string_view name_, duration time)
    : name(name_), value(milliseconds_text(time))
{
}

event_log::event_log(writer write, event_log_options options)
    : write_(std::move(write)), options_(options)
{
}

void event_log::line(instant now, std::string_view kind, const std::vector<log_field>& fields)
{
    const auto second = now.time_since_epoch() / seconds{1};
    auto found = kinds_.find(kind);
    if (found == kinds_.end()) {
        found = kinds_.emplace(std::string{kind}, kind_count{}).first;
    }
    auto& count = found->second;
    if (count.second != second) {
        count.second = second;
        count.lines = 0;
    }
    if (++count.lines > options_.lines_per_kind || pending_.size() > options_.max_pending) {
        ++count.left_out;
        ++left_out_;
        return;
    }
    append(now, kind, fields);
    flush();
}

void event_log::tick(instant now)
{
    for (auto& [kind, count] : kinds_) {
        if (count.left_out == 0 || pending_.size() > options_.max_pending) {
            continue;
        }
        append(now, "left_out", {{"of", kind}, {"lines", count.left_out}});
        count.left_out = 0;
    }
    flush();
}

void event_log::append(instant now, std::string_view kind, const std::vector<log_field>& fields)
{
    pending_ += std::to_string(now.time_since_epoch() / millis{1});
    pending_ += ' ';
    pending_ += kind;
    for (const auto& it : fields) {
        pending_ += ' ';
        pending_ += it.name;
        pending_ += '=';
        append_value(pending_, it.value);
    }
    pending_ += '\n';
}

void event_log::flush()
{
    const auto n = pending_.empty() ? 0 : write_(pending_.data(), pending_.size());
    if (n > 0) {
        pending_.erase(0, static_cast<std::size_t>(n));
    }
}

event_log& standard_log()
{
    static event_log it{
        [](const char* buf, std::size_t n) -> long { return write(STDOUT_FILENO, buf, n); }};
    static const bool prepared = [] {
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
        return true;
    }();
    (void)prepared;
    return it;
}

void log_event(std::string_view kind, const std::vector<log_field>& fields)
{
    standard_log().line(monotonic_now(), kind, fields);
}

} // namespace quincewing
