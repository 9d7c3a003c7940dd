#include "quincewing/platform/platform_task.hpp"

#include <algorithm>
#include <sstream>

namespace quincewing {

namespace {

constexpr int append_tries = 3;
constexpr std::size_t appends_queued = 1000;
constexpr millis retry_read_after{200};
constexpr millis append_pause{50};
constexpr millis retry_hosts_after{300};
constexpr int page_records = 500;
// Room for a page of snapshot chunks and a large plan.
constexpr std::size_t max_page_bytes = 48UL * 1024 * 1024;

} // namespace

platform_task::platform_task(event_loop& loop, platform_options options, platform_hooks hooks,
                             host_id self)
    : loop_(loop), options_(std::move(options)), hooks_(std::move(hooks)), self_(std::move(self)),
      read_timer_(loop, [this] { read(); }), append_timer_(loop, [this] { pump_appends(); }),
      hosts_timer_(loop, [this] { read_hosts(); }), bootstrap_(log_bootstrap{}),
      tokens_(options_.append_burst), tokens_at_(monotonic_now())
{
}

void platform_task::start()
{
    read();
    read_hosts();
}

void platform_task::read()
{
    const auto from = bootstrap_ ? bootstrap_next_ : hooks_.applied() + 1;
    const auto wait = std::chrono::duration_cast<millis>(options_.poll).count();
    http_request request{.address = options_.address,
                         .path = "/streams/" + options_.stream + "?from=" + std::to_string(from) +
                                 "&max=" + std::to_string(page_records) +
                                 "&wait_ms=" + std::to_string(bootstrap_ ? 0 : wait),
                         .timeout = options_.timeout + options_.poll,
                         .max_answer = max_page_bytes};
    const auto started = monotonic_now();
    http_call(loop_, request, [this, started](const http_answer& it) { on_page(started, it); });
}

void platform_task::read_again(duration after)
{
    if (after > duration{0}) {
        read_timer_.once(after);
    } else {
        read_timer_.soon();
    }
}

void platform_task::on_page(instant started, const http_answer& answer)
{
    ++counts_.reads;
    const auto page = answer.status == 200 ? decode_page(answer.body)
                                           : tl::make_unexpected(std::string{"no answer"});
    if (!page) {
        ++counts_.reads_failed;
        read_again(retry_read_after);
        return;
    }
    if (!bootstrap_ && page->first_kept > hooks_.applied() + 1) {
        // Fell behind what the log keeps: start over from its newest snapshot.
        bootstrap_ = log_bootstrap{};
        bootstrap_next_ = 0;
    }
    if (bootstrap_) {
        bootstrap_page(started, *page);
    } else {
        take_page(started, *page);
    }
}

void platform_task::bootstrap_page(instant started, const log_page& page)
{
    for (const auto& item : page.items) {
        bootstrap_next_ = item.offset + 1;
        if (auto it = decode_record(item.data)) {
            bootstrap_->add(log_offset{item.offset}, std::move(*it));
        } else {
            ++counts_.unreadable;
        }
    }
    const bool at_tail = page.items.empty() || page.items.back().offset >= page.tail;
    if (!at_tail) {
        read_again(duration{0});
        return;
    }
    auto state = bootstrap_->finish(log_offset{page.first_kept});
    if (!state) {
        read_again(retry_read_after);
        return;
    }
    bootstrap_.reset();
    hooks_.on_state(started, std::move(*state));
    read_again(duration{0});
}

void platform_task::take_page(instant started, const log_page& page)
{
    std::vector<std::pair<log_offset, record>> records;
    for (const auto& item : page.items) {
        if (auto it = decode_record(item.data)) {
            records.emplace_back(log_offset{item.offset}, std::move(*it));
        } else {
            ++counts_.unreadable;
        }
    }
    const bool at_tail = page.items.empty() || page.items.back().offset >= page.tail;
    hooks_.on_records(started, records, at_tail);
    read_again(duration{0});
}

void platform_task::append(record_body body)
{
    if (appends_.size() >= appends_queued) {
        ++counts_.appends_dropped;
        return;
    }
    record it{.id = record_id{self_.value + "#" + std::to_string(++record_number_)},
              .author = self_,
              .body = std::move(body)};
    appends_.push_back({.data = encode_record(it)});
    pump_appends();
}

void platform_task::pump_appends()
{
    const auto now = monotonic_now();
    const std::chrono::duration<double> passed = now - tokens_at_;
    tokens_at_ = now;
    tokens_ =
        std::min(options_.append_burst, tokens_ + passed.count() * options_.appends_per_second);
    while (!appends_.empty() && tokens_ >= 1) {
        tokens_ -= 1;
        auto it = std::move(appends_.front());
        appends_.pop_front();
        send_append(std::move(it));
    }
    if (!appends_.empty()) {
        append_timer_.once(append_pause);
    }
}

void platform_task::send_append(pending_append it)
{
    ++counts_.appends;
    ++it.tries;
    http_request request{.method = "POST",
                         .address = options_.address,
                         .path = "/streams/" + options_.stream,
                         .body = it.data,
                         .timeout = options_.timeout};
    http_call(loop_, request, [this, it = std::move(it)](const http_answer& answer) mutable {
        if (answer.status == 200) {
            return;
        }
        ++counts_.appends_failed;
        // The second copy of a record whose first one took effect is void by its id.
        if (it.tries < append_tries) {
            appends_.push_back(std::move(it));
            append_timer_.once(append_pause);
        }
    });
}

void platform_task::read_hosts()
{
    http_request request{
        .address = options_.address, .path = "/hosts", .timeout = options_.timeout};
    http_call(loop_, request, [this](const http_answer& answer) {
        if (answer.status != 200) {
            hosts_timer_.once(retry_hosts_after);
            return;
        }
        hosts_timer_.once(options_.hosts_every);
        std::set<std::string> addresses;
        std::istringstream in{answer.body};
        for (std::string line; std::getline(in, line);) {
            addresses.insert(line);
        }
        hooks_.on_hosts(addresses);
    });
}

} // namespace quincewing
