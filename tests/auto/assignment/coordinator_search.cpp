#include "coordinator_search.hpp"

#include "quincewing/assignment/coordinator.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <sstream>
#include <variant>
#include <vector>

namespace quincewing::testing {

namespace {

const service_id keyed{"vesitila"};
constexpr std::size_t host_count = 3;
constexpr std::size_t server_count = 4;
constexpr millis step{25};
constexpr seconds play_time{60};
constexpr millis store_timeout{900};
constexpr millis entry_lag{700};
constexpr millis entry_lapse{2600};
constexpr key_number sample_keys[] = {0, 5000, 16383, 16384, 20000, 33000, 40000, 52000, 65535};

/// A backend server: what it was granted, and the highest fence that it saw of each sampled key.
struct played_server
{
    struct grant
    {
        std::uint64_t fence{};
        instant until;
    };
    key_holder self;
    bool up{true};
    bool cut_from_store{};
    instant entry_seen;
    std::map<key_number, std::uint64_t> seen;
    std::map<key_number, grant> granted;

    void forget()
    {
        seen.clear();
        granted.clear();
    }
    // The hold counts from the arrival of the call, on a clock that runs 2% slow.
    call_outcome on_grant(instant arrived, const grant_keys& it)
    {
        for (const auto key : sample_keys) {
            if (it.keys.contains(key) && seen[key] > it.fence) {
                return call_outcome::fenced;
            }
        }
        for (const auto key : sample_keys) {
            if (it.keys.contains(key)) {
                seen[key] = it.fence;
                auto& mine = granted[key];
                const auto until =
                    arrived + std::chrono::duration_cast<duration>(it.valid_for * 1.02);
                mine = {it.fence, mine.fence == it.fence ? std::max(mine.until, until) : until};
            }
        }
        return call_outcome::accepted;
    }
    void on_release(const release_keys& it)
    {
        for (const auto key : sample_keys) {
            if (it.keys.contains(key)) {
                seen[key] = std::max(seen[key], it.fence);
                granted.erase(key);
            }
        }
    }
    bool holds(instant now, key_number key) const
    {
        const auto found = granted.find(key);
        return up && found != granted.end() && now < found->second.until;
    }
};

struct played_host
{
    std::unique_ptr<coordinator> core;
    std::uint64_t life{};
    bool up{true};
    bool frozen{};
    bool cut_from_store{};
    /// Answers of the store are lost, its calls are not.
    bool cut_one_way{};
    bool cut_from_hosts{};
    std::vector<bool> cut_from_server = std::vector<bool>(server_count);
    /// Numbers of the open connections to the servers; 0: none.
    std::vector<std::uint64_t> open_connection = std::vector<std::uint64_t>(server_count);
    backend_servers servers;
};

class search_run
{
public:
    explicit search_run(std::uint64_t seed)
        : random_(seed), hosts_(host_count), servers_(server_count)
    {
        for (std::size_t i = 0; i < server_count; ++i) {
            const auto name = "s" + std::to_string(i);
            servers_[i].self = {
                .id = server_id{name}, .start = server_start{1}, .address = name + ":80"};
            servers_[i].entry_seen = now_;
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            start_host(i);
        }
    }

    std::optional<std::string> play()
    {
        for (const auto end = now_ + play_time; now_ < end; now_ += step) {
            run_events();
            make_trouble();
            update_entries();
            for (std::size_t i = 0; i < host_count; ++i) {
                tick(i);
            }
            if (auto wrong = check()) {
                return wrong;
            }
        }
        return {};
    }

private:
    struct event
    {
        instant at;
        std::uint64_t order{};
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    double chance() { return boost::random::uniform_01<>{}(random_); }
    duration between(duration least, duration most)
    {
        return least + std::chrono::duration_cast<duration>((most - least) * chance());
    }
    void later(duration after, std::function<void()> run)
    {
        events_.push({now_ + after, order_++, std::move(run)});
    }
    void run_events()
    {
        while (!events_.empty() && events_.top().at <= now_) {
            const auto run = events_.top().run;
            events_.pop();
            run();
        }
    }

    // ---- hosts

