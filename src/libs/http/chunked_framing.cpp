#include "chunked_framing.hpp"

#include <algorithm>
#include <cctype>

namespace quincewing {

namespace {

// Sizes of up to 60 bits: others may overflow somewhere.
constexpr int max_digits = 15;

bool is_text(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 || c == '\t') && byte != 0x7f;
}

unsigned value_of(char digit)
{
    return std::isdigit(static_cast<unsigned char>(digit)) != 0
               ? static_cast<unsigned>(digit - '0')
               : static_cast<unsigned>((digit | 0x20) - 'a' + 10);
}

} // namespace

bool chunked_framing::accept(std::string_view bytes)
{
    while (!bytes.empty() && part_ != part::ambiguous) {
        if (part_ == part::data) {
            const auto n = std::min<std::uint64_t>(left_, bytes.size());
            bytes.remove_prefix(n);
            left_ -= n;
            part_ = left_ == 0 ? part::data_end : part::data;
            continue;
        }
        part_ = after(bytes.front());
        bytes.remove_prefix(1);
    }
    return part_ != part::ambiguous;
}

chunked_framing::part chunked_framing::after_size(char c)
{
    if (std::isxdigit(static_cast<unsigned char>(c)) != 0) {
        constexpr std::uint64_t base = 16;
        left_ = left_ * base + value_of(c);
        return ++digits_ > max_digits ? part::ambiguous : part::size;
    }
    if (digits_ == 0) {
        return part::ambiguous;
    }
    if (c == '\r') {
        return part::size_end;
    }
    return c == ';' ? part::extension : part::ambiguous;
}

chunked_framing::part chunked_framing::after(char c)
{
    const auto expect = [c](char wanted, part next) {
        return c == wanted ? next : part::ambiguous;
    };
    switch (part_) {
    case part::size_start:
        left_ = 0;
        digits_ = 0;
        return after_size(c);
    case part::size:
        return after_size(c);
    case part::extension:
        return is_text(c) ? part::extension : expect('\r', part::size_end);
    case part::size_end:
        return expect('\n', left_ == 0 ? part::trailer_start : part::data);
    case part::data_end:
        return expect('\r', part::data_line_end);
    case part::data_line_end:
        return expect('\n', part::size_start);
    case part::trailer_start:
        if (c == '\r') {
            return part::last_line_end;
        }
        return is_text(c) && c != ' ' && c != '\t' ? part::trailer : part::ambiguous;
    case part::trailer:
        return is_text(c) ? part::trailer : expect('\r', part::trailer_line_end);
    case part::trailer_line_end:
        return expect('\n', part::trailer_start);
    case part::last_line_end:
        return expect('\n', part::done);
    default:
        return part::ambiguous;
    }
}

} // namespace quincewing
