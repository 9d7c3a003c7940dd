#pragma once

#include "quincewing/http/http_call.hpp"

#include <functional>
#include <string>

namespace quincewing {

class event_loop;

/// The head of a call's request. more: further header lines, each with its line end.
std::string call_head(const http_request& it, const std::string& more = "");

/// Tells the answer of a call. If that throws, the call ends as one that may have been carried out.
void tell_answer(event_loop& loop, const std::function<void(const http_answer&)>& done,
                 const http_answer& answer);

} // namespace quincewing
