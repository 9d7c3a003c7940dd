#include "reborn_servers.hpp"

#include "fleet_records.hpp"
#include "port_block.hpp"

#include <nlohmann/json.hpp>

namespace quincewing::review {

reborn_servers::reborn_servers(const testing::entry_fleet& fleet, reborn_servers_options options)
    : fleet_(fleet), options_(options)
{
    for (std::size_t i = 0; i < options_.servers; ++i) {
        server added{.id = "e-" + std::to_string(i), .address = testing::free_address()};
        start(added);
        write_entry(added);
        servers_.push_back(std::move(added));
    }
}

std::string reborn_servers::journal_of(const server& it) const
{
    return fleet_.folder() + "/journal-" + it.id;
}

void reborn_servers::start(server& it)
{
    const std::vector<std::string> arguments{
        STANDIN_PROGRAM, "backend", it.address, it.id, std::to_string(options_.slots),
        journal_of(it)};
    it.process =
        std::make_unique<testing::child_process>(arguments, fleet_.folder() + "/" + it.id + ".log");
    it.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    it.entry_due = clock::now() + options_.entry_after;
    it.entry_written = false;
    it.ended_at = {};
    ++starts_;
}

void reborn_servers::write_entry(server& it)
{
    const auto slots = static_cast<int>(options_.slots);
    auto entry = nlohmann::json::parse(testing::server_entry(it.address, fleet_.data_centre_of(0),
                                                             slots, testing::server_state::ready));
    entry["born"] = it.born;
    fleet_.write_server_entry(it.id, entry.dump());
    it.entry_written = true;
    it.listed = true;
    it.heartbeat_at = clock::now();
}

void reborn_servers::keep_entry(server& it)
{
    constexpr int heartbeats_missed = 3;
    const auto silent = clock::now() - it.heartbeat_at;
    const bool up = it.ended_at == clock::time_point{};
    if (up && it.entry_written && silent >= options_.heartbeat) {
        write_entry(it);
    } else if (it.listed && silent >= heartbeats_missed * options_.heartbeat) {
        fleet_.write_server_entry(it.id, {});
        it.listed = false;
    }
}

void reborn_servers::look()
{
    const auto now = clock::now();
    for (auto& it : servers_) {
        if (it.ended_at == clock::time_point{} && it.process->ended()) {
            it.ended_at = now;
        }
        if (it.ended_at != clock::time_point{} && now - it.ended_at >= options_.down) {
            start(it);
        } else if (!it.entry_written && now >= it.entry_due) {
            write_entry(it);
        }
        keep_entry(it);
    }
}

std::vector<std::string> reborn_servers::journals() const
{
    std::vector<std::string> out;
    for (const auto& it : servers_) {
        out.push_back(journal_of(it));
    }
    return out;
}

} // namespace quincewing::review
