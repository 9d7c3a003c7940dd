#include "cases.hpp"

#include "test_options.hpp"

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

namespace quincewing::testing {

// The fleet asks whether it has a second build.
test_options& options()
{
    static test_options it;
    return it;
}

} // namespace quincewing::testing

namespace review = quincewing::review;

// Arguments: CASE RECORD TROUBLE. With TROUBLE 0 the disruption is left out.
int main(int argc, char** argv)
{
    using run_case = review::case_result (*)(bool, std::ostream&);
    const std::map<std::string, run_case> cases{{"crash", review::run_crash_case},
                                                {"limit", review::run_limit_case},
                                                {"reuse", review::run_reuse_case}};
    const auto found = cases.find(argc == 4 ? argv[1] : "");
    if (found == cases.end()) {
        std::cerr << "usage: CASE RECORD TROUBLE\n";
        return static_cast<int>(review::case_result::could_not_run);
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string{argv[3]} != "0";
    std::ofstream record{argv[2]};
    try {
        const auto result = found->second(trouble, record);
        return static_cast<int>(result);
    } catch (const std::exception& e) {
        std::cerr << "the case could not run: " << e.what() << "\n";
        return static_cast<int>(review::case_result::could_not_run);
    }
}