    void start_host(std::size_t i)
    {
        auto& host = hosts_[i];
        ++host.life;
        coordinator_options options;
        options.self = host_id{"h" + std::to_string(i) + "/" + std::to_string(host.life)};
        options.initial_assignment_delay = millis{200};
        options.balance_interval = seconds{2};
        host.core = std::make_unique<coordinator>(options, coordinator_hooks{});
        host.core->set_takeover_rank(i);
        host.up = true;
    }
    void tick(std::size_t i)
    {
        auto& host = hosts_[i];
        if (!host.up || host.frozen) {
            return;
        }
        host.core->set_servers(now_, host.servers, {keyed});
        host.core->tick(now_);
        if (chance() < 0.02) {
            const auto key = static_cast<key_number>(65535 * chance());
            host.core->load().add(keyed, key, 30 * chance(), now_);
        }
        carry_out(i);
        const bool beat = now_.time_since_epoch() % millis{250} == duration{0};
        if (beat && host.core->coordinating() && !host.cut_from_hosts) {
            send_beats(i);
        }
    }
    void send_beats(std::size_t from)
    {
        auto& host = hosts_[from];
        const auto table = host.core->table();
        const auto age = now_ - host.core->last_read();
        for (std::size_t to = 0; to < host_count; ++to) {
            auto& other = hosts_[to];
            if (to == from || !other.up || other.frozen || other.cut_from_hosts) {
                continue;
            }
            for (const auto& range : table.ranges) {
                if (host.core->held(now_, range)) {
                    other.core->note_released(range);
                }
            }
            other.core->on_coordinator_heartbeat(now_, table, age);
            carry_out(to);
        }
    }
    /// Gives an answer to the life of the host that asked, once it is not frozen.
    void answer(std::size_t i, std::uint64_t life,
                const std::function<void(coordinator&, instant)>& act)
    {
        auto& host = hosts_[i];
        if (host.life != life || !host.up) {
            return;
        }
        if (host.frozen) {
            later(millis{100}, [this, i, life, act] { answer(i, life, act); });
            return;
        }
        act(*host.core, now_);
        carry_out(i);
    }
    void carry_out(std::size_t i)
    {
        for (const auto& it : hosts_[i].core->take_effects()) {
            std::visit([&](const auto& effect) { carry_out(i, effect); }, it);
        }
    }

    // ---- the store

    void carry_out(std::size_t i, const read_table&)
    {
        const auto life = hosts_[i].life;
        const auto sent = now_;
        const bool reaches = !hosts_[i].cut_from_store && !store_down_;
        if (!reaches || hosts_[i].cut_one_way) {
            later(store_timeout, [this, i, life] {
                answer(i, life,
                       [](coordinator& core, instant now) { core.on_table_unreadable(now); });
            });
            return;
        }
        later(between(millis{4}, millis{60}), [this, i, life, sent] {
            const auto table = stored_;
            const auto end = end_;
            later(between(millis{4}, millis{60}), [this, i, life, sent, table, end] {
                answer(i, life, [=](coordinator& core, instant now) {
                    core.on_table_read(sent, now, table, log_offset{end});
                });
            });
        });
    }
    void carry_out(std::size_t i, const append_table& it)
    {
        const auto life = hosts_[i].life;
        const auto tell = [this, i, life](duration after, append_outcome outcome) {
            later(after, [this, i, life, outcome] {
                answer(i, life,
                       [outcome](coordinator& core, instant now) { core.on_append(now, outcome); });
            });
        };
        if (hosts_[i].cut_from_store || store_down_) {
            tell(store_timeout, append_outcome::unknown);
            return;
        }
        const bool answer_lost = hosts_[i].cut_one_way || chance() < answers_lost_;
        const auto delay = chance() < answers_lost_ ? between(millis{100}, seconds{5})
                                                    : between(millis{4}, millis{60});
        later(delay, [this, it, tell, answer_lost, delay] {
            const bool fits = it.at.value == end_;
            if (fits) {
                stored_ = decode_table(it.data).value();
                ++end_;
            }
            if (!answer_lost && delay < store_timeout) {
                tell(millis{5}, fits ? append_outcome::appended : append_outcome::conflict);
            }
        });
        if (answer_lost || delay >= store_timeout) {
            tell(store_timeout, append_outcome::unknown);
        }
    }

