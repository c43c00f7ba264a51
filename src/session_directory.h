#pragma once

#include "clock.h"
#include "peers.h"
#include "session_token.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace clementinelane {

/// A version that a request proposes for a session. It is settled once it has
/// been chosen for good.
struct session_claim {
  session_binding Binding; ///< without a version: lookup only
  std::string RequestId;
  bool IsSettled = false;
  MSGPACK_DEFINE_MAP(Binding, RequestId, IsSettled)
};

enum class session_operation : std::uint8_t {
  Claim,  ///< record the claim unless one exists; reply with the recorded one
  Settle, ///< record the claim as settled
  Pull    ///< reply with the claims that the sender is a replica of
};

/// Call between VMs; the reply is a list of claims.
struct session_message {
  std::uint8_t Ask = 0; ///< session_operation
  std::string From;
  std::vector<session_claim> Claims;
  MSGPACK_DEFINE_MAP(Ask, From, Claims)
};

/// Returns the VMs that store a session's claim: the highest by rendezvous
/// hash, the last of them in another data centre if there is one.
std::vector<peer_info> sessionReplicas(std::string_view Customer,
                                       std::string_view Session,
                                       std::span<const peer_info> Vms);

/// Inputs of session_directory.
namespace session_event {
/// A request looks up or binds its session's version.
struct bind_requested {
  std::uint64_t BindId;
  session_claim Claim;
};
struct message_received {
  std::uint64_t CallId;
  session_message Message;
};
struct reply_received {
  std::uint64_t RoundId;
  std::string Vm;
  result<std::vector<session_claim>> Claims;
};
struct peers_changed {
  std::vector<peer_info> Peers;
};
} // namespace session_event

using session_input =
    std::variant<session_event::bind_requested, session_event::message_received,
                 session_event::reply_received, session_event::peers_changed>;

/// Outputs of session_directory, performed by session_service.
namespace session_action {
struct send {
  std::uint64_t RoundId; ///< 0: the reply is ignored
  peer_info To;
  session_message Message;
};
struct reply {
  std::uint64_t CallId;
  result<std::vector<session_claim>> Claims;
};
/// Neither a binding nor an error: a lookup of an unknown session.
struct complete_bind {
  std::uint64_t BindId;
  std::error_code Error;
  std::optional<session_binding> Binding;
};
} // namespace session_action

using session_output = std::variant<session_action::send, session_action::reply,
                                    session_action::complete_bind>;

/// Replicates the versions of sessions whose callers send only a session id, on
/// three VMs each. A state machine without I/O.
///
/// A replica records the first claim it receives and replaces it only by a
/// settled one. A claim recorded by two replicas decides the version. If all
/// replicas reply and no two agree, the claim with the lowest (configuration
/// offset, request id) does, which every VM computes alike. For an existing
/// session the settled claim of a single replica is enough. With too few
/// replies the request is refused, so that a session never silently changes its
/// version.
class session_directory {
public:
  explicit session_directory(peer_info Self) : Self(std::move(Self)) {}

  std::vector<session_output> handle(const session_input &Event, mono_time Now);
  std::size_t size() const { return Claims.size(); }
  bool isReady() const { return IsReady; }

private:
  using claim_key = std::pair<std::string, std::string>;
  struct stored_claim {
    session_claim Claim;
    mono_time RecordedAt;
  };
  /// One bind request and the replies of its replicas.
  struct round {
    std::uint64_t BindId = 0;
    session_claim Proposed;
    std::vector<peer_info> Replicas;
    std::set<std::string> Pending;       ///< replicas that have not replied
    std::vector<session_claim> Votes;    ///< one for each reply
    std::set<std::string> SettledVms;    ///< other VMs with a settled claim
    std::optional<session_claim> Chosen; ///< decided, being settled
    std::size_t SettledCount = 0;        ///< replicas that settled it
    std::size_t RequiredCount = 0; ///< settled replicas before the first byte
  };

  void on(const session_event::bind_requested &Event, mono_time Now);
  void on(const session_event::message_received &Event, mono_time Now);
  void on(const session_event::reply_received &Event, mono_time Now);
  void on(const session_event::peers_changed &Event, mono_time Now);

  std::vector<peer_info> members() const;
  bool isReplica(const session_claim &Claim, std::string_view Vm) const;
  session_claim record(const session_claim &Claim, mono_time Now);
  /// Returns false if there is no room or another claim is settled.
  bool settle(const session_claim &Claim, mono_time Now);
  bool isSettledHere(const session_claim &Claim) const;
  std::vector<session_claim> claimsFor(const std::string &Vm) const;
  void pullClaims();
  void pushClaims(const std::set<std::string> &PeerVms);
  void decide(std::uint64_t Id, mono_time Now);
  static std::size_t quorumOf(const round &Round);
  static std::size_t settledVotes(const round &Round);
  static std::optional<session_claim> decidedClaim(const round &Round);
  void startSettling(std::uint64_t Id, const session_claim &Winner,
                     mono_time Now);
  void finish(std::uint64_t Id, std::error_code Error,
              std::optional<session_binding> Binding);
  void removeExpired(mono_time Now);
  template <typename T> void emit(T Action) {
    Actions.emplace_back(std::in_place_type<T>, std::move(Action));
  }

  peer_info Self;
  std::vector<peer_info> Peers;
  std::vector<session_output> Actions;
  std::map<claim_key, stored_claim> Claims;
  std::deque<std::pair<mono_time, claim_key>> ExpiryQueue; ///< oldest first
  std::map<std::uint64_t, round> Rounds;
  std::uint64_t LastRoundId = 0;
  std::uint64_t PullRoundId = 0;
  std::set<std::string> PendingPulls; ///< peers yet to reply to the pull
  bool IsReady = false; ///< has pulled the claims that it replicates
};

} // namespace clementinelane
