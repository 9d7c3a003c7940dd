#include "quincewing/net/reset_on_close.hpp"

#include <sys/socket.h>

namespace quincewing {

void reset_on_close(int fd)
{
    const linger it{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
}

} // namespace quincewing
