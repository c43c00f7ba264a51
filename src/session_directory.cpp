#include "session_directory.h"

#include "config.h"
#include "intent_home.h"

#include <algorithm>

namespace clementinelane {

namespace {

namespace event = session_event;
namespace action = session_action;

bool isSameClaim(const session_claim &A, const session_claim &B) {
  return A.RequestId == B.RequestId &&
         A.Binding.ConfigOffset == B.Binding.ConfigOffset;
}

bool isEarlier(const session_claim &A, const session_claim &B) {
  return std::tie(A.Binding.ConfigOffset, A.RequestId) <
         std::tie(B.Binding.ConfigOffset, B.RequestId);
}

bool hasVersion(const session_claim &Claim) {
  return !Claim.Binding.Version.empty();
}

} // namespace

std::vector<peer_info> sessionReplicas(std::string_view Customer,
                                       std::string_view Session,
                                       std::span<const peer_info> Vms) {
  const std::string Key = std::string(Customer) + "\n" + std::string(Session);
  std::vector<peer_info> Ranked;
  for (const peer_info &Vm : Vms)
    if (!Vm.IsLeaving)
      Ranked.push_back(Vm);
  std::sort(Ranked.begin(), Ranked.end(), [&](const auto &A, const auto &B) {
    return rendezvousWeight(A.Vm, Key) > rendezvousWeight(B.Vm, Key);
  });
  if (Ranked.size() <= config::SessionReplicas)
    return Ranked;
  const auto Last = Ranked.begin() + config::SessionReplicas - 1;
  const auto Remote =
      std::find_if(Ranked.begin() + 1, Ranked.end(), [&](const peer_info &Vm) {
        return Vm.DataCentre != Ranked.front().DataCentre;
      });
  if (Remote != Ranked.end() && Remote > Last)
    std::iter_swap(Last, Remote);
  Ranked.resize(config::SessionReplicas);
  return Ranked;
}

std::vector<session_output>
session_directory::handle(const session_input &Event, mono_time Now) {
  removeExpired(Now);
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  return std::exchange(Actions, {});
}

std::vector<peer_info> session_directory::members() const {
  std::vector<peer_info> All = Peers;
  All.push_back(Self);
  return All;
}

void session_directory::on(const event::bind_requested &Event, mono_time Now) {
  const std::uint64_t Id = ++LastRoundId;
  round &Round = Rounds[Id];
  Round.BindId = Event.BindId;
  Round.Proposed = Event.Claim;
  const session_binding &Binding = Event.Claim.Binding;
  Round.Replicas =
      sessionReplicas(Binding.Customer, Binding.Session, members());
  bool IsReplica = false;
  for (const peer_info &Replica : Round.Replicas) {
    if (Replica.Vm == Self.Vm) {
      IsReplica = IsReady;
      continue;
    }
    Round.Pending.insert(Replica.Vm);
    emit(action::send{Id,
                      Replica,
                      {static_cast<std::uint8_t>(session_operation::Claim),
                       Self.Vm,
                       {Event.Claim}}});
  }
  if (IsReplica)
    Round.Votes.push_back(record(Event.Claim, Now));
  decide(Id, Now);
}

/// Records the first claim of a session and returns the recorded one.
session_claim session_directory::record(const session_claim &Claim,
                                        mono_time Now) {
  const claim_key Key{Claim.Binding.Customer, Claim.Binding.Session};
  const auto Found = Claims.find(Key);
  if (Found != Claims.end())
    return Found->second.Claim;
  // Load: sessions opened faster than they expire. Harm prevented: a VM running
  // out of memory. New claims aren't recorded here; the replicas with room
  // decide, and without two of them the request is refused.
  if (!hasVersion(Claim) || Claims.size() >= config::MaxSessions) {
    session_claim None = Claim;
    None.Binding.Version.clear();
    return None;
  }
  Claims[Key] = {Claim, Now};
  ExpiryQueue.emplace_back(Now, Key);
  return Claim;
}

bool session_directory::settle(const session_claim &Claim, mono_time Now) {
  if (!hasVersion(Claim))
    return false;
  record(Claim, Now);
  const auto Found =
      Claims.find({Claim.Binding.Customer, Claim.Binding.Session});
  if (Found == Claims.end())
    return false;
  session_claim &Stored = Found->second.Claim;
  if (!Stored.IsSettled)
    Stored = Claim;
  Stored.IsSettled = true;
  return isSameClaim(Stored, Claim);
}

void session_directory::on(const event::message_received &Event,
                           mono_time Now) {
  const session_message &Message = Event.Message;
  const auto Ask = static_cast<session_operation>(Message.Ask);
  std::vector<session_claim> Out;
  if (Ask == session_operation::Pull)
    Out = claimsFor(Message.From);
  // Guard: a new VM has none of the claims that it replicates, so it would vote
  // for a new version of an existing session. It doesn't vote until its peers
  // have replied to the initial pull.
  if (Ask == session_operation::Claim && !IsReady)
    return emit(
        action::reply{Event.CallId, error_kind::SessionStateUnavailable});
  bool IsStored = true;
  for (const session_claim &Claim : Message.Claims) {
    if (Ask == session_operation::Claim)
      Out.push_back(record(Claim, Now));
    if (Ask == session_operation::Settle)
      IsStored = settle(Claim, Now) && IsStored;
  }
  if (!IsStored)
    return emit(
        action::reply{Event.CallId, error_kind::SessionStateUnavailable});
  emit(action::reply{Event.CallId, std::move(Out)});
}

bool session_directory::isReplica(const session_claim &Claim,
                                  std::string_view Vm) const {
  const auto Replicas =
      sessionReplicas(Claim.Binding.Customer, Claim.Binding.Session, members());
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [&](const peer_info &Each) { return Each.Vm == Vm; });
}

