#include "quincewing/http/message_reader.hpp"

#include "chunked_framing.hpp"

#include "quincewing/http/request_check.hpp"

#include <array>
#include <event2/buffer.h>
#include <http_parser.h>
#include <strings.h>

namespace quincewing {

namespace {

constexpr std::string_view head_end = "\r\n\r\n";

// Bytes taken by empty lines at the start, which RFC 9112 (section 2.2) lets a server ignore.
std::size_t leading_empty_lines(std::string_view buf)
{
    std::size_t n = 0;
    while (buf.substr(n).starts_with("\r\n")) {
        n += 2;
    }
    return n;
}

bool has_bare_line_feed(std::string_view buf)
{
    for (auto at = buf.find('\n'); at != std::string_view::npos; at = buf.find('\n', at + 1)) {
        if (at == 0 || buf[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

} // namespace

struct message_reader::state
{
    message_reader_options options;
    message_reader_hooks hooks;
    http_parser parser{};
    http_parser_settings settings{};
    message_head head;
    std::string field;
    std::string value;
    bool in_value{};
    bool in_body{};
    bool in_message{};
    bool complete{};
    request_fault fault{};
    chunked_framing chunks;
    /// Before the message.
    std::size_t empty_line_bytes{};

    void begin_message()
    {
        http_parser_init(&parser,
                         options.kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        head = {};
        field.clear();
        value.clear();
        in_value = false;
        in_body = false;
        in_message = false;
        complete = false;
        fault = request_fault::none;
        chunks = {};
        empty_line_bytes = 0;
    }
    void flush_header()
    {
        if (in_value) {
            head.headers.emplace_back(std::move(field), std::move(value));
            field.clear();
            value.clear();
            in_value = false;
        }
    }
    int headers_complete()
    {
        flush_header();
        head.method = options.kind == message_kind::request
                          ? http_method_str(static_cast<http_method>(parser.method))
                          : "";
        head.status = static_cast<int>(parser.status_code);
        head.version_1_1 = parser.http_major == 1 && parser.http_minor == 1;
        head.chunked = (parser.flags & F_CHUNKED) != 0;
        if ((parser.flags & F_CONTENTLENGTH) != 0) {
            head.length = parser.content_length;
        }
        head.keep_alive = http_should_keep_alive(&parser) != 0;
        if (options.kind == message_kind::request) {
            fault = check_request(head);
        }
        if (fault != request_fault::none) {
            // Any other value than 0, 1 and 2 stops the parser with an error.
            return -1;
        }
        in_body = true;
        return hooks.on_head(head) ? 1 : 0;
    }
    bool check_body(std::string_view bytes)
    {
        const bool checked = options.kind == message_kind::request && head.chunked;
        return !checked || chunks.accept(bytes);
    }
    read_result feed(const char* buf, std::size_t n)
    {
        http_parser_execute(&parser, &settings, buf, n);
        const auto error = HTTP_PARSER_ERRNO(&parser);
        if (fault == request_fault::unsupported) {
            return read_result::unsupported;
        }
        if (error == HPE_PAUSED || complete) {
            return read_result::complete;
        }
        return error == HPE_OK ? read_result::need_more : read_result::malformed;
    }
};

message_reader::message_reader(message_reader_options options, message_reader_hooks hooks)
    : state_(std::make_unique<state>())
{
    state_->options = options;
    state_->hooks = std::move(hooks);
    auto& settings = state_->settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* it, const char* at, std::size_t n) {
        static_cast<state*>(it->data)->head.target.append(at, n);
        return 0;
    };
    settings.on_header_field = [](http_parser* it, const char* at, std::size_t n) {
        auto& self = *static_cast<state*>(it->data);
        self.flush_header();
        self.field.append(at, n);
        return 0;
    };
    settings.on_header_value = [](http_parser* it, const char* at, std::size_t n) {
        auto& self = *static_cast<state*>(it->data);
        self.in_value = true;
        self.value.append(at, n);
        return 0;
    };
    settings.on_headers_complete = [](http_parser* it) {
        return static_cast<state*>(it->data)->headers_complete();
    };
    settings.on_body = [](http_parser* it, const char* at, std::size_t n) {
        static_cast<state*>(it->data)->hooks.on_body(at, n);
        return 0;
    };
    settings.on_message_complete = [](http_parser* it) {
        static_cast<state*>(it->data)->complete = true;
        http_parser_pause(it, 1);
        return 0;
    };
    state_->begin_message();
}

message_reader::~message_reader() = default;

read_result message_reader::read(evbuffer* from)
{
    if (state_->complete) {
        state_->begin_message();
    }
    if (!state_->in_body) {
        const auto n = evbuffer_get_length(from);
        if (n == 0) {
            return read_result::need_more;
        }
        const auto scanned = std::min(n, state_->options.max_head + head_end.size());
        const std::string_view buf{
            reinterpret_cast<const char*>(evbuffer_pullup(from, static_cast<ev_ssize_t>(scanned))),
            scanned};
        if (const auto skipped = leading_empty_lines(buf); skipped > 0) {
            evbuffer_drain(from, skipped);
            state_->empty_line_bytes += skipped;
            return state_->empty_line_bytes > state_->options.max_head ? read_result::head_too_long
                                                                       : read(from);
        }
        state_->in_message = true;
        const auto end = buf.find(head_end);
        if (end == std::string_view::npos) {
            if (has_bare_line_feed(buf)) {
                return read_result::malformed;
            }
            return scanned > state_->options.max_head ? read_result::head_too_long
                                                      : read_result::need_more;
        }
        const std::string head{buf.substr(0, end + head_end.size())};
        if (!is_strict_head(head, state_->options.kind == message_kind::request)) {
            return read_result::malformed;
        }
        evbuffer_drain(from, head.size());
        const auto result = state_->feed(head.data(), head.size());
        if (result != read_result::need_more) {
            return result;
        }
        if (!state_->in_body) {
            return read_result::malformed;
        }
    }
    while (evbuffer_get_length(from) > 0) {
        const auto n = evbuffer_get_contiguous_space(from);
        const auto* buf =
            reinterpret_cast<const char*>(evbuffer_pullup(from, static_cast<ev_ssize_t>(n)));
        const auto parsed = http_parser_execute(&state_->parser, &state_->settings, buf, n);
        const bool framed = state_->check_body({buf, parsed});
        evbuffer_drain(from, parsed);
        if (!framed) {
            state_->complete = false;
            return read_result::malformed;
        }
        if (state_->complete) {
            return read_result::complete;
        }
        if (HTTP_PARSER_ERRNO(&state_->parser) != HPE_OK) {
            return read_result::malformed;
        }
    }
    return read_result::need_more;
}

read_result message_reader::end_of_stream()
{
    if (!state_->in_body || state_->complete) {
        return read_result::malformed;
    }
    http_parser_execute(&state_->parser, &state_->settings, nullptr, 0);
    return state_->complete ? read_result::complete : read_result::malformed;
}

bool message_reader::inside_message() const
{
    return state_->in_message && !state_->complete;
}

bool message_reader::inside_body() const
{
    return state_->in_body && !state_->complete;
}

} // namespace quincewing
