#include "operator_commands.hpp"

#include "quincewing/http/http_call.hpp"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace quincewing {

namespace {

constexpr int refused = 1;
constexpr int bad_usage = 2;
constexpr int no_answer = 3;
constexpr seconds command_timeout{15};
// As large as a plan that a host takes back.
constexpr std::size_t max_answer = 16UL * 1024 * 1024;

int ask(const command_line& line, const std::string& path, const std::string& body)
{
    const auto answer = http_call_and_wait({.method = body.empty() ? "GET" : "POST",
                                            .address = line.at,
                                            .path = path,
                                            .body = body,
                                            .timeout = command_timeout,
                                            .max_answer = max_answer});
    if (answer.status == 0) {
        std::cerr << "quincewing: no answer from " << line.at << "\n";
        return no_answer;
    }
    std::cout << answer.body;
    return answer.status == 200 ? 0 : refused;
}

int usage(const std::string& what)
{
    std::cerr << "quincewing: " << what << "; see --help\n";
    return bad_usage;
}

int make_plan(const command_line& line)
{
    if (line.words.empty()) {
        return usage("plan needs an intent");
    }
    nlohmann::json intent{{"intent", line.words.front()}, {"operator", line.operator_name}};
    for (std::size_t i = 1; i < line.words.size(); ++i) {
        const auto& word = line.words[i];
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            return usage("'" + word + "' is not NAME=VALUE");
        }
        intent[word.substr(0, equals)] = word.substr(equals + 1);
    }
    std::string body;
    try {
        body = intent.dump();
    } catch (const nlohmann::json::type_error&) {
        return usage("a word of the intent is not UTF-8");
    }
    return ask(line, "/plan", body);
}

int confirm(const command_line& line)
{
    if (line.words.size() != 1) {
        return usage("confirm needs one file");
    }
    std::ostringstream text;
    if (line.words.front() == "-") {
        text << std::cin.rdbuf();
    } else {
        std::ifstream in{line.words.front()};
        if (!in) {
            return usage("'" + line.words.front() + "' cannot be read");
        }
        text << in.rdbuf();
    }
    if (text.str().empty()) {
        return usage("the plan is empty");
    }
    return ask(line, "/confirm", text.str());
}

} // namespace

int run_operator_command(const command_line& line)
{
    if (line.command == "plan") {
        return make_plan(line);
    }
    if (line.command == "confirm") {
        return confirm(line);
    }
    if (line.command == "explain") {
        return line.words.size() == 1 ? ask(line, "/explain", line.words.front())
                                      : usage("explain needs one name");
    }
    return ask(line, "/status", "");
}

} // namespace quincewing
