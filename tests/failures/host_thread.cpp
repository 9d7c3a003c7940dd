#include "host_thread.hpp"

#include <future>
#include <stdexcept>
#include <utility>

namespace quincewing::testing {

namespace {

// That of the host's ticks: a timer that is set after them fires in the same turns of the loop.
constexpr millis tick_period{20};
constexpr std::uint64_t instance = 1;

host_settings settings_of(const std::string& file)
{
    auto it = read_settings_file(file);
    if (!it) {
        throw std::runtime_error{it.error().front().to_string()};
    }
    return std::move(*it);
}

} // namespace

host_thread::host_thread(const std::string& settings_file)
    : settings_(settings_of(settings_file)),
      host_(loop_, settings_, make_host_id(settings_.address, instance)), callers_(loop_, host_),
      operators_(loop_, host_), posted_timer_(loop_, [this] { run_posted(); })
{
    listening_ = host_.start() && callers_.start() && operators_.start();
    posted_timer_.every(tick_period);
    thread_ = std::thread{[this] { loop_.run(); }};
}

host_thread::~host_thread()
{
    post([this] { loop_.stop(); });
    thread_.join();
}

std::chrono::steady_clock::time_point host_thread::stop_and_be_late(duration signalled_ago,
                                                                    duration late)
{
    std::promise<std::chrono::steady_clock::time_point> refuse_at;
    post([&] {
        const auto now = monotonic_now();
        const auto at = now - signalled_ago;
        const stop_signal signal{.sent_after = at, .received_at = at};
        const auto steps = make_stop_schedule(signal, settings_.stop_within, settings_.stop_notice);
        const auto refused = std::chrono::steady_clock::now() + (steps.refuse_at - now);
        host_.stop(signal, [] {});
        std::this_thread::sleep_for(late);
        refuse_at.set_value(refused);
    });
    return refuse_at.get_future().get();
}

void host_thread::post(std::function<void()> it)
{
    const std::lock_guard lock{mutex_};
    posted_.push_back(std::move(it));
}

void host_thread::run_posted()
{
    std::vector<std::function<void()>> all;
    {
        const std::lock_guard lock{mutex_};
        all = std::exchange(posted_, {});
    }
    for (const auto& it : all) {
        it();
    }
}

} // namespace quincewing::testing
