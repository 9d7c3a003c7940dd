#include "quincewing/settings/host_settings.hpp"

#include <doctest/doctest.h>

using namespace quincewing;

namespace {

constexpr const char* good = "[host]\ndata_centre = a\n[platform]\naddress = 127.0.0.1:7000\n"
                             "[service v]\nslots = 4\n[server s]\nservice = v\ndata_centre = a\n"
                             "address = 127.0.0.1:7201\n";

bool names(const std::vector<settings_error>& errors, const std::string& text)
{
    for (const auto& it : errors) {
        if (it.to_string().find(text) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("settings: a good file is read")
{
    const auto it = read_settings("x.ini", good);
    REQUIRE(it);
    CHECK(it->services.at("v").slots == 4);
    CHECK(it->servers.at("s").address == "127.0.0.1:7201");
}

TEST_CASE("settings: all errors are told at once, with file, section and key")
{
    const auto it = read_settings(
        "x.ini", "[host]\naddress = nowhere\n[platform]\naddress = 127.0.0.1:7000\npoll = 5\n"
                 "[service v]\nslots = 0\ncolour = red\n[server s]\nservice = w\n"
                 "data_centre = a\naddress = 127.0.0.1:1\n[sevrer t]\nx = 1\n[pair]\nlease = 1s\n"
                 "patience = 500ms\n");
    REQUIRE_FALSE(it);
    const auto& errors = it.error();
    CHECK(names(errors, "x.ini: [host] address: 'nowhere' is not an address"));
    CHECK(names(errors, "[host] data_centre: is missing"));
    CHECK(names(errors, "[platform] poll: '5' is not a time"));
    CHECK(names(errors, "[service v] slots: '0' is not in range"));
    CHECK(names(errors, "[service v] colour: is not known"));
    CHECK(names(errors, "[server s] service: 'w' has no section"));
    CHECK(names(errors, "[sevrer t] is no section"));
    CHECK(names(errors, "[pair] patience: is shorter than the lease"));
}

TEST_CASE("settings: an empty or unreadable file is an error, not defaults")
{
    CHECK_FALSE(read_settings("x.ini", ""));
    CHECK_FALSE(read_settings("x.ini", "[host\n"));
    CHECK_FALSE(read_settings_file("no-such-file.ini"));
}
