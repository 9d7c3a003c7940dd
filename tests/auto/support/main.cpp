#define DOCTEST_CONFIG_IMPLEMENT
#include "test_options.hpp"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <doctest/doctest.h>
#include <iostream>
#include <string>
#include <vector>

namespace quincewing::testing {

test_options& options()
{
    static test_options it;
    return it;
}

std::uint64_t schedules_or(std::uint64_t own)
{
    return options().only ? 1 : options().schedules != 0 ? options().schedules : own;
}

} // namespace quincewing::testing

int main(int argc, char** argv)
{
    // As in the product: a closed connection is an error of its write.
    std::signal(SIGPIPE, SIG_IGN);
    auto& options = quincewing::testing::options();
    for (int i = 1; i < argc; ++i) {
        if (std::strncmp(argv[i], "--seed=", 7) == 0) {
            options.seed = std::strtoull(argv[i] + 7, nullptr, 10);
        } else if (std::strncmp(argv[i], "--schedules=", 12) == 0) {
            options.schedules = std::strtoull(argv[i] + 12, nullptr, 10);
        } else if (std::strncmp(argv[i], "--other-program=", 16) == 0) {
            options.other_program = argv[i] + 16;
        } else if (std::strncmp(argv[i], "--write-wire-forms=", 19) == 0) {
            options.write_wire_forms = argv[i] + 19;
        } else if (std::strcmp(argv[i], "--only") == 0) {
            options.only = true;
        }
    }
    // rapidcheck takes its seed from the environment only.
    const auto params = "seed=" + std::to_string(options.seed);
    setenv("RC_PARAMS", params.c_str(), 0);
    std::cout << std::unitbuf << "seed " << options.seed << "\n";
    doctest::Context context{argc, argv};
    return context.run();
}
