#pragma once

#include "quincewing/codec/codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

/// The encoded form of a type as text, and samples of it, to compare builds with each other.
/// Members in order: struct "(u64,str)", list "[str]", map "{str:u64}", optional "?u64",
/// alternatives "<a|b>".
namespace quincewing::testing {

template <class T>
std::string shape_of();

template <class T>
std::string number_shape()
{
    static_assert(std::is_arithmetic_v<T>);
    if constexpr (std::is_same_v<T, bool>) {
        return "bool";
    } else if constexpr (std::is_floating_point_v<T>) {
        return "f" + std::to_string(sizeof(T) * 8);
    } else {
        return (std::is_signed_v<T> ? "i" : "u") + std::to_string(sizeof(T) * 8);
    }
}

template <class T>
std::string struct_shape()
{
    std::string out;
    T it{};
    it.each_field([&out](auto& field) {
        out += (out.empty() ? "" : ",") + shape_of<std::decay_t<decltype(field)>>();
    });
    return "(" + out + ")";
}

template <class T, std::size_t... I>
std::string variant_shape(std::index_sequence<I...>)
{
    std::string out;
    ((out += (out.empty() ? "" : "|") + shape_of<std::variant_alternative_t<I, T>>()), ...);
    return "<" + out + ">";
}

template <class T>
std::string shape_of()
{
    if constexpr (codec::is_strong<T>::value) {
        return shape_of<decltype(T::value)>();
    } else if constexpr (codec::is_duration<T>::value) {
        return number_shape<typename T::rep>();
    } else if constexpr (codec::fielded<T>) {
        return struct_shape<T>();
    } else if constexpr (std::is_enum_v<T>) {
        return "enum";
    } else if constexpr (codec::is_vector<T>::value) {
        return "[" + shape_of<typename T::value_type>() + "]";
    } else if constexpr (codec::is_map<T>::value) {
        return "{" + shape_of<typename T::key_type>() + ":" + shape_of<typename T::mapped_type>() +
               "}";
    } else if constexpr (codec::is_optional<T>::value) {
        return "?" + shape_of<typename T::value_type>();
    } else if constexpr (codec::is_variant<T>::value) {
        return variant_shape<T>(std::make_index_sequence<std::variant_size_v<T>>{});
    } else if constexpr (std::is_same_v<T, std::string>) {
        return "str";
    } else {
        return number_shape<T>();
    }
}

/// Gives every member a value of its own; lists and maps get one element, optionals a value.
class sample_filler
{
public:
    template <class T>
    void fill(T& it)
    {
        if constexpr (codec::is_strong<T>::value) {
            fill(it.value);
        } else if constexpr (codec::is_duration<T>::value) {
            it = T{next()};
        } else if constexpr (codec::fielded<T>) {
            it.each_field([this](auto& field) { fill(field); });
        } else if constexpr (std::is_enum_v<T>) {
            it = static_cast<T>(1);
        } else if constexpr (codec::is_vector<T>::value) {
            fill(it.emplace_back());
        } else if constexpr (codec::is_map<T>::value) {
            typename T::key_type key{};
            fill(key);
            fill(it[key]);
        } else if constexpr (codec::is_optional<T>::value) {
            fill(it.emplace());
        } else if constexpr (codec::is_variant<T>::value) {
            fill(it.template emplace<0>());
        } else if constexpr (std::is_same_v<T, std::string>) {
            it = "s" + std::to_string(next());
        } else if constexpr (std::is_same_v<T, bool>) {
            it = true;
        } else {
            it = static_cast<T>(next());
        }
    }

private:
    int next() { return ++last_ % max_value; }

    /// Fits the narrowest number.
    static constexpr int max_value = 100;
    int last_{};
};

/// Where `later` can't be read as `landed`, or the other way round: the member's place, as in
/// "3.1", and both shapes. Later members at the end of a struct and later alternatives are allowed.
std::optional<std::string> find_change_in_place(std::string_view landed, std::string_view later);

/// Whether each element of `landed` stands at the same place of `later`, which may have more
/// members at the end of its structs.
bool is_extended_by(const msgpack::object& landed, const msgpack::object& later);

/// The same for the kinds of the elements, whatever their values.
bool has_kinds_of(const msgpack::object& landed, const msgpack::object& later);

std::string to_hex(std::string_view bytes);
std::string from_hex(std::string_view text);

} // namespace quincewing::testing
