#include "command_line.hpp"

#include <algorithm>
#include <iostream>
#include <tclap/CmdLine.h>

namespace quincewing {

namespace {

constexpr int bad_usage = 2;

const char* const description =
    "Routes requests to the backend server that owns their key.\n"
    "Commands: serve (run an entry host), check (the settings), "
    "check-configuration FILE (the operators' configuration), status, "
    "plan add|retire|spread|pin|set|level NAME=VALUE..., confirm FILE (- for standard input), "
    "explain REQUEST|PLAN|SERVER|SERVICE/KEY";

} // namespace

std::optional<command_line> read_command_line(int argc, char** argv, int& status)
{
    command_line out;
    try {
        TCLAP::CmdLine line{description, ' ', QUINCEWING_VERSION};
        line.setExceptionHandling(false);
        std::vector<std::string> commands{
            "serve", "check", "check-configuration", "status", "plan", "confirm", "explain"};
        TCLAP::ValuesConstraint<std::string> allowed{commands};
        TCLAP::ValueArg<std::string> settings{
            "s", "settings", "Settings file", false, "quincewing.ini", "FILE", line};
        TCLAP::ValueArg<std::string> at{
            "a",       "at", "Operators' address of an entry host", false, "127.0.0.1:9100",
            "IP:PORT", line};
        TCLAP::ValueArg<std::string> name{
            "o", "operator", "Name of the operator, kept with a plan", false, "", "NAME", line};
        TCLAP::ValueArg<std::string> against{
            "",    "against", "check-configuration: the configuration in force, to compare with",
            false, "",        "FILE",
            line};
        TCLAP::SwitchArg json{"", "json", "check-configuration: print findings as JSON", line};
        TCLAP::UnlabeledValueArg<std::string> command{"command", "What to do", true,
                                                      "",        &allowed,     line};
        TCLAP::UnlabeledMultiArg<std::string> words{"words", "Words of the command", false, "WORD",
                                                    line};
        line.parse(argc, argv);
        out = {.command = command.getValue(),
               .settings = settings.getValue(),
               .at = at.getValue(),
               .operator_name = name.getValue(),
               .against = against.getValue(),
               .json = json.getValue(),
               .words = words.getValue()};
    } catch (const TCLAP::ExitException& e) {
        status = e.getExitStatus();
        return {};
    } catch (const TCLAP::ArgException& e) {
        std::cerr << "quincewing: " << e.error() << " (" << e.argId() << "); see --help\n";
        status = bad_usage;
        return {};
    }
    return out;
}

} // namespace quincewing
