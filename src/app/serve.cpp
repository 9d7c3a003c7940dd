#include "serve.hpp"

#include "serve_entry.hpp"

#include "quincewing/callers/callers_task.hpp"
#include "quincewing/host/host_task.hpp"
#include "quincewing/net/stop_signals.hpp"
#include "quincewing/operators/operators_task.hpp"

#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <random>

namespace quincewing {

namespace {

constexpr int bad_settings = 2;
constexpr int cannot_listen = 3;
// Other hosts are told the last news in this time.
constexpr millis time_for_last_messages{300};
constexpr millis look_every{10};

tl::expected<host_settings, int> load(const command_line& line)
{
    auto settings = read_settings_file(line.settings);
    if (settings) {
        return std::move(*settings);
    }
    for (const auto& it : settings.error()) {
        std::cerr << it.to_string() << "\n";
    }
    return tl::make_unexpected(bad_settings);
}

void start_logging(const host_settings& settings)
{
    if (settings.log_folder.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = settings.log_folder;
    }
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging("quincewing");
}

host_id new_host_id(const host_settings& settings)
{
    std::random_device random;
    const auto instance = (static_cast<std::uint64_t>(random()) << 32U) | random();
    return make_host_id(settings.address, instance);
}

/// Stops the host gracefully at the first signal, and with no wait for servers at the second.
class graceful_stop
{
public:
    graceful_stop(event_loop& loop, host_task& host, callers_task& callers,
                  operators_task& operators)
        : loop_(loop), host_(host), callers_(callers), operators_(operators),
          last_answers_(loop, [this] { look(); })
    {
    }

    void on_signal(const stop_signal& signal)
    {
        if (host_.stopping()) {
            host_.stop_now();
            return;
        }
        const auto late = std::chrono::duration_cast<millis>(monotonic_now() - signal.sent_after);
        LOG(INFO) << "change=stopping about=" << host_.core().options().self.value
                  << " late_ms=" << late.count();
        host_.stop(signal, [this] {
            callers_.close();
            operators_.close();
            messages_until_ = monotonic_now() + time_for_last_messages;
            last_answers_.every(look_every);
        });
    }

private:
    // The process ends when every answer has left it, or when its time is over.
    void look()
    {
        const auto now = monotonic_now();
        const bool sent = callers_.answers_sent() && host_.answers_sent();
        if ((sent && now >= messages_until_) || now >= host_.ends_at()) {
            loop_.stop();
        }
    }

    event_loop& loop_;
    host_task& host_;
    callers_task& callers_;
    operators_task& operators_;
    timer last_answers_;
    instant messages_until_{};
};

} // namespace

int check(const command_line& line)
{
    if (is_entry_settings_file(line.settings)) {
        return check_entry(line);
    }
    const auto settings = load(line);
    if (!settings) {
        return settings.error();
    }
    std::cout << line.settings << ": " << settings->services.size() << " services, "
              << settings->servers.size() << " servers, good\n";
    return 0;
}

int serve(const command_line& line)
{
    if (is_entry_settings_file(line.settings)) {
        return serve_entry(line);
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    loop.on_failure = [](const char* where, const char* error) {
        LOG(ERROR) << "change=callback_failed about=" << where << " error=" << error;
    };
    std::unique_ptr<graceful_stop> stop;
    // A signal that comes before the loop runs is handled when it does.
    stop_signals signals{loop, [&](const stop_signal& it) { stop->on_signal(it); }};
    const auto settings = load(line);
    if (!settings) {
        return settings.error();
    }
    start_logging(*settings);
    const auto self = new_host_id(*settings);
    host_task host{loop, *settings, self};
    callers_task callers{loop, host};
    operators_task operators{loop, host};
    stop = std::make_unique<graceful_stop>(loop, host, callers, operators);
    const bool listening = host.start() && callers.start() && operators.start();
    if (!listening) {
        LOG(ERROR) << "change=cannot_listen about=" << settings->address << " or "
                   << settings->callers << " or " << settings->operators;
        return cannot_listen;
    }
    LOG(INFO) << "change=started about=" << self.value << " data_centre=" << settings->data_centre
              << " callers=" << settings->callers << " operators=" << settings->operators;
    loop.run();
    LOG(INFO) << "change=stopped about=" << self.value;
    google::FlushLogFiles(google::INFO);
    // The sockets end with the process; taking the tasks apart in order gains nothing.
    std::_Exit(0);
}

} // namespace quincewing
