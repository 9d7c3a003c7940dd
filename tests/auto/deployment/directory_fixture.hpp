#pragma once

#include "quincewing/deployment/server_directory.hpp"

#include <cstdint>
#include <string>

namespace quincewing::testing {

inline store_record record(const char* key, const char* value, std::uint64_t offset)
{
    store_record out{.key = key, .offset = log_offset{offset}};
    if (value != nullptr) {
        out.value = value;
    }
    return out;
}

struct directory_fixture
{
    int unreadable{};
    server_directory directory{
        {},
        {.decode = [](const store_record& from) -> tl::expected<backend_server, std::string> {
             if (*from.value == "bad") {
                 return tl::make_unexpected(std::string{"bad"});
             }
             return backend_server{.id = server_id{from.key},
                                   .address = *from.value,
                                   .draining = *from.value == "draining"};
         },
         .on_unreadable = [this](const auto&, const auto&) { ++unreadable; }}};
    instant now{seconds{100}};
};

} // namespace quincewing::testing
