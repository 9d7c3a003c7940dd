#include "quincewing/deployment/store_api.hpp"

namespace quincewing {

const char* to_string(store_stream stream)
{
    switch (stream) {
    case store_stream::configuration:
        return "configuration";
    case store_stream::servers:
        return "servers";
    case store_stream::assignment:
        return "assignment";
    case store_stream::hosts:
        return "hosts";
    case store_stream::quarantines:
        return "quarantines";
    }
    return "";
}

const char* to_string(store_status status)
{
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::conflict:
        return "conflict";
    case store_status::dropped:
        return "dropped";
    case store_status::not_done:
        return "not_done";
    case store_status::unknown:
        return "unknown";
    }
    return "";
}

} // namespace quincewing
