#pragma once

#include "quincewing/base/ids.hpp"

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace quincewing {

/// The order in which a host that has just started makes its links. Those to the strongest hosts,
/// which coordinate and dispatch, come at once; the others a few at a time, as hundreds at once
/// would occupy a small host for seconds.
class link_queue
{
public:
    /// cores: processor cores that this host may use; 0: not known.
    explicit link_queue(double cores) : own_cores_(cores), most_cores_(cores) {}

    /// An address that waits already is passed over. cores: those of the other host; 0: not
    /// known.
    void add(const std::string& address, double cores);
    /// The links to make now. Call it every 50 ms.
    [[nodiscard]] std::set<std::string> take_due();

private:
    struct waiting_link
    {
        std::string address;
        double cores{};
    };

    /// Links that one call makes beside those to the strongest hosts.
    [[nodiscard]] std::size_t batch() const;

    double own_cores_;
    double most_cores_;
    std::set<std::string> waiting_addresses_;
    std::deque<waiting_link> waiting_;
};

} // namespace quincewing