std::vector<session_claim>
session_directory::claimsFor(const std::string &Vm) const {
  std::vector<session_claim> Out;
  for (const auto &[Key, Stored] : Claims)
    if (isReplica(Stored.Claim, Vm))
      Out.push_back(Stored.Claim);
  return Out;
}

void session_directory::on(const event::peers_changed &Event, mono_time) {
  std::set<std::string> PeerVms;
  for (const peer_info &Peer : Event.Peers)
    PeerVms.insert(Peer.Vm);
  bool IsSame = PeerVms.size() == Peers.size();
  for (const peer_info &Peer : Peers)
    IsSame = PeerVms.contains(Peer.Vm) && IsSame;
  if (IsSame && IsReady)
    return;
  Peers = Event.Peers;
  if (!IsReady && PullRoundId == 0)
    return pullClaims();
  pushClaims(PeerVms);
}

void session_directory::pullClaims() {
  PullRoundId = ++LastRoundId;
  for (const peer_info &Peer : Peers)
    PendingPulls.insert(Peer.Vm);
  IsReady = PendingPulls.empty();
  for (const peer_info &Peer : Peers)
    emit(action::send{
        PullRoundId,
        Peer,
        {static_cast<std::uint8_t>(session_operation::Pull), Self.Vm, {}}});
}

// Guard: replicas are replaced one after another until none has the claim, and
// the session changes its version. When membership changes, each VM pushes its
// settled claims to their current replicas.
void session_directory::pushClaims(const std::set<std::string> &PeerVms) {
  std::map<std::string, std::vector<session_claim>> ByVm;
  for (const auto &[Key, Stored] : Claims) {
    if (!Stored.Claim.IsSettled)
      continue;
    for (const peer_info &Replica :
         sessionReplicas(Key.first, Key.second, members()))
      if (Replica.Vm != Self.Vm && PeerVms.contains(Replica.Vm))
        ByVm[Replica.Vm].push_back(Stored.Claim);
  }
  for (const peer_info &Peer : Peers) {
    const std::span<const session_claim> All = ByVm[Peer.Vm];
    for (std::size_t From = 0; From < All.size();
         From += config::SessionBatch) {
      const auto Batch =
          All.subspan(From, std::min(config::SessionBatch, All.size() - From));
      emit(action::send{0,
                        Peer,
                        {static_cast<std::uint8_t>(session_operation::Settle),
                         Self.Vm,
                         {Batch.begin(), Batch.end()}}});
    }
  }
}

void session_directory::on(const event::reply_received &Event, mono_time Now) {
  if (Event.RoundId == PullRoundId && PullRoundId != 0) {
    if (Event.Claims)
      for (const session_claim &Claim : Event.Claims.value()) {
        record(Claim, Now);
        if (Claim.IsSettled)
          settle(Claim, Now);
      }
    PendingPulls.erase(Event.Vm);
    IsReady = IsReady || PendingPulls.empty();
    return;
  }
  const auto Found = Rounds.find(Event.RoundId);
  if (Found == Rounds.end() || Found->second.Pending.erase(Event.Vm) == 0)
    return;
  round &Round = Found->second;
  if (Round.Chosen)
    Round.SettledCount += Event.Claims ? 1 : 0;
  else if (Event.Claims && !Event.Claims.value().empty()) {
    Round.Votes.push_back(Event.Claims.value().front());
    if (Round.Votes.back().IsSettled)
      Round.SettledVms.insert(Event.Vm);
  }
  decide(Event.RoundId, Now);
}

