#pragma once

#include "quincewing/assignment/assignment_table.hpp"

#include <map>
#include <vector>

namespace quincewing {

/// How often each key was asked for lately, and how long each server takes for a request.
class load_map
{
public:
    /// Older requests count less: by half after about two thirds of this time.
    explicit load_map(duration memory = millis{1500}) : memory_(memory) {}

    void add(const service_id& service, key_number key, double requests, instant now);
    /// A server finished a request after this time of work.
    void add_processing_time(const server_id& server, duration took);
    /// Lets all counts age. Call a few times a second.
    void age(instant now);

    /// Requests a second on these keys.
    [[nodiscard]] double rate(const service_id& service, key_range keys) const;
    /// Requests behind that rate; tells how sure it is.
    [[nodiscard]] double samples(const service_id& service, key_range keys) const;
    /// Time of work of one request at the server; the fallback when it is not known yet.
    [[nodiscard]] duration work_of(const server_id& server, duration fallback) const;
    /// Mean over the servers that are known; zero without any.
    [[nodiscard]] duration mean_work() const;
    /// Last key of the piece that begins at keys.first and has at least this rate.
    [[nodiscard]] key_number piece_end(const service_id& service, key_range keys,
                                       double rate) const;

private:
    duration memory_;
    instant aged_{};
    std::map<service_id, std::vector<float>> counts_;
    std::map<server_id, double> work_us_;
};

} // namespace quincewing
