#pragma once

#include "hashing.h"

#include <cstdint>
#include <string_view>

namespace clementinelane {

/// Content hash of a request: the same customer, method, path and body give the
/// same digest on every VM, under any request id.
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
