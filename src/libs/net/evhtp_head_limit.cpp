#include "quincewing/net/evhtp_head_limit.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <vector>

namespace quincewing {

struct evhtp_head_limit::counter
{
    evhtp_head_limit& owner;
    bufferevent* from;
    std::size_t bytes{};
    bool in_head{true};

    // Called inside the library's own handling of the bytes: the connection is closed later.
    static void on_input(evbuffer*, const evbuffer_cb_info* info, void* arg)
    {
        auto& self = *static_cast<counter*>(arg);
        if (!self.in_head || info->n_added == 0) {
            return;
        }
        self.bytes += info->n_added;
        if (self.bytes > self.owner.max_bytes_) {
            bufferevent_disable(self.from, EV_READ);
            self.owner.close_timer_.soon();
        }
    }
};

evhtp_head_limit::evhtp_head_limit(event_loop& loop, std::size_t max_bytes)
    : max_bytes_(max_bytes), close_timer_(loop, [this] { close_overlong(); })
{
}

evhtp_head_limit::~evhtp_head_limit() = default;

void evhtp_head_limit::watch(evhtp_connection_t* it)
{
    auto* from = evhtp_connection_get_bev(it);
    auto& added = counters_[it];
    added = std::make_unique<counter>(counter{.owner = *this, .from = from});
    evbuffer_add_cb(bufferevent_get_input(from), counter::on_input, added.get());
}

void evhtp_head_limit::on_headers(evhtp_connection_t* it)
{
    if (const auto found = counters_.find(it); found != counters_.end()) {
        found->second->in_head = false;
    }
}

void evhtp_head_limit::on_request(evhtp_connection_t* it)
{
    if (const auto found = counters_.find(it); found != counters_.end()) {
        found->second->in_head = true;
        found->second->bytes = 0;
    }
}

void evhtp_head_limit::forget(evhtp_connection_t* it)
{
    const auto found = counters_.find(it);
    if (found == counters_.end()) {
        return;
    }
    evbuffer_remove_cb(bufferevent_get_input(found->second->from), counter::on_input,
                       found->second.get());
    counters_.erase(found);
}

void evhtp_head_limit::close_overlong()
{
    std::vector<evhtp_connection_t*> overlong;
    for (const auto& [it, count] : counters_) {
        if (count->in_head && count->bytes > max_bytes_) {
            overlong.push_back(it);
        }
    }
    for (auto* it : overlong) {
        evhtp_connection_free(it);
    }
}

} // namespace quincewing
