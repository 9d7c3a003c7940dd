#include "relay_protocol.hpp"

namespace quincewing::relay_protocol {

connection_loss loss_of(const std::string& text)
{
    for (const auto it :
         {connection_loss::refused, connection_loss::not_connected, connection_loss::reset,
          connection_loss::closed, connection_loss::malformed, connection_loss::too_long,
          connection_loss::withdrawn, connection_loss::host_lost, connection_loss::unproven}) {
        if (text == to_string(it)) {
            return it;
        }
    }
    return connection_loss::not_connected;
}

} // namespace quincewing::relay_protocol
