#pragma once

#include "quincewing/base/ids.hpp"

#include <string>
#include <string_view>

namespace quincewing {

/// What an entry host writes of itself into the store, under its address.
struct host_record
{
    host_id host;
    /// Processor cores that it may use; 0: not told, as by earlier builds.
    double cores{};
};

/// "address:port/instance cores=0.5". Builds up to 177085f write the host alone and read none of
/// it.
std::string format_host_record(const host_record& it);
/// Parts that can't be read or are not known count as not told.
host_record parse_host_record(std::string_view text);

} // namespace quincewing
