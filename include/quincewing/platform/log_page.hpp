#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace quincewing {

/// An answer of the platform's log to a read.
struct log_page
{
    struct item
    {
        std::uint64_t offset{};
        std::string data;
        template <class F>
        void each_field(F&& f)
        {
            f(offset);
            f(data);
        }
    };
    /// Oldest offset that is still kept.
    std::uint64_t first_kept{};
    /// Offset of the newest record; 0 when there is none.
    std::uint64_t tail{};
    std::vector<item> items;

    template <class F>
    void each_field(F&& f)
    {
        f(first_kept);
        f(tail);
        f(items);
    }
};

std::string encode_page(const log_page& it);
tl::expected<log_page, std::string> decode_page(const std::string& buf);

} // namespace quincewing
