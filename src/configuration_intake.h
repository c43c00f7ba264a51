#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Asks a router for the newest configuration that it has read.
struct configuration_query {
  bool WantsContent = false; ///< not only its version
};

/// What a router knows of the configuration.
struct configuration_reply {
  std::uint64_t Version = 0; ///< in use there; 0: none
  std::uint64_t Era = 0;     ///< of the store, as known there; 0: unknown
  std::string Content;       ///< as read from the store; empty: not wanted, or
                             ///< too large for a datagram
};

std::string encodeConfigurationQuery(const configuration_query &Query);
/// None if the bytes are malformed.
std::optional<configuration_query>
decodeConfigurationQuery(std::string_view Bytes);
/// Leaves the content out if a datagram can't carry it.
std::string encodeConfigurationReply(const configuration_reply &Reply);
/// None if the bytes are malformed.
std::optional<configuration_reply>
decodeConfigurationReply(std::string_view Bytes);

/// Decides whether the store's confirmation of a configuration counts, and
/// which peers to ask for a newer one; does no I/O.
///
/// Failure: the store comes back from an older copy, and a router that starts
/// then reads a configuration with keys that were revoked since. Harm
/// prevented: it accepts them although other routers know better. Versions only
/// rise, so a confirmation counts once the configuration in use is no older
/// than any that a peer has told. A router that starts asks its peers first,
/// but only for config::PeerAnswersTimeout: peers may be dead, or of a release
/// that doesn't answer. One that hears nobody goes by the store alone.
class configuration_intake {
public:
  struct ask {
    std::string Address;
    bool WantsContent = false;
  };

  /// `Seed` selects which peers are asked first.
  explicit configuration_intake(std::uint64_t Seed) : Seed(Seed) {}

  /// No peers can be asked.
  void setAlone() { IsSettled = true; }
  /// The other routers, whether alive or not. Only the first call counts.
  void setPeers(std::vector<std::string> Addresses, mono_time Now);
  void setInUse(std::uint64_t Version);
  /// A peer has this version.
  void noteVersion(const std::string &Peer, std::uint64_t Version,
                   mono_time Now);
  /// An answer to ask(); it may be late.
  void noteAnswer(const std::string &Peer, std::uint64_t Version,
                  mono_time Now);
  /// A read of the store sent at `SentAt` confirmed what the store has.
  void confirm(mono_time SentAt, mono_time Now);
  /// Peers to ask now; call periodically.
  std::vector<ask> takeAsks(mono_time Now);
  /// The newest confirmation that counts for the configuration in use.
  std::optional<mono_time> confirmation(mono_time Now);

  std::uint64_t newestTold() const { return Newest; }
  /// Whether peers have told of a newer configuration than the one in use.
  bool isBehind() const { return InUse < Newest; }

private:
  bool mayGoByStore(mono_time Now);

  std::uint64_t Seed;
  std::uint64_t InUse = 0;
  std::uint64_t Newest = 0;      ///< of those that peers have told
  std::set<std::string> Holders; ///< peers that have `Newest`
  std::optional<mono_time> BehindSince;
  std::vector<std::string> Unanswered; ///< in the order in which they are asked
  std::size_t Next = 0;                ///< of these
  std::size_t Informed = 0; ///< answers of peers with a configuration
  std::optional<mono_time> AskedSince;
  std::optional<mono_time> LastAskedAt;
  std::optional<mono_time> FirstConfirmedAt; ///< when, on this router's clock
  std::optional<mono_time> ConfirmedAt;      ///< when the read was sent
  std::optional<mono_time> ContentAskedAt;
  std::size_t ContentAsks = 0;
  bool IsSettled = false; ///< waits for no more answers
  bool HasCounted = false;
};

} // namespace clementinelane
