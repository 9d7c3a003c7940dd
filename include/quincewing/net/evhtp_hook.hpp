#pragma once

#include <evhtp/evhtp.h>

namespace quincewing {

/// The library keeps hooks of all kinds as one function type and casts back before the call.
template <class F>
evhtp_hook as_evhtp_hook(F* hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

} // namespace quincewing
