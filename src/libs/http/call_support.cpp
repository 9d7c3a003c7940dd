#include "call_support.hpp"

#include "quincewing/net/event_loop.hpp"

namespace quincewing {

std::string call_head(const http_request& it, const std::string& more)
{
    std::string out = it.method + " " + it.path + " HTTP/1.1\r\n";
    if (!it.headers.contains("Host")) {
        out += "Host: " + it.address + "\r\n";
    }
    for (const auto& [name, value] : it.headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    const bool has_length = it.headers.contains("Content-Length");
    if (!has_length && (!it.body.empty() || it.method != "GET")) {
        out += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    }
    return out + more + "\r\n";
}

void tell_answer(event_loop& loop, const std::function<void(const http_answer&)>& done,
                 const http_answer& answer)
{
    if (!loop.guard("answer to a call", [&] { done(answer); })) {
        loop.guard("end of a call", [&] { done({.connection = answer.connection}); });
    }
}

} // namespace quincewing