    // ---- servers

    played_server* server_at(const key_holder& holder)
    {
        const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& it) {
            return it.self.address == holder.address;
        });
        return found == servers_.end() ? nullptr : &*found;
    }
    static std::uint64_t connection_limit(const grant_keys& it)
    {
        return it.newest_connection.value;
    }
    static std::uint64_t connection_limit(const release_keys&) { return 0; }
    void tell_call(std::size_t i, std::uint64_t life, call_number number, duration after,
                   call_outcome outcome, std::uint64_t connection)
    {
        later(after, [this, i, life, number, outcome, connection] {
            answer(i, life, [=](coordinator& core, instant now) {
                core.on_call(now, number, outcome, "token", connection_number{connection});
            });
        });
    }
    template <class Call>
    void carry_out(std::size_t i, const Call& it)
    {
        const auto life = hosts_[i].life;
        auto* server = server_at(it.holder);
        const auto index = static_cast<std::size_t>(server - servers_.data());
        auto& open = hosts_[i].open_connection[index];
        if (connection_limit(it) != 0 && (open == 0 || open > connection_limit(it))) {
            tell_call(i, life, it.number, millis{0}, call_outcome::not_sent, 0);
            return;
        }
        const auto was_open = open;
        if (open == 0) {
            open = ++last_connection_;
        }
        const auto tell = [this, i, life, number = it.number,
                           connection = open](duration after, call_outcome outcome) {
            tell_call(i, life, number, after, outcome, connection);
        };
        if (hosts_[i].cut_from_server[index] || !server->up) {
            // On an open connection the bytes went out, and die with its reset.
            tell(it.timeout, was_open != 0 ? call_outcome::unknown : call_outcome::not_sent);
            open = 0;
            return;
        }
        const bool late = chance() < calls_late_;
        later(between(millis{1}, millis{20}), [this, it, server, tell, late] {
            const auto arrived = now_;
            if (late) {
                const auto start = server->self.start;
                later(between(seconds{2}, seconds{12}), [this, it, server, arrived, start] {
                    if (server->up && server->self.start == start) {
                        apply(*server, arrived, it);
                    }
                });
                tell(it.timeout, call_outcome::unknown);
                return;
            }
            tell(millis{5}, server->up ? apply(*server, arrived, it) : call_outcome::unknown);
        });
    }
    call_outcome apply(played_server& server, instant arrived, const grant_keys& it)
    {
        const auto outcome = server.on_grant(arrived, it);
        if (outcome == call_outcome::accepted && arrived == now_) {
            note_fence(server, it);
        }
        return outcome;
    }
    // A key goes to another server, or to another start of the same one, under a higher fence.
    void note_fence(const played_server& server, const grant_keys& it)
    {
        for (const auto key : sample_keys) {
            if (!it.keys.contains(key)) {
                continue;
            }
            auto& last = last_holders_[key];
            const bool other = last.holder != server.self;
            if (other && it.fence <= last.fence && !wrong_) {
                wrong_ = "key " + std::to_string(key) + " went to " + server.self.id.value +
                         " under fence " + std::to_string(it.fence) + ", which " +
                         last.holder.id.value + " had";
            }
            if (it.fence >= last.fence) {
                last = {server.self, it.fence};
            }
        }
    }
    call_outcome apply(played_server& server, instant, const release_keys& it)
    {
        server.on_release(it);
        return call_outcome::accepted;
    }

    void update_entries()
    {
        for (auto& server : servers_) {
            if (server.up && !server.cut_from_store && !store_down_) {
                server.entry_seen = now_;
            }
        }
        const bool refresh = now_.time_since_epoch() % millis{700} == duration{0};
        if (!refresh || store_down_) {
            return;
        }
        backend_servers seen;
        for (const auto& server : servers_) {
            if (now_ - server.entry_seen < entry_lapse) {
                seen[server.self.id] = {.id = server.self.id,
                                        .start = server.self.start,
                                        .address = server.self.address,
                                        .service = keyed,
                                        .slots = 2};
            }
        }
        later(entry_lag, [this, seen] {
            for (auto& host : hosts_) {
                if (!host.cut_from_store) {
                    host.servers = seen;
                }
            }
        });
    }

