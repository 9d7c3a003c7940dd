#include "serve_entry.hpp"

#include "quincewing/deployment/platform_adapter.hpp"
#include "quincewing/entry/entry_host.hpp"
#include "quincewing/logging/event_log.hpp"

#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace quincewing {

namespace {

constexpr int bad_settings = 2;
constexpr int cannot_listen = 3;
// Answers that were given leave the socket's buffer in this time.
constexpr millis time_for_last_answers{150};

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

/// Calls a function at a signal.
class signal_hook
{
public:
    signal_hook(event_loop& loop, int number, std::function<void()> fire) : fire_(std::move(fire))
    {
        const auto call = [](evutil_socket_t, short, void* arg) {
            static_cast<signal_hook*>(arg)->fire_();
        };
        it_ = evsignal_new(loop.base(), number, call, this);
        event_add(it_, nullptr);
    }
    ~signal_hook() { event_free(it_); }
    signal_hook(const signal_hook&) = delete;
    signal_hook& operator=(const signal_hook&) = delete;

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
    const auto settings = load(line.settings);
    if (!settings) {
        return settings.error();
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    entry_host host{loop, *settings,
                    make_platform_adapter(
                        loop, {.store = settings->store, .servers_from = settings->servers_from})};
    if (const auto failed = host.start(); !failed.empty()) {
        log_event("cannot_listen", {{"address", failed}});
        return cannot_listen;
    }
    timer last_answers{loop, [&] { loop.stop(); }};
    const auto stop = [&] { host.stop([&] { last_answers.once(time_for_last_answers); }); };
    signal_hook term{loop, SIGTERM, stop};
    signal_hook interrupt{loop, SIGINT, stop};
    signal_hook reload{loop, SIGHUP, [&] { on_reload(line.settings); }};
    loop.run();
    standard_log().tick(monotonic_now());
    // The sockets end with the process; taking the tasks apart in order gains nothing.
    std::_Exit(0);
}

} // namespace quincewing
