#include "quincewing/admission/request_fingerprint.hpp"

#include "quincewing/base/hash.hpp"

namespace quincewing {

std::uint64_t fingerprint_of(const request_contents& it)
{
    auto out = stable_hash(it.body, stable_hash(it.target, stable_hash(it.method)));
    std::uint64_t position = 0;
    for (const auto part : {it.host, it.credentials}) {
        ++position;
        if (!part.empty()) {
            out = stable_hash(part, out + position);
        }
    }
    return out;
}

} // namespace quincewing
