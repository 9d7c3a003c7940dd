#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/base/time.hpp"
#include "quincewing/peers/link_watch.hpp"

#include <cstddef>
#include <string>

namespace quincewing {

struct peers_options
{
    host_id self;
    /// "ip:port" at which the others reach this host.
    std::string address;
    /// "ip:port" to listen on; connections to others leave from this ip.
    std::string listen;
    data_centre_id data_centre;
    /// Processor cores that this host may use; 0: not told to others.
    double cores{};
    /// When a link asks for a sign of life, and when it is given up and made anew.
    link_watch_options watch;
    duration reconnect_least{millis{20}};
    duration reconnect_most{seconds{1}};
    /// An address that nobody answered at for this long is forgotten; zero: never.
    duration forget_after{0};
    /// Bytes of messages that wait for a slow peer; beyond this the connection is given up.
    std::size_t max_pending{64UL * 1024 * 1024};
    /// Bytes of a forwarded request's body; a longer one is reset.
    std::size_t max_body{16UL * 1024 * 1024};
};

} // namespace quincewing