std::size_t session_directory::quorumOf(const round &Round) {
  return std::min(config::SessionQuorum, Round.Replicas.size());
}

std::size_t session_directory::settledVotes(const round &Round) {
  return static_cast<std::size_t>(
      std::count_if(Round.Votes.begin(), Round.Votes.end(),
                    [](const auto &Vote) { return Vote.IsSettled; }));
}

/// Returns the claim that the replies so far decide on, if any.
std::optional<session_claim>
session_directory::decidedClaim(const round &Round) {
  const std::size_t Quorum = quorumOf(Round);
  // A replica that has not replied may have a settled claim.
  if (!Round.Pending.empty() && settledVotes(Round) < Quorum)
    return std::nullopt;
  for (const session_claim &Vote : Round.Votes)
    if (Vote.IsSettled)
      return Vote;
  std::vector<session_claim> Known;
  std::copy_if(Round.Votes.begin(), Round.Votes.end(),
               std::back_inserter(Known), hasVersion);
  for (const session_claim &Vote : Known) {
    const auto Same =
        std::count_if(Known.begin(), Known.end(), [&](const auto &Remote) {
          return isSameClaim(Vote, Remote);
        });
    if (static_cast<std::size_t>(Same) >= Quorum)
      return Vote;
  }
  if (!Known.empty() && Round.Votes.size() == Round.Replicas.size())
    return *std::min_element(Known.begin(), Known.end(), isEarlier);
  return std::nullopt;
}

void session_directory::decide(std::uint64_t Id, mono_time Now) {
  round &Round = Rounds.at(Id);
  if (Round.Chosen) {
    if (Round.SettledCount >= Round.RequiredCount)
      return finish(Id, {}, Round.Chosen->Binding);
    if (Round.Pending.empty())
      finish(Id, error_kind::SessionStateUnavailable, std::nullopt);
    return;
  }
  if (const auto Winner = decidedClaim(Round))
    return startSettling(Id, *Winner, Now);
  if (!Round.Pending.empty())
    return;
  const bool IsUnknown = Round.Votes.size() == Round.Replicas.size() &&
                         !hasVersion(Round.Proposed);
  finish(Id,
         IsUnknown ? std::error_code() : error_kind::SessionStateUnavailable,
         std::nullopt);
}

// Guard: after the first byte is sent, the only VM that recorded the version
// fails, and the next request gets another version. So two replicas must settle
// the claim first; for an existing session, as many of them as reply.
void session_directory::startSettling(std::uint64_t Id,
                                      const session_claim &Winner,
                                      mono_time Now) {
  round &Round = Rounds.at(Id);
  Round.RequiredCount = Winner.IsSettled
                            ? std::min(quorumOf(Round), Round.Votes.size())
                            : quorumOf(Round);
  Round.SettledCount = settledVotes(Round);
  Round.Chosen = Winner;
  Round.Chosen->IsSettled = true;
  Round.Pending.clear();
  const bool IsEnough = Round.SettledCount >= Round.RequiredCount;
  for (const peer_info &Replica : Round.Replicas) {
    if (Replica.Vm == Self.Vm) {
      const bool WasSettled = isSettledHere(Winner);
      const bool IsStored = settle(*Round.Chosen, Now) && IsReady;
      Round.SettledCount += IsStored && !WasSettled ? 1 : 0;
      continue;
    }
    if (Round.SettledVms.contains(Replica.Vm))
      continue;
    if (!IsEnough)
      Round.Pending.insert(Replica.Vm);
    emit(action::send{IsEnough ? 0 : Id,
                      Replica,
                      {static_cast<std::uint8_t>(session_operation::Settle),
                       Self.Vm,
                       {*Round.Chosen}}});
  }
  decide(Id, Now);
}

bool session_directory::isSettledHere(const session_claim &Claim) const {
  const auto Found =
      Claims.find({Claim.Binding.Customer, Claim.Binding.Session});
  return Found != Claims.end() && Found->second.Claim.IsSettled;
}

void session_directory::finish(std::uint64_t Id, std::error_code Error,
                               std::optional<session_binding> Binding) {
  emit(action::complete_bind{Rounds.at(Id).BindId, Error, std::move(Binding)});
  Rounds.erase(Id);
}

void session_directory::removeExpired(mono_time Now) {
  while (!ExpiryQueue.empty() &&
         ExpiryQueue.front().first + config::SessionTokenMaxAge <= Now) {
    Claims.erase(ExpiryQueue.front().second);
    ExpiryQueue.pop_front();
  }
}

} // namespace clementinelane
