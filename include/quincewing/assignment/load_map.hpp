#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace quincewing {

/// Over which time requests are counted.
enum class load_window : std::uint8_t
{
    /// Follows a change of the load within a second or two.
    recent,
    /// Changes slowly, and is less uncertain by chance.
    steady
};

/// Time that a server usually takes for a request.
struct usual_time
{
    duration time{};
    /// Standard error as a share of it.
    double relative_error{};
};

/// Request count of each key and mean processing time of each server.
class load_map
{
public:
    /// Counts decay exponentially with these time constants, for load_window::recent and
    /// load_window::steady; the half-life is about 0.7 of them.
    explicit load_map(duration time_constant = millis{1500}, duration steady = seconds{5})
        : recent_{.time_constant = time_constant, .counts = {}}, steady_{.time_constant = steady,
                                                                         .counts = {}}
    {
    }

    void add(const service_id& service, key_number key, double requests, instant now);
    /// Records how long the server took to process a request.
    void add_processing_time(const server_id& server, duration took);
    /// Records how slow the server says that it is, in percent of usual; 0 says nothing.
    void add_slowness(instant now, const server_id& server, std::uint32_t slowness);
    /// Decays all counts, at most every 200 ms. Call a few times per second.
    void decay(instant now);

    /// Requests per second for these keys.
    [[nodiscard]] double rate(const service_id& service, key_range keys,
                              load_window window = load_window::recent) const;
    /// Decayed number of requests from which the rate is computed.
    [[nodiscard]] double sample_count(const service_id& service, key_range keys,
                                      load_window window = load_window::recent) const;
    /// The one of these keys with the most requests; empty while the service has no counts.
    [[nodiscard]] std::optional<key_number> hottest_key(const service_id& service,
                                                        key_range keys) const;
    /// Mean processing time of a request at the server; the fallback before the first request.
    [[nodiscard]] duration processing_time(const server_id& server, duration fallback) const;
    /// The same over a longer time and without outliers, so that it shows how a server compares
    /// with others; empty before enough requests were measured.
    [[nodiscard]] std::optional<usual_time> usual_processing_time(const server_id& server) const;
    /// Lowest slowness that the server reported in the present and the previous period of 2 s,
    /// which leaves out short slowdowns; in percent of usual. Empty if it reported none.
    [[nodiscard]] std::optional<double> lasting_slowness(const server_id& server) const;
    /// Mean over all servers with a known processing time; zero without any.
    [[nodiscard]] duration mean_processing_time() const;
    /// Last key of the shortest range that begins at keys.first and has at least this rate;
    /// keys.last if the whole range has less, its middle if the service has no counts.
    [[nodiscard]] key_number split_point(const service_id& service, key_range keys,
                                         double rate) const;

private:
    struct counted_window
    {
        duration time_constant;
        std::map<service_id, std::vector<float>> counts;
    };
    struct measured_time
    {
        double us{};
        double usual_us{};
        std::uint32_t samples{};
    };

    /// The lowest slowness in the present period and in the one before; 0: none was told.
    struct told_slowness
    {
        instant period_began;
        std::uint32_t now{};
        std::uint32_t before{};
    };

    [[nodiscard]] const counted_window& counted(load_window window) const
    {
        return window == load_window::recent ? recent_ : steady_;
    }

    instant last_decay_{};
    counted_window recent_;
    counted_window steady_;
    std::map<server_id, measured_time> processing_times_;
    std::map<server_id, told_slowness> slowness_;
};

} // namespace quincewing