    // ---- trouble

    void for_a_while(duration least, duration most, std::function<void()> end)
    {
        later(between(least, most), std::move(end));
    }
    void make_trouble()
    {
        if (chance() > 0.012) {
            return;
        }
        const auto i = static_cast<std::size_t>(chance() * host_count);
        const auto s = static_cast<std::size_t>(chance() * server_count);
        switch (static_cast<int>(chance() * 11)) {
        case 0:
            store_down_ = true;
            for_a_while(seconds{1}, seconds{10}, [this] { store_down_ = false; });
            break;
        case 1:
            hosts_[i].cut_from_store = true;
            for_a_while(seconds{1}, seconds{8}, [this, i] { hosts_[i].cut_from_store = false; });
            break;
        case 2:
            hosts_[i].cut_one_way = true;
            for_a_while(seconds{1}, seconds{8}, [this, i] { hosts_[i].cut_one_way = false; });
            break;
        case 3:
            hosts_[i].cut_from_hosts = true;
            for_a_while(seconds{1}, seconds{8}, [this, i] { hosts_[i].cut_from_hosts = false; });
            break;
        case 4:
            freeze(i);
            break;
        case 5:
            kill(i);
            break;
        case 6:
        case 7:
            hosts_[i].cut_from_server[s] = true;
            for_a_while(seconds{2}, seconds{20},
                        [this, i, s] { hosts_[i].cut_from_server[s] = false; });
            break;
        case 8:
            servers_[s].cut_from_store = true;
            for_a_while(seconds{2}, seconds{20}, [this, s] { servers_[s].cut_from_store = false; });
            break;
        case 9:
            restart_server(s);
            break;
        default:
            answers_lost_ = 0.4;
            calls_late_ = 0.3;
            for_a_while(seconds{2}, seconds{8}, [this] { answers_lost_ = calls_late_ = 0; });
        }
    }
    void freeze(std::size_t i)
    {
        if (hosts_[i].frozen) {
            return;
        }
        hosts_[i].frozen = true;
        for_a_while(seconds{1}, seconds{10}, [this, i] { hosts_[i].frozen = false; });
    }
    void kill(std::size_t i)
    {
        if (hosts_[i].frozen || !hosts_[i].up) {
            return;
        }
        hosts_[i].up = false;
        for_a_while(millis{200}, seconds{2}, [this, i] { start_host(i); });
    }
    void restart_server(std::size_t s)
    {
        auto& server = servers_[s];
        if (!server.up) {
            return;
        }
        server.up = false;
        server.forget();
        for (auto& host : hosts_) {
            host.open_connection[s] = 0;
        }
        for_a_while(millis{100}, seconds{5}, [this, s] {
            servers_[s].up = true;
            ++servers_[s].self.start.value;
        });
    }

    std::optional<std::string> check() const
    {
        if (wrong_) {
            return wrong_;
        }
        for (const auto key : sample_keys) {
            const played_server* holder = nullptr;
            for (const auto& server : servers_) {
                if (!server.holds(now_, key)) {
                    continue;
                }
                if (holder != nullptr) {
                    std::ostringstream out;
                    out << "key " << key << " at " << holder->self.id.value << " and "
                        << server.self.id.value << " after "
                        << (now_.time_since_epoch() / millis{1}) << " ms";
                    return out.str();
                }
                holder = &server;
            }
        }
        return {};
    }

    struct key_history
    {
        key_holder holder;
        std::uint64_t fence{};
    };

    boost::random::mt19937_64 random_;
    std::map<key_number, key_history> last_holders_;
    std::optional<std::string> wrong_;
    std::vector<played_host> hosts_;
    std::vector<played_server> servers_;
    instant now_{seconds{100}};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_{};
    std::uint64_t last_connection_{};
    std::optional<assignment_table> stored_;
    std::uint64_t end_{};
    bool store_down_{};
    double answers_lost_{};
    double calls_late_{};
};

} // namespace

std::optional<std::string> search_coordinators(std::uint64_t seed)
{
    return search_run{seed}.play();
}

} // namespace quincewing::testing
