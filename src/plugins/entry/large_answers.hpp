#pragma once

#include "quincewing/base/time.hpp"

#include <map>
#include <string>

namespace quincewing {

/// Routes that recently had an answer too large to hold while later requests of the connection run.
/// If such an answer breaks off, later requests can't be answered, so none of them is sent to a
/// server before the answer is complete.
class large_answers
{
public:
    /// Records that an answer of the route is large.
    void note(instant now, const std::string& route);
    /// Whether the route had a large answer within the last ten minutes.
    [[nodiscard]] bool expected(instant now, const std::string& route) const;

private:
    /// When the latest one began, by route name.
    std::map<std::string, instant> latest_;
};

} // namespace quincewing
