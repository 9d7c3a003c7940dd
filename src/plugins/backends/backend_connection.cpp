#include "backend_connection.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <memory>
#include <strings.h>

namespace quincewing {

namespace {

// A server says in its protocol that it did not run a request.
constexpr const char* not_run_header = "Quincewing-Not-Run";
// Of a refusal only the head is used.
constexpr std::size_t max_refusal_body = 64UL * 1024;

bool may_have_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// Bytes that would begin another line.
bool fits_in_line(const std::string& text)
{
    return text.find_first_of(std::string{"\r\n\0", 3}) == std::string::npos;
}

void add_line(std::string& head, const std::string& name, const std::string& value)
{
    if (!fits_in_line(name) || !fits_in_line(value)) {
        return;
    }
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

} // namespace

// Requests have their deadlines: neither a slow connection nor a slow server ends them sooner.
backend_connection::backend_connection(event_loop& loop, backend_pool& pool,
                                       const std::string& address)
    : pool_(pool), address_(address),
      connection_(loop, {.address = address,
                         .connect_timeout = pool.options_.response_timeout,
                         .unacknowledged_timeout = pool.options_.response_timeout})
{
    connection_.set_on_idle_close([this] { pool_.drop(*this); });
}

void backend_connection::send(const backend_pool::waiting& it, instant now)
{
    current_ = it;
    result_ = {};
    busy_ = true;
    head_received_ = false;
    checking = false;
    checked = false;
    sent_at_ = now;
    const auto& request = it.it->request;
    connection_.send(request_head(now), request.body, request.method != "HEAD",
                     {.on_head =
                          [this](message_head& head) {
                              take_head(head);
                              return head_action::accept;
                          },
                      .on_body = [this](const char* buf, std::size_t n) { take_body(buf, n); },
                      .on_end = [this](bool) { on_end(); },
                      .on_lost =
                          [this](connection_loss how) {
                              const bool refused =
                                  result_.verdict == verdict::not_run && head_received_;
                              if (how == connection_loss::too_long && refused) {
                                  on_end();
                              } else {
                                  on_lost();
                              }
                          }});
}

std::string backend_connection::request_head(instant now) const
{
    const auto& request = current_.it->request;
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    add_line(out, "Host", address_);
    for (const auto& [name, value] : request.headers) {
        add_line(out, name, value);
    }
    const auto left = std::chrono::duration_cast<millis>(request.deadline - now).count();
    add_line(out, "Quincewing-Deadline-Ms", std::to_string(std::max<long>(left, 1)));
    if (current_.at.offset > 0) {
        add_line(out, "Quincewing-Fence", to_string(current_.at));
        add_line(out, "Quincewing-Shard", std::to_string(current_.it->shard.number));
    }
    if (!request.body.empty() || may_have_body(request.method)) {
        add_line(out, "Content-Length", std::to_string(request.body.size()));
    }
    return out + "\r\n";
}

bool backend_connection::overdue(instant now) const
{
    return busy_ && now > std::max(sent_at_, current_.it->request.deadline) +
                              pool_.options_.response_timeout;
}

void backend_connection::take_head(const message_head& from)
{
    head_received_ = true;
    result_.verdict = verdict::ran;
    response_head head{.status = from.status, .length = from.length};
    bool not_run = false;
    for (const auto& [name, value] : from.headers) {
        not_run = not_run || strcasecmp(name.c_str(), not_run_header) == 0;
        if (!is_hop_by_hop_header(name)) {
            head.headers.emplace_back(name, value);
        }
    }
    if (not_run) {
        // Told to the caller by the decision that follows, not by the server's own words.
        result_.verdict = verdict::not_run;
        result_.shed = true;
        connection_.set_body_limit(max_refusal_body);
        return;
    }
    result_.response.status = static_cast<std::uint32_t>(head.status);
    for (const auto& [key, value] : head.headers) {
        result_.response.headers[key] = value;
    }
    if (aborted) {
        return;
    }
    pool_.on_head(*this);
    auto& it = *current_.it;
    if (it.on_head) {
        it.resume = [this] { connection_.set_reading(true); };
        it.on_head(head);
    }
}

void backend_connection::take_body(const char* buf, std::size_t n)
{
    if (result_.verdict != verdict::ran || aborted) {
        return;
    }
    keep(buf, n);
    auto& it = *current_.it;
    if (!it.on_body) {
        return;
    }
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> data{evbuffer_new(), &evbuffer_free};
    evbuffer_add(data.get(), buf, n);
    if (!it.on_body(data.get())) {
        connection_.set_reading(false);
    }
}

void backend_connection::keep(const char* buf, std::size_t n)
{
    auto& response = result_.response;
    if (current_.it->request.idempotency_key.empty() || response.body_dropped) {
        return;
    }
    if (response.body.size() + n > pool_.options_.keep_bytes) {
        response.body.clear();
        response.body_dropped = true;
        return;
    }
    response.body.append(buf, n);
}

void backend_connection::on_end()
{
    if (!aborted) {
        current_.it->resume = nullptr;
    }
    busy_ = false;
    used_ = true;
    last_answer_ = monotonic_now();
    pool_.on_answered(*this);
}

void backend_connection::on_lost()
{
    if (!aborted) {
        current_.it->resume = nullptr;
    }
    pool_.on_broken(*this);
}

} // namespace quincewing
