#include "wire_shape.hpp"

#include "test_options.hpp"

#include "quincewing/assignment/assignment_table.hpp"
#include "quincewing/state/log_state.hpp"
#include "quincewing/state/record.hpp"
#include "quincewing/wire/messages.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

/// What hosts send each other and keep in the store, against the forms of each landed build: the
/// rule is in docs/DESIGN.md.
using namespace quincewing;
using namespace quincewing::testing;

namespace {

struct wire_form
{
    std::string name;
    std::string shape;
    /// Encoded, every member with a value.
    std::string sample;
    /// The bytes, read as this type and encoded again; empty if they can't be read.
    std::function<std::string(std::string_view)> read_and_encode;
};

template <class T>
std::string read_and_encode(std::string_view bytes)
{
    const auto it = codec::decode<T>(bytes);
    return it ? codec::encode(*it) : "";
}

template <class T>
wire_form make_form(const std::string& name)
{
    T it{};
    sample_filler{}.fill(it);
    return {.name = name,
            .shape = shape_of<T>(),
            .sample = codec::encode(it),
            .read_and_encode = read_and_encode<T>};
}

/// Named by the place among the alternatives, which is what is sent.
template <std::size_t... I>
std::vector<wire_form> message_forms(std::index_sequence<I...>)
{
    return {make_form<std::variant_alternative_t<I, message>>("message-" + std::to_string(I))...};
}

std::vector<wire_form> all_forms()
{
    auto out = message_forms(std::make_index_sequence<std::variant_size_v<message>>{});
    out.push_back(make_form<envelope>("envelope"));
    out.push_back(make_form<assignment_table>("assignment_table"));
    out.push_back(make_form<record>("log_record"));
    return out;
}

std::filesystem::path landed_forms()
{
    return std::filesystem::path{LANDED_WIRE_FORMS};
}

/// One line a form: name, shape, sample in hexadecimal.
std::map<std::string, wire_form> read_forms(const std::filesystem::path& file)
{
    std::map<std::string, wire_form> out;
    std::ifstream in{file};
    std::string name;
    std::string shape;
    std::string sample;
    while (in >> name >> shape >> sample) {
        out[name] = {.name = name, .shape = shape, .sample = from_hex(sample)};
    }
    return out;
}

/// Calls check(build, landed, today) for each form of each landed build.
void for_each_landed(
    const std::function<void(const std::string&, const wire_form&, const wire_form&)>& check)
{
    const auto today = all_forms();
    std::size_t builds = 0;
    for (const auto& entry : std::filesystem::directory_iterator{landed_forms()}) {
        const auto landed = read_forms(entry.path());
        REQUIRE_FALSE(landed.empty());
        ++builds;
        std::size_t found = 0;
        for (const auto& form : today) {
            const auto it = landed.find(form.name);
            if (it != landed.end()) {
                ++found;
                check(entry.path().stem().string(), it->second, form);
            }
        }
        CHECK_MESSAGE(found == landed.size(), "a message or record of build ",
                      entry.path().stem().string(), " is gone");
    }
    CHECK(builds > 0);
}

} // namespace

TEST_CASE("wire: forms of this build are written on demand")
{
    const auto file = options().write_wire_forms;
    if (file.empty()) {
        return;
    }
    std::ofstream out{file};
    for (const auto& it : all_forms()) {
        out << it.name << ' ' << it.shape << ' ' << to_hex(it.sample) << '\n';
    }
    CHECK(out.good());
}

TEST_CASE("wire: no member of a landed form changed its place or type")
{
    for_each_landed([](const auto& build, const auto& landed, const auto& today) {
        const auto change = find_change_in_place(landed.shape, today.shape);
        CHECK_MESSAGE(!change, today.name, " since build ", build, ": ", change.value_or(""));
    });
}

TEST_CASE("wire: what a landed build sends is read whole")
{
    for_each_landed([](const auto& build, const auto& landed, const auto& today) {
        const auto again = today.read_and_encode(landed.sample);
        REQUIRE_MESSAGE(!again.empty(), today.name, " of build ", build, " can't be read");
        const auto sent = msgpack::unpack(landed.sample.data(), landed.sample.size());
        const auto read = msgpack::unpack(again.data(), again.size());
        CHECK_MESSAGE(is_extended_by(sent.get(), read.get()), today.name, " of build ", build);
    });
}

// A landed build reads the members that it knows, by their places, and passes over the others.
TEST_CASE("wire: a landed build finds its members in what this build sends")
{
    for_each_landed([](const auto& build, const auto& landed, const auto& today) {
        if (find_change_in_place(landed.shape, today.shape)) {
            return;
        }
        const auto known = msgpack::unpack(landed.sample.data(), landed.sample.size());
        const auto sent = msgpack::unpack(today.sample.data(), today.sample.size());
        // The values differ where a nested struct has grown, the kinds do not.
        CHECK_MESSAGE(has_kinds_of(known.get(), sent.get()), today.name, " at build ", build);
    });
}

TEST_CASE("wire: a change in place is found and named")
{
    CHECK_FALSE(find_change_in_place("(u64,str)", "(u64,str,[u8])"));
    CHECK_FALSE(find_change_in_place("(u64,<(u8)|(str)>)", "(u64,<(u8)|(str,str)|(u64)>)"));
    CHECK(find_change_in_place("(u64,str)", "(u64)") ==
          "member (whole) was (u64,str) and is (u64)");
    CHECK(find_change_in_place("(u64,(str,[u8]))", "(u64,(str,[u64]))") ==
          "member 1.1.0 was u8 and is u64");
    CHECK(find_change_in_place("(u64,?(str))", "(u64,?[str])") ==
          "member 1 was (str) and is [str]");
    CHECK(find_change_in_place("(u64,str)", "(str,u64)") == "member 0 was u64 and is str");
}
