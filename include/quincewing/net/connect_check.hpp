#pragma once

#include "quincewing/base/time.hpp"

#include <functional>
#include <string>

namespace quincewing {

class event_loop;

enum class connect_result
{
    accepted,
    /// Nobody listens: the process is gone.
    refused,
    /// No answer in time.
    silent
};

/// Opens a connection to "ip:port" and closes it again; done is called once. from: the ip that the
/// connection leaves from; empty: the system's choice.
void check_connect(event_loop& loop, const std::string& address, duration timeout,
                   std::function<void(connect_result)> done, const std::string& from = "");

} // namespace quincewing
