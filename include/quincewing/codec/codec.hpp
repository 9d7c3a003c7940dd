#pragma once

#include "quincewing/base/strong.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// MessagePack for types that list their members in each_field. A struct is an array: missing
/// trailing members keep their defaults and unknown ones are passed over, so that builds understand
/// each other as long as members and alternatives are only added at the end.
namespace quincewing::codec {

/// Calls for every member; lets is_fielded detect the method.
struct any_visitor
{
    template <class T>
    void operator()(T&)
    {
    }
};

template <class T>
concept fielded = requires(T& it, any_visitor v)
{
    it.each_field(v);
};

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_map : std::false_type
{
};
template <class K, class V>
struct is_map<std::map<K, V>> : std::true_type
{
};
template <class T>
struct is_optional : std::false_type
{
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type
{
};
template <class T>
struct is_variant : std::false_type
{
};
template <class... T>
struct is_variant<std::variant<T...>> : std::true_type
{
};
template <class T>
struct is_duration : std::false_type
{
};
template <class R, class P>
struct is_duration<std::chrono::duration<R, P>> : std::true_type
{
};
template <class T>
struct is_strong : std::false_type
{
};
template <class T, class R>
struct is_strong<strong<T, R>> : std::true_type
{
};

using packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
void put(packer& out, const T& it);

template <class T>
void put_fields(packer& out, const T& it)
{
    auto& fields = const_cast<T&>(it);
    std::uint32_t n = 0;
    fields.each_field([&n](auto&) { ++n; });
    out.pack_array(n);
    fields.each_field([&out](auto& field) { put(out, field); });
}

template <class T>
void put(packer& out, const T& it)
{
    if constexpr (is_strong<T>::value) {
        put(out, it.value);
    } else if constexpr (is_duration<T>::value) {
        out.pack(it.count());
    } else if constexpr (fielded<T>) {
        put_fields(out, it);
    } else if constexpr (std::is_enum_v<T>) {
        out.pack(static_cast<std::uint64_t>(it));
    } else if constexpr (is_vector<T>::value) {
        out.pack_array(static_cast<std::uint32_t>(it.size()));
        for (const auto& element : it) {
            put(out, element);
        }
    } else if constexpr (is_map<T>::value) {
        out.pack_array(static_cast<std::uint32_t>(it.size() * 2));
        for (const auto& [key, element] : it) {
            put(out, key);
            put(out, element);
        }
    } else if constexpr (is_optional<T>::value) {
        out.pack_array(it ? 1 : 0);
        if (it) {
            put(out, *it);
        }
    } else if constexpr (is_variant<T>::value) {
        out.pack_array(2);
        out.pack(static_cast<std::uint64_t>(it.index()));
        std::visit([&out](const auto& element) { put(out, element); }, it);
    } else {
        out.pack(it);
    }
}

inline const msgpack::object_array& array_of(const msgpack::object& from)
{
    if (from.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    return from.via.array;
}

/// A later build's alternative of a variant.
struct unknown_alternative : msgpack::type_error
{
};

template <class T>
void get(const msgpack::object& from, T& it);

template <class T, std::size_t I = 0>
void get_alternative(std::uint64_t index, const msgpack::object& from, T& it)
{
    if constexpr (I == std::variant_size_v<T>) {
        throw unknown_alternative{};
    } else if (index == I) {
        get(from, it.template emplace<I>());
    } else {
        get_alternative<T, I + 1>(index, from, it);
    }
}

template <class T>
void get_map(const msgpack::object_array& items, T& it)
{
    it.clear();
    for (std::uint32_t i = 0; i + 1 < items.size; i += 2) {
        typename T::key_type key{};
        get(items.ptr[i], key);
        get(items.ptr[i + 1], it[std::move(key)]);
    }
}

template <class T>
void get(const msgpack::object& from, T& it)
{
    if constexpr (is_strong<T>::value) {
        get(from, it.value);
    } else if constexpr (is_duration<T>::value) {
        it = T{from.as<typename T::rep>()};
    } else if constexpr (fielded<T>) {
        const auto& items = array_of(from);
        std::uint32_t i = 0;
        it.each_field([&](auto& field) {
            if (i < items.size) {
                get(items.ptr[i], field);
            }
            ++i;
        });
    } else if constexpr (std::is_enum_v<T>) {
        it = static_cast<T>(from.as<std::uint8_t>());
    } else if constexpr (is_vector<T>::value) {
        const auto& items = array_of(from);
        it.clear();
        it.resize(items.size);
        for (std::uint32_t i = 0; i < items.size; ++i) {
            get(items.ptr[i], it[i]);
        }
    } else if constexpr (is_map<T>::value) {
        get_map(array_of(from), it);
    } else if constexpr (is_optional<T>::value) {
        const auto& items = array_of(from);
        it.reset();
        if (items.size > 0) {
            get(items.ptr[0], it.emplace());
        }
    } else if constexpr (is_variant<T>::value) {
        const auto& items = array_of(from);
        if (items.size < 2) {
            throw msgpack::type_error{};
        }
        get_alternative(items.ptr[0].as<std::uint64_t>(), items.ptr[1], it);
    } else {
        from.convert(it);
    }
}

template <class T>
std::string encode(const T& it)
{
    msgpack::sbuffer buf;
    packer out{buf};
    put(out, it);
    return {buf.data(), buf.size()};
}

/// Largest counts and sizes that are read; the library makes room for what a header says before it
/// reads on.
inline const msgpack::unpack_limit& read_limits()
{
    constexpr std::size_t max_items = 4UL * 1024 * 1024;
    constexpr std::size_t max_bytes = 64UL * 1024 * 1024;
    constexpr std::size_t max_depth = 64;
    static const msgpack::unpack_limit out{max_items, max_items, max_bytes,
                                           max_bytes, max_bytes, max_depth};
    return out;
}

/// The value, or what is wrong with the bytes.
template <class T>
tl::expected<T, std::string> decode(std::string_view buf)
{
    try {
        const auto handle =
            msgpack::unpack(buf.data(), buf.size(), nullptr, nullptr, read_limits());
        T it{};
        get(handle.get(), it);
        return it;
    } catch (const std::exception& e) {
        return tl::make_unexpected(std::string{"not readable: "} + e.what());
    }
}

} // namespace quincewing::codec
