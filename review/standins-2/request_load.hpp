#pragma once

#include "quincewing/base/time.hpp"
#include "quincewing/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace quincewing::review {

/// Something that is done once, so long after the load began.
using timed_step = std::pair<duration, std::function<void()>>;

struct request_load_options
{
    /// Addresses of the entry hosts, which get the requests in turn.
    std::vector<std::string> hosts;
    double per_second{40};
    duration length{seconds{10}};
    /// What the callers say that they will wait.
    duration deadline{seconds{6}};
    std::string method{"GET"};
    std::string path{"/read/gauge?work_ms=5"};
    std::string body;
    /// All requests have this path, and not a number of their own in its query.
    bool same_path{true};
    /// Beginning of the requests' ids.
    std::string name{"load"};
    std::vector<timed_step> steps;
};

struct load_answer
{
    std::string request;
    std::size_t host{};
    /// 0: none came.
    int status{};
    /// In nanoseconds of the machine's monotonic clock.
    long long sent_ns{};
    long long answered_ns{};
};

/// Sends requests at a steady rate, each on a connection of its own and none twice, and waits for
/// their answers.
std::vector<load_answer> run_load(const request_load_options& options);

void write_answers(std::ostream& to, const std::vector<load_answer>& answers);

} // namespace quincewing::review
