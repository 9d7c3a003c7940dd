#pragma once

#include "quincewing/base/strong.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace quincewing {

/// An entry host's process: "address:port/instance". A restart makes a new id.
using host_id = strong<struct host_tag, std::string>;
/// A backend server, by the name that operators give it.
using server_id = strong<struct server_tag, std::string>;
/// A service made of backend servers.
using service_id = strong<struct service_tag, std::string>;
using data_centre_id = strong<struct data_centre_tag, std::string>;
/// Unique id of a log record; a repeat of an append keeps it.
using record_id = strong<struct record_tag, std::string>;
using plan_id = strong<struct plan_tag, std::string>;
/// Offset of a record in the platform's log.
using log_offset = strong<struct offset_tag, std::uint64_t>;
/// Rises whenever the store comes back from an older copy; offsets of two eras can't be compared.
/// 0: not known.
using store_era = strong<struct era_tag, std::uint64_t>;
/// A request inside one host.
using request_id = strong<struct request_tag, std::uint64_t>;

/// "address:port" of a host id.
std::string address_of(const host_id& host);
/// Makes a host id of an address and an instance number.
host_id make_host_id(std::string_view address, std::uint64_t instance);

/// A number that only grows; servers that check fences refuse lower ones.
/// The round counts changes made without the log.
struct fence
{
    std::uint64_t offset{};
    std::uint32_t round{};

    auto operator<=>(const fence&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(offset);
        f(round);
    }
};

/// A set of keys of one service that moves as one.
struct shard_id
{
    service_id service;
    std::uint32_t number{};

    auto operator<=>(const shard_id&) const = default;
    template <class F>
    void each_field(F&& f)
    {
        f(service);
        f(number);
    }
};

/// Number that stands for no shard: any server of the service may run the request.
constexpr std::uint32_t any_shard = 0xffffffff;

std::string to_string(const fence& it);
std::string to_string(const shard_id& it);

} // namespace quincewing
