#pragma once

#include "quincewing/base/time.hpp"

#include <cstddef>

namespace quincewing {

struct link_watch_options
{
    /// Between signs of life that are asked for while something was sent and nothing heard since.
    duration ping_every{millis{500}};
    /// A link on which nothing was heard for this long since something was sent is given up.
    duration silence{millis{1600}};
    /// Between signs of life of a link without traffic, for each link that the host has.
    duration idle_ping_per_link{millis{10}};
    duration max_idle_ping{seconds{5}};
};

enum class link_action
{
    none,
    ping,
    give_up
};

/// Decides when a link to another host asks for a sign of life and when it is given up. Links that
/// carry nothing cost little, however many there are: a request that is sent on one that has gone
/// silent finds that out as soon as on any other.
class link_watch
{
public:
    explicit link_watch(link_watch_options options = {}) : options_(options) {}

    /// A new connection.
    void reset(instant now);
    /// heard: when a byte last came.
    void on_sent(instant now, instant heard);
    /// What to do now; links: how many the host has. Call it every ping_every.
    link_action check(instant now, instant heard, std::size_t links);

private:
    [[nodiscard]] duration idle_ping(std::size_t links) const;

    link_watch_options options_;
    /// When something was first sent of which no byte that came since is known to be the answer.
    instant unanswered_since_{};
};

} // namespace quincewing
