#include "quincewing/peers/peers_task.hpp"

#include "peer_link.hpp"
#include "peer_session.hpp"
#include "silent_connections.hpp"

#include "quincewing/base/hash.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/net/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/listener.h>
#include <exception>

namespace quincewing {

peers_task::peers_task(event_loop& loop, peers_options options, peers_hooks hooks)
    : loop_(loop), options_(std::move(options)), hooks_(std::move(hooks)),
      silent_(std::make_unique<silent_connections>(loop)), drop_timer_(loop,
                                                                       [this] {
                                                                           dropped_.clear();
                                                                           dropped_links_.clear();
                                                                       }),
      jitter_(static_cast<std::uint32_t>(stable_hash(options_.self.value)))
{
}

peers_task::~peers_task()
{
    links_.clear();
    sessions_.clear();
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

bool peers_task::start()
{
    const auto at = parse_endpoint(options_.listen);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<peers_task*>(arg)->on_accept(fd);
    };
    listener_ = evconnlistener_new_bind(loop_.base(), accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<sockaddr*>(&address), sizeof address);
    return listener_ != nullptr;
}

peer_identity peers_task::own_identity() const
{
    return {.host = options_.self,
            .data_centre = options_.data_centre,
            .speaks = current_spoken_version,
            .cores = options_.cores};
}

void peers_task::on_accept(int fd)
{
    sessions_.push_back(std::make_unique<peer_session>(loop_, *this, fd));
}

// An error in one message's handler must not end the process, nor the messages behind it.
void peers_task::deliver(const envelope& it)
{
    ++counts_.messages_received;
    try {
        hooks_.on_message(it);
    } catch (const std::exception& e) {
        log_event("message_failed",
                  {{"host", it.from.value}, {"kind", it.body.index()}, {"error", e.what()}});
    }
}

void peers_task::drop_session(peer_session* it)
{
    const auto found = std::find_if(sessions_.begin(), sessions_.end(),
                                    [it](const auto& s) { return s.get() == it; });
    if (found != sessions_.end()) {
        dropped_.push_back(std::move(*found));
        sessions_.erase(found);
        drop_timer_.soon();
    }
}

void peers_task::drop_link(const std::string& address)
{
    const auto found = links_.find(address);
    if (found != links_.end()) {
        dropped_links_.push_back(std::move(found->second));
        links_.erase(found);
        on_link_change();
        drop_timer_.soon();
    }
}

void peers_task::connect_to(const std::set<std::string>& addresses)
{
    for (const auto& address : addresses) {
        if (address != options_.address && !links_.contains(address)) {
            links_[address] = std::make_unique<peer_link>(loop_, *this, address);
        }
    }
}

void peers_task::on_refused(peer_link& it)
{
    if (it.last_known.value.empty()) {
        return;
    }
    const auto gone = it.last_known;
    it.last_known = {};
    on_process_gone(gone);
}

void peers_task::on_identity(peer_link& it)
{
    const auto identity = it.identity();
    const auto before = it.last_known;
    it.last_known = identity.host;
    on_link_change();
    if (!before.value.empty() && before != identity.host) {
        on_process_gone(before);
    }
    hooks_.on_connected(identity);
}

void peers_task::on_process_gone(const host_id& host)
{
    silent_->fail(host);
    hooks_.on_process_gone(host);
}

void peers_task::on_link_change()
{
    connected_.clear();
    for (const auto& [address, link] : links_) {
        if (link->stands()) {
            connected_.push_back(link->identity().host);
        }
    }
    ++connected_version_;
}

peer_link* peers_task::link_to(const host_id& host) const
{
    const auto found = links_.find(address_of(host));
    const bool stands = found != links_.end() && found->second->stands();
    return stands && found->second->identity().host == host ? found->second.get() : nullptr;
}

bool peers_task::answers_sent() const
{
    return std::all_of(sessions_.begin(), sessions_.end(),
                       [](const auto& it) { return it->answers_sent(); });
}

bool peers_task::bytes_unread() const
{
    return std::any_of(links_.begin(), links_.end(),
                       [](const auto& it) { return it.second->bytes_unread(); });
}

std::size_t peers_task::silent_connection_count() const
{
    return silent_->size();
}

bool peers_task::connected(const host_id& host) const
{
    return link_to(host) != nullptr;
}

const peer_identity* peers_task::identity_of(const host_id& host) const
{
    const auto* link = link_to(host);
    return link == nullptr ? nullptr : &link->identity();
}

void peers_task::send(const host_id& to, const message& body)
{
    const envelope it{.from = options_.self, .to = to, .body = body};
    if (to == options_.self) {
        hooks_.on_message(it);
        return;
    }
    if (auto* link = link_to(to)) {
        ++counts_.messages_sent;
        link->send(encode_envelope(it));
    }
}

void peers_task::send_to_all(const message& body, spoken_version least)
{
    send_where(body, [least](const peer_identity& to) { return to.speaks >= least; });
}

void peers_task::send_to_older(const message& body, spoken_version than)
{
    send_where(body, [than](const peer_identity& to) { return to.speaks < than; });
}

// The body is encoded once, however many hosts there are.
void peers_task::send_where(const message& body,
                            const std::function<bool(const peer_identity&)>& wanted)
{
    std::string encoded;
    for (const auto& [address, link] : links_) {
        if (!link->stands() || !wanted(link->identity())) {
            continue;
        }
        if (encoded.empty()) {
            encoded = encode_body(body);
        }
        ++counts_.messages_sent;
        link->send(encode_envelope(options_.self, link->identity().host, encoded));
    }
}

void peers_task::forward(const host_id& to, const exchange_ptr& it, forward_hooks hooks)
{
    auto* link = link_to(to);
    if (link == nullptr) {
        hooks.failed({.handed_over = false});
        return;
    }
    link->forward(it, std::move(hooks));
}

} // namespace quincewing
