#include "quincewing/net/socket_bytes.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace quincewing {

std::size_t unacknowledged_bytes(int fd)
{
    int n = 0;
    return ioctl(fd, SIOCOUTQ, &n) == 0 && n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace quincewing
