#include "port_block.hpp"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace quincewing::testing {

namespace {

constexpr int lowest_port = 10'000;
constexpr int blocks = 75;

/// A socket that is bound to the port, or -1.
int bind_to(int port, bool reuse_address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = reuse_address ? 1 : 0;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
        return fd;
    }
    close(fd);
    return -1;
}

bool is_free(int port)
{
    const int fd = bind_to(port, true);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

} // namespace

port_block::port_block()
{
    const int begin = getpid() % blocks;
    for (int i = 0; i < blocks && guard_ < 0; ++i) {
        const int guard_port = lowest_port + (begin + i) % blocks * (ports + 1);
        guard_ = bind_to(guard_port, false);
        first_ = guard_port + 1;
    }
    if (guard_ < 0) {
        throw std::runtime_error{"no block of ports is free"};
    }
}

port_block::~port_block()
{
    close(guard_);
}

// One that was given out before comes again as late as possible.
int free_port()
{
    static const port_block block;
    static int next = 0;
    for (int i = 0; i < port_block::ports; ++i) {
        const int port = block.port(next);
        next = (next + 1) % port_block::ports;
        if (is_free(port)) {
            return port;
        }
    }
    throw std::runtime_error{"no port of the block is free"};
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

} // namespace quincewing::testing
