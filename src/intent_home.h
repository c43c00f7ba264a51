#pragma once

#include "peers.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Rendezvous weight of `Node` for `Key`; all VMs compute the same.
std::uint64_t rendezvousWeight(std::string_view Node, std::string_view Key);

/// Index of the stream that holds the intents of a key, below
/// config::IntentStreams.
std::uint64_t intentStreamOf(std::string_view Customer, std::string_view Key);
std::string intentStreamName(std::uint64_t Stream);

/// The writers of `Stream`, best first: up to config::IntentWriters VMs, those
/// of its home data centre first. VMs with different views of the membership
/// may choose different writers, which is harmless as the log order decides.
std::vector<peer_info> writersOf(std::uint64_t Stream,
                                 std::span<const peer_info> Vms);

} // namespace clementinelane
