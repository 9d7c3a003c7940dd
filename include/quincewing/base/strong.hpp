#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace quincewing {

/// A value of type Rep that does not mix with values of other tags.
template <class Tag, class Rep>
struct strong
{
    Rep value{};

    strong() = default;
    explicit strong(Rep rep) : value(std::move(rep)) {}
    auto operator<=>(const strong&) const = default;
};

} // namespace quincewing

template <class Tag, class Rep>
struct std::hash<quincewing::strong<Tag, Rep>>
{
    std::size_t operator()(const quincewing::strong<Tag, Rep>& it) const noexcept
    {
        return std::hash<Rep>{}(it.value);
    }
};
