#include "quincewing/metrics/registry.hpp"

#include <sstream>

namespace quincewing {

namespace {

std::string join(const registry::labels& by)
{
    std::string out;
    for (const auto& [key, value] : by) {
        out += out.empty() ? "" : ",";
        out.append(key).append("=\"").append(value).append("\"");
    }
    return out;
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void render_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                      const histogram& it)
{
    const auto comma = labels.empty() ? "" : ",";
    for (std::size_t i = 0; i < histogram::bucket_count; ++i) {
        out << name << "_bucket{" << labels << comma << "le=\"" << histogram::bound(i) << "\"} "
            << it.cumulative(i) << "\n";
    }
    out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << it.count() << "\n";
    out << name << "_sum" << braced(labels) << " " << it.sum() << "\n";
    out << name << "_count" << braced(labels) << " " << it.count() << "\n";
}

template <class Family>
void render_values(std::ostream& out, const Family& family, const char* type)
{
    for (const auto& [name, values] : family) {
        out << "# TYPE " << name << " " << type << "\n";
        for (const auto& [labels, value] : values) {
            out << name << braced(labels) << " " << value << "\n";
        }
    }
}

} // namespace

std::uint64_t& registry::counter(const std::string& name, const labels& by)
{
    return counters_[name][join(by)];
}

double& registry::gauge(const std::string& name, const labels& by)
{
    return gauges_[name][join(by)];
}

histogram& registry::times(const std::string& name, const labels& by)
{
    return histograms_[name][join(by)];
}

std::string registry::render() const
{
    std::ostringstream out;
    render_values(out, counters_, "counter");
    render_values(out, gauges_, "gauge");
    for (const auto& [name, values] : histograms_) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, value] : values) {
            render_histogram(out, name, labels, value);
        }
    }
    return out.str();
}

} // namespace quincewing
