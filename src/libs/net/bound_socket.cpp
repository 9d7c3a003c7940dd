#include "quincewing/net/bound_socket.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quincewing {

int open_socket_from(const std::string& ip)
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || ip.empty()) {
        return fd;
    }
    sockaddr_in from{};
    from.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &from.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr*>(&from), sizeof from) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

} // namespace quincewing
