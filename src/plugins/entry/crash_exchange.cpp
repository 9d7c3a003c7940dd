#include "crash_exchange.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"

#include <charconv>
#include <chrono>
#include <set>

namespace quincewing {

namespace {

// One small message in each period, whatever the number of hosts.
constexpr seconds digest_period{1};
constexpr millis read_retry_pause{500};

wall_time wall_now()
{
    return std::chrono::time_point_cast<seconds>(std::chrono::system_clock::now());
}

std::string key_of(std::uint64_t fingerprint)
{
    return std::to_string(fingerprint);
}

std::optional<std::uint64_t> fingerprint_of_key(const std::string& key)
{
    std::uint64_t out = 0;
    const auto* end = key.data() + key.size();
    const auto [rest, ec] = std::from_chars(key.data(), end, out);
    return ec == std::errc{} && rest == end ? std::optional{out} : std::nullopt;
}

} // namespace

server_process process_of(const backend_server& it)
{
    return server_process{stable_hash(it.id.value, it.start.value)};
}

crash_exchange::crash_exchange(host_context context, peers_task& peers,
                               std::function<bool(const host_id&)> cut_off)
    : context_(std::move(context)), peers_(peers), cut_off_(std::move(cut_off)),
      random_(static_cast<std::uint32_t>(stable_hash(context_.self.value)))
{
}

void crash_exchange::on_host_connected(const host_id& host)
{
    tell_digest(host, monotonic_now());
}

// ---- what this host has seen

void crash_exchange::on_broken(const unproven_crash& it)
{
    unproven_.add(it);
}

void crash_exchange::on_answer(const host_id& way, server_process process, instant sent_at)
{
    guard_.on_process_alive(process, sent_at);
    if (unproven_.empty()) {
        return;
    }
    unproven_.on_answer(way, process, sent_at);
    if (unproven_.any_proven()) {
        settle(monotonic_now());
    }
}

void crash_exchange::on_request_answered(std::uint64_t fingerprint)
{
    guard_.on_answer(monotonic_now(), fingerprint);
    unproven_.on_request_answered(fingerprint);
}

void crash_exchange::settle(instant now)
{
    std::set<server_process> listed;
    for (const auto& [id, server] : context_.view.servers()) {
        listed.insert(process_of(server));
    }
    const crash_evidence evidence{.listed = [&](server_process it) { return listed.contains(it); },
                                  .cut_off = cut_off_};
    for (const auto& it : unproven_.take_proven(now, evidence)) {
        // What else was in flight at the server is known to the other hosts only.
        guard_.on_crash(it.at, it.fingerprint, it.process, it.ran_for, false);
        if (guard_.status(now, it.fingerprint) == crash_status::quarantined) {
            log_event("quarantine", {{"contents", it.fingerprint}});
        }
    }
}

void crash_exchange::tick(instant now, bool coordinating)
{
    if (!unproven_.empty()) {
        settle(now);
    }
    tell_findings(now);
    read_store(now, coordinating);
    if (coordinating && read_done_) {
        write_store(now);
    }
    if (now < next_digest_) {
        return;
    }
    next_digest_ = now + digest_period;
    const auto& hosts = peers_.connected_hosts();
    if (!hosts.empty()) {
        std::uniform_int_distribution<std::size_t> any{0, hosts.size() - 1};
        tell_digest(hosts[any(random_)], now);
    }
}

void crash_exchange::tell_findings(instant now)
{
    const auto report = guard_.take_findings(now);
    if (!report) {
        return;
    }
    peers_.send_to_all(*report);
}

void crash_exchange::tell_digest(const host_id& to, instant now)
{
    peers_.send(to, crash_digest{.value = guard_.digest(now)});
}

// Without a link back the report would be lost. When that link is made, its digest is told there.
void crash_exchange::on_message(const host_id& from, const crash_digest& it)
{
    if (!peers_.connected(from)) {
        return;
    }
    if (const auto report = guard_.on_digest(monotonic_now(), it.value)) {
        peers_.send(from, *report);
    }
}

void crash_exchange::on_message(const host_id& from, const crash_report& it)
{
    if (const auto reply = guard_.on_report(monotonic_now(), it)) {
        peers_.send(from, *reply);
    }
}

// ---- the store

// The others are told, so that a start of all hosts costs one read.
void crash_exchange::read_store(instant now, bool coordinating)
{
    if (coordinating && !was_coordinating_) {
        read_done_ = false;
    }
    was_coordinating_ = coordinating;
    if (!coordinating || read_done_ || read_pending_ || now < next_read_) {
        return;
    }
    read_pending_ = true;
    context_.platform.store.newest(store_stream::quarantines,
                                   [this](const store_page& page) { on_read(page); });
}

void crash_exchange::on_store_era(instant now)
{
    read_done_ = false;
    next_read_ = now;
}

void crash_exchange::on_read(const store_page& page)
{
    const auto now = monotonic_now();
    read_pending_ = false;
    if (page.status != store_status::ok) {
        log_event("quarantines_unread", {{"status", to_string(page.status)}});
        next_read_ = now + read_retry_pause;
        return;
    }
    read_done_ = true;
    stored_.begin_read();
    for (const auto& it : page.records) {
        const auto fingerprint = fingerprint_of_key(it.key);
        if (!it.value || !fingerprint) {
            continue;
        }
        const auto merged = stored_.on_record(now, wall_now(), *fingerprint, *it.value, guard_);
        if (!merged) {
            log_event("quarantine_unreadable", {{"key", it.key}, {"error", merged.error()}});
        }
    }
    if (!page.records.empty()) {
        peers_.send_to_all(guard_.report_all(now, false));
    }
}

void crash_exchange::write_store(instant now)
{
    const auto change = stored_.next_change(now, wall_now(), guard_);
    if (!change) {
        return;
    }
    context_.platform.store.append(
        store_stream::quarantines, {.key = key_of(change->fingerprint), .value = change->value},
        std::nullopt, [this, change = *change](const store_append_result& result) {
            on_written(change, result.status);
        });
}

void crash_exchange::on_written(const quarantine_change& it, store_status status)
{
    const bool done = status == store_status::ok;
    log_event(done ? "quarantine_stored" : "quarantine_not_stored",
              {{"contents", it.fingerprint},
               {"state", it.value ? "begun" : "ended"},
               {"status", to_string(status)}});
    stored_.on_changed(monotonic_now(), done);
}

} // namespace quincewing
