#include "endpoint_owners.h"

#include "hashing.h"

#include <algorithm>

namespace clementinelane {

bool endpoint_owners::setVms(std::uint64_t OwnHash,
                             std::vector<std::uint64_t> OtherHashes) {
  if (AreKnown && Own == OwnHash && Others == OtherHashes)
    return false;
  Own = OwnHash;
  Others = std::move(OtherHashes);
  AreKnown = true;
  return true;
}

bool endpoint_owners::owns(std::uint32_t Endpoint, std::size_t Count) const {
  if (!AreKnown)
    return false;
  const auto RankOf = [Endpoint](std::uint64_t Vm) {
    return mixBits(Vm ^ mixBits(Endpoint));
  };
  const std::uint64_t OwnRank = RankOf(Own);
  const auto Before =
      std::count_if(Others.begin(), Others.end(),
                    [&](std::uint64_t Vm) { return RankOf(Vm) > OwnRank; });
  return static_cast<std::size_t>(Before) < Count;
}

std::size_t endpoint_owners::ownerCount(std::size_t Count) const {
  return std::min(Count, Others.size() + 1);
}

} // namespace clementinelane
