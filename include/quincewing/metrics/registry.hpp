#pragma once

#include "quincewing/metrics/histogram.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quincewing {

/// Counters, gauges and histograms by name and labels. References stay good for its lifetime.
class registry
{
public:
    using labels = std::vector<std::pair<std::string, std::string>>;

    std::uint64_t& counter(const std::string& name, const labels& by = {});
    double& gauge(const std::string& name, const labels& by = {});
    histogram& times(const std::string& name, const labels& by = {});
    /// Forgets the values of a gauge, before they are set anew.
    void clear_gauge(const std::string& name) { gauges_.erase(name); }

    /// All values in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    template <class T>
    using family = std::map<std::string, std::map<std::string, T>>;

    family<std::uint64_t> counters_;
    family<double> gauges_;
    family<histogram> histograms_;
};

} // namespace quincewing
