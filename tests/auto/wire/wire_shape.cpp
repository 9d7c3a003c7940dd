#include "wire_shape.hpp"

#include <vector>

namespace quincewing::testing {

namespace {

constexpr std::string_view opening = "(<[{";
constexpr std::string_view closing = ")>]}";

/// The parts between the outer brackets, split at the separators that stand in no inner ones.
std::vector<std::string_view> parts_of(std::string_view shape)
{
    std::vector<std::string_view> out;
    const auto inner = shape.substr(1, shape.size() - 2);
    std::size_t begin = 0;
    int depth = 0;
    for (std::size_t i = 0; i < inner.size(); ++i) {
        depth += opening.find(inner[i]) != std::string_view::npos ? 1 : 0;
        depth -= closing.find(inner[i]) != std::string_view::npos ? 1 : 0;
        const bool separates = inner[i] == ',' || inner[i] == '|' || inner[i] == ':';
        if (depth == 0 && separates) {
            out.push_back(inner.substr(begin, i - begin));
            begin = i + 1;
        }
    }
    if (!inner.empty()) {
        out.push_back(inner.substr(begin));
    }
    return out;
}

bool is_compound(std::string_view shape)
{
    return !shape.empty() && opening.find(shape.front()) != std::string_view::npos;
}

std::optional<std::string> find_change(std::string_view landed, std::string_view later,
                                       const std::string& place)
{
    if (landed == later) {
        return {};
    }
    const auto changed = [&] {
        return "member " + (place.empty() ? "(whole)" : place) + " was " + std::string{landed} +
               " and is " + std::string{later};
    };
    if (landed.starts_with("?") && later.starts_with("?")) {
        return find_change(landed.substr(1), later.substr(1), place);
    }
    if (!is_compound(landed) || !is_compound(later) || landed.front() != later.front()) {
        return changed();
    }
    const auto before = parts_of(landed);
    const auto after = parts_of(later);
    const bool grows = landed.front() == '(' || landed.front() == '<';
    if (after.size() < before.size() || (!grows && after.size() != before.size())) {
        return changed();
    }
    for (std::size_t i = 0; i < before.size(); ++i) {
        const auto inner = place + (place.empty() ? "" : ".") + std::to_string(i);
        if (auto found = find_change(before[i], after[i], inner)) {
            return found;
        }
    }
    return {};
}

} // namespace

std::optional<std::string> find_change_in_place(std::string_view landed, std::string_view later)
{
    return find_change(landed, later, "");
}

namespace {

using scalar_check = bool (*)(const msgpack::object&, const msgpack::object&);

bool is_extended(const msgpack::object& landed, const msgpack::object& later,
                 scalar_check same_scalar)
{
    if (landed.type != msgpack::type::ARRAY || later.type != msgpack::type::ARRAY) {
        return same_scalar(landed, later);
    }
    const auto& before = landed.via.array;
    const auto& after = later.via.array;
    if (before.size > after.size) {
        return false;
    }
    for (std::uint32_t i = 0; i < before.size; ++i) {
        if (!is_extended(before.ptr[i], after.ptr[i], same_scalar)) {
            return false;
        }
    }
    return true;
}

} // namespace

bool is_extended_by(const msgpack::object& landed, const msgpack::object& later)
{
    return is_extended(landed, later, [](const auto& a, const auto& b) { return a == b; });
}

bool has_kinds_of(const msgpack::object& landed, const msgpack::object& later)
{
    return is_extended(landed, later,
                       [](const auto& a, const auto& b) { return a.type == b.type; });
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (const unsigned char byte : bytes) {
        out += digits[byte >> 4U];
        out += digits[byte & 0xfU];
    }
    return out;
}

std::string from_hex(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        out += static_cast<char>(std::stoi(std::string{text.substr(i, 2)}, nullptr, 16));
    }
    return out;
}

} // namespace quincewing::testing
