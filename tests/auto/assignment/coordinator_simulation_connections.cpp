#include "coordinator_simulation.hpp"

#include <algorithm>
#include <utility>

/// coordinator_simulation: connections that carry one call at a time, on which answers are written
/// once more.
namespace quincewing::testing {

namespace {

/// For each call.
constexpr double usual_repeat_rate = 0.02;
constexpr double high_repeat_rate = 0.4;
constexpr seconds longest_work{3};

} // namespace

template <class Call>
simulated_connection::call coordinator_simulation::to_call(std::size_t i, std::size_t index,
                                                           const Call& it)
{
    return {.number = it.number,
            .newest_connection = connection_limit(it),
            .own_connection = own_connection(it),
            .is_release = std::is_same_v<Call, release_keys>,
            .deadline = now_ + it.timeout,
            .arrive = [this, i, index, it](std::uint64_t to) { arrive(i, index, to, it); }};
}

template simulated_connection::call coordinator_simulation::to_call(std::size_t, std::size_t,
                                                                    const grant_keys&);
template simulated_connection::call coordinator_simulation::to_call(std::size_t, std::size_t,
                                                                    const release_keys&);
template simulated_connection::call coordinator_simulation::to_call(std::size_t, std::size_t,
                                                                    const identify_server&);

void coordinator_simulation::assign(std::size_t i, std::size_t server,
                                    simulated_connection::call call)
{
    auto& all = hosts_[i].connections;
    const auto fits = [&](const auto& entry) {
        return !call.own_connection && entry.second.server == server &&
               (call.newest_connection == 0 || entry.first <= call.newest_connection);
    };
    const auto found = std::find_if(all.begin(), all.end(), fits);
    if (found != all.end()) {
        found->second.waiting.push_back(std::move(call));
        start_next(i, found->first);
    } else if (call.newest_connection != 0 || hosts_[i].cut_from_server[server] ||
               !servers_[server].up) {
        schedule_call_answer(i, hosts_[i].incarnation, call.number, millis{0},
                             call_outcome::not_sent, 0);
    } else {
        auto& opened = all[++last_connection_];
        opened.server = server;
        opened.waiting.push_back(std::move(call));
        start_next(i, last_connection_);
    }
}

void coordinator_simulation::start_next(std::size_t i, std::uint64_t number)
{
    auto& it = hosts_[i].connections.at(number);
    if (it.under_way || it.waiting.empty()) {
        return;
    }
    it.under_way = std::move(it.waiting.front());
    it.waiting.pop_front();
    ++it.calls;
    const auto call = it.under_way->number;
    if (it.under_way->deadline <= now_) {
        --it.calls;
        it.under_way.reset();
        report(i, call, {.outcome = call_outcome::not_sent});
        start_next(i, number);
        return;
    }
    schedule(random_duration(millis{1}, millis{20}),
             [arrive = it.under_way->arrive, number] { arrive(number); });
    schedule(it.under_way->deadline - now_, [this, i, number, call] {
        const auto found = hosts_[i].connections.find(number);
        if (found != hosts_[i].connections.end() && found->second.under_way &&
            found->second.under_way->number == call) {
            close_connection(i, number);
            report(i, call, {});
        }
    });
}

void coordinator_simulation::report(std::size_t i, call_number call, const key_answer& it)
{
    answer(i, hosts_[i].incarnation, [call, it](coordinator& core, instant now) {
        core.on_call(now, call, it.outcome, it.handoff, it.connection);
    });
}

void coordinator_simulation::close_connection(std::size_t i, std::uint64_t number)
{
    auto& all = hosts_[i].connections;
    const auto closed = std::move(all.at(number));
    all.erase(number);
    hosts_[i].order.forget(connection_number{number});
    for (const auto& it : closed.waiting) {
        assign(i, closed.server, it);
    }
}

template <class Call>
duration coordinator_simulation::work_left(const simulated_server& server, const Call& it) const
{
    if constexpr (std::is_same_v<Call, identify_server>) {
        return {};
    } else {
        return std::max(server.work_end(it.keys) - now_, duration{0});
    }
}

template <class Call>
void coordinator_simulation::arrive(std::size_t i, std::size_t index, std::uint64_t to,
                                    const Call& it)
{
    const auto found = hosts_[i].connections.find(to);
    auto& server = servers_[index];
    if (found == hosts_[i].connections.end() || found->second.stuck) {
        return;
    }
    auto& connection = found->second;
    if (hosts_[i].cut_from_server[index] || !server.up || server.self != it.holder) {
        connection.stuck = true;
        return;
    }
    if (!connection.written.empty() && uniform() < repeat_rate()) {
        const auto n = static_cast<double>(connection.written.size());
        const bool last = uniform() < 0.7;
        const auto at =
            last ? connection.written.size() - 1 : static_cast<std::size_t>(uniform() * n);
        write(i, to, connection.written[at], millis{1});
    }
    const auto arrived = now_;
    if (uniform() < late_call_rate_) {
        connection.stuck = true;
        schedule(random_duration(seconds{2}, seconds{12}),
                 [this, index, it, arrived, start = server.self.start] {
                     if (servers_[index].up && servers_[index].self.start == start) {
                         apply(servers_[index], arrived, it);
                     }
                 });
        return;
    }
    const auto answer = run(server, it);
    const bool counts_later = has_data_centres();
    if (!counts_later) {
        connection.written.push_back(answer);
    }
    const auto after = millis{5} + (answer.handoff.empty() ? duration{0} : work_left(server, it));
    if (counts_later) {
        schedule(after, [this, i, to, answer] { note_written(i, to, answer); });
    }
    write(i, to, answer, after);
}

// Schedules without data centres count an answer as written from the arrival of its call on, so
// that a release can be answered before the work has ended; known seeds depend on it.
void coordinator_simulation::note_written(std::size_t i, std::uint64_t to, const key_answer& it)
{
    const auto found = hosts_[i].connections.find(to);
    if (found != hosts_[i].connections.end()) {
        found->second.written.push_back(it);
    }
}

double coordinator_simulation::repeat_rate() const
{
    return many_repeats_ ? high_repeat_rate : usual_repeat_rate;
}

key_answer coordinator_simulation::run(simulated_server& server, const grant_keys& it)
{
    return {.outcome = apply(server, now_, it)};
}

key_answer coordinator_simulation::run(simulated_server& server, const release_keys& it)
{
    if (options_.early_answers && server.work_end(it.keys) > now_ && uniform() < 0.5) {
        return {.outcome = apply(server, now_, it)};
    }
    server.keep_working(it, now_ + random_duration(millis{0}, longest_work));
    return {.outcome = apply(server, now_, it), .handoff = "t" + std::to_string(++last_token_)};
}

key_answer coordinator_simulation::run(simulated_server& server, const identify_server& it)
{
    return {.outcome = apply(server, now_, it)};
}

void coordinator_simulation::write(std::size_t i, std::uint64_t to, const key_answer& it,
                                   duration after)
{
    schedule(after, [this, i, to, it] { on_answer(i, to, it); });
}

void coordinator_simulation::on_answer(std::size_t i, std::uint64_t number, key_answer it)
{
    const auto found = hosts_[i].connections.find(number);
    if (found == hosts_[i].connections.end()) {
        return;
    }
    auto& connection = found->second;
    const bool lost =
        hosts_[i].cut_from_server[connection.server] || !servers_[connection.server].up;
    if (lost || connection.stuck) {
        connection.stuck = true;
        return;
    }
    if (!connection.under_way) {
        close_connection(i, number);
        return;
    }
    const auto call = *std::exchange(connection.under_way, std::nullopt);
    it.connection = connection_number{number};
    it.first_on_connection = connection.calls == 1;
    it.outcome =
        call.is_release ? hosts_[i].order.judge_release(it) : hosts_[i].order.judge_grant(it);
    if (it.outcome == call_outcome::doubtful) {
        close_connection(i, number);
    } else {
        start_next(i, number);
    }
    report(i, call.number, it);
}

} // namespace quincewing::testing
