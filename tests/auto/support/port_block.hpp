#pragma once

#include <string>

namespace quincewing::testing {

/// Consecutive loopback ports that no other block of a running test process has. They lie below
/// the ports that the system gives to outgoing connections.
class port_block
{
public:
    static constexpr int ports = 299;

    /// Throws std::runtime_error if all blocks are taken.
    port_block();
    ~port_block();
    port_block(const port_block&) = delete;
    port_block& operator=(const port_block&) = delete;

    /// i: from 0 to ports - 1.
    [[nodiscard]] int port(int i) const { return first_ + i; }

private:
    /// Bound to the port before the first one while the block is taken.
    int guard_{-1};
    int first_{};
};

/// A port of this process's own block at which nothing listens.
int free_port();

/// The same as "127.0.0.1:port".
std::string free_address();

} // namespace quincewing::testing
