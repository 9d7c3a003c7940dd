#pragma once

#include "quincewing/base/ids.hpp"
#include "quincewing/state/entries.hpp"

#include <string>
#include <variant>

namespace quincewing {

/// Add a backend server and give it its share.
struct add_intent
{
    server_entry server;
};
/// Take all shards from a server; it gets no new work.
struct retire_intent
{
    server_id server;
};
/// Move the other shards away from the owner of a hot key.
struct spread_intent
{
    service_id service;
    std::string key;
};
/// Give a key's shard to a server.
struct pin_intent
{
    service_id service;
    std::string key;
    server_id server;
};
/// Set an operators' value.
struct set_intent
{
    std::string name;
    std::string value;
};
/// Level the load of a service.
struct level_intent
{
    service_id service;
};

using intent =
    std::variant<add_intent, retire_intent, spread_intent, pin_intent, set_intent, level_intent>;

} // namespace quincewing
