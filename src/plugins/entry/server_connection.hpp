#pragma once

#include "refused_requests.hpp"

#include "quincewing/http/client_connection.hpp"

namespace quincewing {

/// A connection to a backend server, for one request at a time.
class server_connection : public client_connection
{
public:
    using client_connection::client_connection;

    /// A refusal that the server writes once more can't be told from the answer to a later send of
    /// these.
    refused_requests refused;
};

} // namespace quincewing
