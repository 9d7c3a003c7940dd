#pragma once

#include <cstdint>
#include <string_view>

namespace quincewing {

/// Checks the lines between the chunks of a request's body, which the parser reads leniently: it
/// takes any two bytes for the end of a chunk, and a bare line feed for a part of an extension.
class chunked_framing
{
public:
    /// The next bytes of the body, from the first size on. Returns false once they are ambiguous.
    bool accept(std::string_view bytes);

private:
    enum class part
    {
        size_start,
        size,
        extension,
        size_end,
        data,
        data_end,
        data_line_end,
        trailer_start,
        trailer,
        trailer_line_end,
        last_line_end,
        done,
        ambiguous
    };

    [[nodiscard]] part after(char c);
    [[nodiscard]] part after_size(char c);

    part part_{part::size_start};
    std::uint64_t left_{};
    int digits_{};
};

} // namespace quincewing
