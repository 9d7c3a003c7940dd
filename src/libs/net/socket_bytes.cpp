#include "quincewing/net/socket_bytes.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace quincewing {

namespace {

std::size_t ask(int fd, unsigned long what)
{
    int n = 0;
    return ioctl(fd, what, &n) == 0 && n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace

std::size_t unacknowledged_bytes(int fd)
{
    return ask(fd, SIOCOUTQ);
}

std::size_t unread_bytes(int fd)
{
    return ask(fd, FIONREAD);
}

} // namespace quincewing
