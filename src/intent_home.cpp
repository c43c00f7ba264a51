#include "intent_home.h"

#include "config.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

std::uint64_t rendezvousWeight(std::string_view Node, std::string_view Key) {
  return XXH3_64bits_withSeed(Node.data(), Node.size(),
                              XXH3_64bits(Key.data(), Key.size()));
}

std::uint64_t intentStreamOf(std::string_view Customer, std::string_view Key) {
  return rendezvousWeight(Key, Customer) % config::IntentStreams;
}

std::string intentStreamName(std::uint64_t Stream) {
  return "intents-" + std::to_string(Stream);
}

std::vector<peer_info> writersOf(std::uint64_t Stream,
                                 std::span<const peer_info> Vms) {
  const std::string Name = intentStreamName(Stream);
  std::vector<peer_info> Ranked;
  for (const peer_info &Vm : Vms)
    if (!Vm.IsLeaving)
      Ranked.push_back(Vm);
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const peer_info &A, const peer_info &B) {
              const auto OfA = rendezvousWeight(A.DataCentre, Name);
              const auto OfB = rendezvousWeight(B.DataCentre, Name);
              if (OfA != OfB)
                return OfA > OfB;
              return rendezvousWeight(A.Vm, Name) >
                     rendezvousWeight(B.Vm, Name);
            });
  if (Ranked.size() > config::IntentWriters)
    Ranked.resize(config::IntentWriters);
  return Ranked;
}

} // namespace clementinelane
