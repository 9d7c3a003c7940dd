#include "caller_connection.hpp"

#include "http_status.hpp"

#include "quincewing/net/socket_bytes.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

/// caller_connection: the memory that it holds.
namespace quincewing {

memory_usage caller_connection::usage() const
{
    // Of a connection, and of a request with its head and the state of its flow.
    constexpr std::uint64_t connection_overhead = 2UL * 1024;
    constexpr std::uint64_t request_overhead = 4UL * 1024;
    memory_usage out{.requests = connection_overhead};
    if (bev_ == nullptr) {
        return out;
    }
    for (const auto& it : exchanges_) {
        // What was reserved for an announced body takes no memory before it is written to.
        const auto body = it->head.length ? it->body.size() : it->body.capacity();
        // A request that is handled has one more copy on its way to a server.
        const bool handled = it->started_ && !it->ended_;
        out.requests += request_overhead + (handled ? 2 * body : body);
        out.handling = out.handling || (it->received_ && !it->ended_);
    }
    const auto unsent = evbuffer_get_length(bufferevent_get_output(bev_));
    out.input = evbuffer_get_length(bufferevent_get_input(bev_));
    out.answers = buffered_bytes();
    out.receiving_body = receiving_ != nullptr && !no_more_requests_;
    out.receiving_head = !no_more_requests_ && reader_.inside_message() && !reader_.inside_body();
    if (out.receiving_body && receiving_->head.length) {
        out.missing = *receiving_->head.length - receiving_->body.size();
    } else if (out.receiving_body) {
        // A read may cross the end of the buffer, which then doubles.
        constexpr std::uint64_t one_read = 16UL * 1024;
        const auto capacity = receiving_->body.capacity();
        const auto left = capacity - receiving_->body.size();
        out.missing = left > one_read ? left : std::max<std::uint64_t>(capacity, one_read);
    }
    out.received = received_bytes_;
    out.sent = passed_bytes_ - std::min<std::uint64_t>(passed_bytes_, unsent);
    return out;
}

void caller_connection::report_usage()
{
    if (bev_ == nullptr || !hooks_.may_read || hooks_.may_read(*this) || out_of_memory_) {
        return;
    }
    out_of_memory_ = true;
    bufferevent_disable(bev_, EV_READ);
}

void caller_connection::resume_reading()
{
    if (bev_ == nullptr || !out_of_memory_) {
        return;
    }
    out_of_memory_ = false;
    if (reading_) {
        bufferevent_enable(bev_, EV_READ);
    }
}

void caller_connection::refuse_unfinished(int status)
{
    if (bev_ == nullptr || no_more_requests_) {
        return;
    }
    resume_reading();
    // Others may wait for memory as well, so the caller should not return at once.
    reject(status,
           status == http_status::unavailable ? header_list{{"Retry-After", "1"}} : header_list{});
}

std::optional<quiet_connection> caller_connection::quiet() const
{
    if (bev_ == nullptr || !exchanges_.empty() || sending_finished_at_ ||
        unread_bytes(bufferevent_getfd(bev_)) > 0) {
        return std::nullopt;
    }
    const bool unfinished_head = reader_.inside_message();
    if (!unfinished_head && !idle()) {
        return std::nullopt;
    }
    return quiet_connection{.id = options_.id,
                            .since = unfinished_head ? head_started_ : idle_since_,
                            .unfinished_head = unfinished_head};
}

// Growth by doubling would hold up to three times the bytes for a moment.
void caller_connection::append_to_body(const char* buf, std::size_t n)
{
    // Announcing a length alone should take no address space.
    constexpr std::size_t reserved_from = 64UL * 1024;
    auto& body = receiving_->body;
    const auto& length = receiving_->head.length;
    if (length && body.size() + n > reserved_from && body.capacity() < *length) {
        body.reserve(*length);
    }
    body.append(buf, n);
    received_bytes_ += n;
}

} // namespace quincewing
