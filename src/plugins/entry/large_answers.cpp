#include "large_answers.hpp"

namespace quincewing {

namespace {

// Long enough for routes whose large answers are rare.
constexpr seconds kept_for{600};

} // namespace

void large_answers::note(instant now, const std::string& route)
{
    std::erase_if(latest_, [&](const auto& it) { return now - it.second > kept_for; });
    latest_[route] = now;
}

bool large_answers::expected(instant now, const std::string& route) const
{
    const auto found = latest_.find(route);
    return found != latest_.end() && now - found->second <= kept_for;
}

} // namespace quincewing
