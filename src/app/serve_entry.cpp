#include "serve_entry.hpp"

#include "quincewing/deployment/platform_adapter.hpp"
#include "quincewing/entry/entry_host.hpp"
#include "quincewing/logging/event_log.hpp"
#include "quincewing/net/stop_signals.hpp"

#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace quincewing {

namespace {

constexpr int bad_settings = 2;
constexpr int cannot_listen = 3;

settings_file load_file(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return {path, text.str()};
}

tl::expected<entry_settings, int> load(const std::string& path)
{
    auto file = load_file(path);
    auto settings = read_entry_settings(file);
    if (settings) {
        return std::move(*settings);
    }
    for (const auto& it : settings.error()) {
        std::cerr << it.to_string() << "\n";
    }
    return tl::make_unexpected(bad_settings);
}

/// Calls a function at each SIGHUP.
class reload_signal
{
public:
    reload_signal(event_loop& loop, std::function<void()> fire) : fire_(std::move(fire))
    {
        const auto call = [](evutil_socket_t, short, void* arg) {
            static_cast<reload_signal*>(arg)->fire_();
        };
        it_ = evsignal_new(loop.base(), SIGHUP, call, this);
        event_add(it_, nullptr);
    }
    ~reload_signal() { event_free(it_); }
    reload_signal(const reload_signal&) = delete;
    reload_signal& operator=(const reload_signal&) = delete;

private:
    std::function<void()> fire_;
    event* it_;
};

void on_reload(const std::string& path)
{
    const auto settings = load(path);
    log_event("reload", {{"file", path}, {"outcome", settings ? "good" : "refused"}});
}

} // namespace

bool is_entry_settings_file(const std::string& path)
{
    return has_entry_settings(load_file(path));
}

int check_entry(const command_line& line)
{
    const auto settings = load(line.settings);
    if (!settings) {
        return settings.error();
    }
    std::cout << line.settings << ": entry host " << settings->name << " in "
              << settings->data_centre << ", good\n";
    return 0;
}

int serve_entry(const command_line& line)
{
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    loop.on_failure = [](const char* where, const char* error) {
        log_event("callback_failed", {{"in", where}, {"error", error}});
    };
    std::unique_ptr<entry_host> host;
    // A signal that comes before the loop runs is handled when it does.
    stop_signals stop{loop, [&](const stop_signal& it) { host->stop(it, [&] { loop.stop(); }); }};
    reload_signal reload{loop, [&] { on_reload(line.settings); }};
    const auto settings = load(line.settings);
    if (!settings) {
        return settings.error();
    }
    host = std::make_unique<entry_host>(
        loop, *settings,
        make_platform_adapter(loop,
                              {.store = settings->store, .servers_from = settings->servers_from}));
    if (const auto failed = host->start(); !failed.empty()) {
        log_event("cannot_listen", {{"address", failed}});
        return cannot_listen;
    }
    loop.run();
    log_event("exit", {{"unsent_bytes", host->unsent_bytes()}});
    standard_log().tick(monotonic_now());
    // The sockets end with the process; taking the tasks apart in order gains nothing.
    std::_Exit(0);
}

} // namespace quincewing
