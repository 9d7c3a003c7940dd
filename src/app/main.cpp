#include "command_line.hpp"
#include "configuration_command.hpp"
#include "operator_commands.hpp"
#include "serve.hpp"

int main(int argc, char** argv)
{
    int status = 0;
    const auto line = quincewing::read_command_line(argc, argv, status);
    if (!line) {
        return status;
    }
    if (line->command == "serve") {
        return quincewing::serve(*line);
    }
    if (line->command == "check") {
        return quincewing::check(*line);
    }
    if (line->command == "check-configuration") {
        return quincewing::check_configuration(*line);
    }
    return quincewing::run_operator_command(*line);
}
