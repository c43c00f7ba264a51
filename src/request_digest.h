#pragma once

#include "hashing.h"

#include <cstdint>
#include <string_view>

namespace clementinelane {

/// Names what a request asks, whoever carries it: the same customer, path and
/// body give the same digest on every VM, also under another id.
inline std::uint64_t requestDigest(std::string_view Customer,
                                   std::string_view Method,
                                   std::string_view Target,
                                   std::string_view Body) {
  std::uint64_t Digest = stableHash(Customer);
  for (const std::string_view Part : {Method, Target, Body})
    Digest = stableHash(Part, Digest);
  return Digest;
}

} // namespace clementinelane
