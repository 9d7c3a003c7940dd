#include "quincewing/base/hash.hpp"
#include "quincewing/base/ids.hpp"
#include "quincewing/base/invariant.hpp"
#include "quincewing/base/verdict.hpp"

#include <cstdio>
#include <cstdlib>
#include <xxhash.h>

namespace quincewing {

std::string address_of(const host_id& host)
{
    return host.value.substr(0, host.value.find('/'));
}

host_id make_host_id(std::string_view address, std::uint64_t instance)
{
    char buf[20];
    std::snprintf(buf, sizeof buf, "/%016llx", static_cast<unsigned long long>(instance));
    return host_id{std::string{address} + buf};
}

std::string to_string(const fence& it)
{
    return std::to_string(it.offset) + "." + std::to_string(it.round);
}

std::string to_string(const shard_id& it)
{
    return it.service.value + "/" + std::to_string(it.number);
}

const char* to_string(verdict it)
{
    switch (it) {
    case verdict::not_run:
        return "not_run";
    case verdict::unknown:
        return "unknown";
    case verdict::ran:
        return "ran";
    }
    return "unknown";
}

std::uint64_t stable_hash(std::string_view buf, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(buf.data(), buf.size(), seed);
}

void check_invariant(bool holds, const char* what)
{
    if (holds) {
        return;
    }
    std::fprintf(stderr, "invariant broken: %s\n", what);
    std::abort();
}

} // namespace quincewing
