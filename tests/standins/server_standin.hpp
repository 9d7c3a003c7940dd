#pragma once

#include "quincewing/net/event_loop.hpp"

#include <string>

namespace quincewing::standin {

struct server_standin_options
{
    std::string address;
    std::string id;
    int slots{2};
    /// Time that one request takes, in microseconds.
    double work_us{1000};
    bool checks_fences{};
    /// After its start the server is this many times slower, less and less.
    double cold_factor{1};
    double cold_ms{0};
    bool journal{true};
    /// The journal is also appended to this file, which outlives the process.
    std::string journal_file;
};

/// A backend server with slots, grants, drain, shedding and a journal.
int run_server(event_loop& loop, const server_standin_options& options);

} // namespace quincewing::standin
