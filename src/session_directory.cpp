#include "session_directory.h"

#include "config.h"
#include "intent_home.h"

#include <algorithm>

namespace clementinelane {

namespace {

namespace event = session_event;
namespace action = session_action;

bool isSame(const session_claim &A, const session_claim &B) {
  return A.RequestId == B.RequestId &&
         A.Binding.ConfigOffset == B.Binding.ConfigOffset;
}

bool isEarlier(const session_claim &A, const session_claim &B) {
  return std::tie(A.Binding.ConfigOffset, A.RequestId) <
         std::tie(B.Binding.ConfigOffset, B.RequestId);
}

bool isKnown(const session_claim &Claim) {
  return !Claim.Binding.Version.empty();
}

} // namespace

std::vector<peer_info> sessionHolders(std::string_view Customer,
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
  if (Ranked.size() <= config::SessionHolders)
    return Ranked;
  const auto Last = Ranked.begin() + config::SessionHolders - 1;
  const auto Other =
      std::find_if(Ranked.begin() + 1, Ranked.end(), [&](const peer_info &Vm) {
        return Vm.DataCentre != Ranked.front().DataCentre;
      });
  if (Other != Ranked.end() && Other > Last)
    std::iter_swap(Last, Other);
  Ranked.resize(config::SessionHolders);
  return Ranked;
}

std::vector<session_output>
session_directory::handle(const session_input &Event, mono_time Now) {
  forgetOld(Now);
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  return std::exchange(Actions, {});
}

std::vector<peer_info> session_directory::members() const {
  std::vector<peer_info> All = Peers;
  All.push_back(Self);
  return All;
}

void session_directory::on(const event::bind &Event, mono_time Now) {
  const std::uint64_t Id = ++RoundIds;
  round &Round = Rounds[Id];
  Round.Ticket = Event.Ticket;
  Round.Mine = Event.Claim;
  const session_binding &Binding = Event.Claim.Binding;
  Round.Holders = sessionHolders(Binding.Customer, Binding.Session, members());
  bool IsHolder = false;
  for (const peer_info &Holder : Round.Holders) {
    if (Holder.Vm == Self.Vm) {
      IsHolder = IsReady;
      continue;
    }
    Round.Open.insert(Holder.Vm);
    emit(action::send{Id,
                      Holder,
                      {static_cast<std::uint8_t>(session_ask::Claim),
                       Self.Vm,
                       {Event.Claim}}});
  }
  if (IsHolder)
    Round.Votes.push_back(record(Event.Claim, Now));
  decide(Id, Now);
}

/// Records the first claim of a session and returns what stands.
session_claim session_directory::record(const session_claim &Claim,
                                        mono_time Now) {
  const session_key Key{Claim.Binding.Customer, Claim.Binding.Session};
  const auto Found = Claims.find(Key);
  if (Found != Claims.end())
    return Found->second.Claim;
  // Load: sessions opened faster than they age. Harm prevented: a VM without
  // memory. New ones are not recorded here, so the holders that have room
  // decide, and without two of them the request is refused.
  if (!isKnown(Claim) || Claims.size() >= config::MaxSessions) {
    session_claim None = Claim;
    None.Binding.Version.clear();
    return None;
  }
  Claims[Key] = {Claim, Now};
  Order.emplace_back(Now, Key);
  return Claim;
}

bool session_directory::settle(const session_claim &Claim, mono_time Now) {
  if (!isKnown(Claim))
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
  return isSame(Stored, Claim);
}

void session_directory::on(const event::asked &Event, mono_time Now) {
  const session_message &Message = Event.Message;
  const auto Ask = static_cast<session_ask>(Message.Ask);
  std::vector<session_claim> Out;
  if (Ask == session_ask::Pull)
    Out = pulledBy(Message.From);
  // Guard: a fresh VM knows none of the sessions it is to hold. It would vote
  // for a new version of an old session; until its peers have told it, it has
  // no vote.
  if (Ask == session_ask::Claim && !IsReady)
    return emit(
        action::answer{Event.Call, error_kind::SessionStateUnavailable});
  bool IsStored = true;
  for (const session_claim &Claim : Message.Claims) {
    if (Ask == session_ask::Claim)
      Out.push_back(record(Claim, Now));
    if (Ask == session_ask::Settle)
      IsStored = settle(Claim, Now) && IsStored;
  }
  if (!IsStored)
    return emit(
        action::answer{Event.Call, error_kind::SessionStateUnavailable});
  emit(action::answer{Event.Call, std::move(Out)});
}

bool session_directory::holds(const session_claim &Claim,
                              std::string_view Vm) const {
  const auto Holders =
      sessionHolders(Claim.Binding.Customer, Claim.Binding.Session, members());
  return std::any_of(Holders.begin(), Holders.end(),
                     [&](const peer_info &Each) { return Each.Vm == Vm; });
}

std::vector<session_claim>
session_directory::pulledBy(const std::string &Vm) const {
  std::vector<session_claim> Out;
  for (const auto &[Key, Stored] : Claims)
    if (holds(Stored.Claim, Vm))
      Out.push_back(Stored.Claim);
  return Out;
}

void session_directory::on(const event::peers_seen &Event, mono_time) {
  std::set<std::string> Newcomers;
  for (const peer_info &Peer : Event.Peers)
    Newcomers.insert(Peer.Vm);
  bool IsSame = Newcomers.size() == Peers.size();
  for (const peer_info &Peer : Peers)
    IsSame = Newcomers.contains(Peer.Vm) && IsSame;
  if (IsSame && IsReady)
    return;
  Peers = Event.Peers;
  if (!IsReady && PullRound == 0)
    return pull();
  pushTo(Newcomers);
}

void session_directory::pull() {
  PullRound = ++RoundIds;
  for (const peer_info &Peer : Peers)
    Pulling.insert(Peer.Vm);
  IsReady = Pulling.empty();
  for (const peer_info &Peer : Peers)
    emit(action::send{
        PullRound,
        Peer,
        {static_cast<std::uint8_t>(session_ask::Pull), Self.Vm, {}}});
}

// Guard: a holder is replaced, then another, until nobody knows the session. It
// would show as a conversation that changes its version; when membership
// changes, holders tell those that hold the session now.
void session_directory::pushTo(const std::set<std::string> &Newcomers) {
  std::map<std::string, std::vector<session_claim>> ByVm;
  for (const auto &[Key, Stored] : Claims) {
    if (!Stored.Claim.IsSettled)
      continue;
    for (const peer_info &Holder :
         sessionHolders(Key.first, Key.second, members()))
      if (Holder.Vm != Self.Vm && Newcomers.contains(Holder.Vm))
        ByVm[Holder.Vm].push_back(Stored.Claim);
  }
  for (const peer_info &Peer : Peers) {
    const std::span<const session_claim> All = ByVm[Peer.Vm];
    for (std::size_t From = 0; From < All.size();
         From += config::SessionBatch) {
      const auto Part =
          All.subspan(From, std::min(config::SessionBatch, All.size() - From));
      emit(action::send{0,
                        Peer,
                        {static_cast<std::uint8_t>(session_ask::Settle),
                         Self.Vm,
                         {Part.begin(), Part.end()}}});
    }
  }
}

void session_directory::on(const event::answered &Event, mono_time Now) {
  if (Event.Round == PullRound && PullRound != 0) {
    if (Event.Claims)
      for (const session_claim &Claim : Event.Claims.value()) {
        record(Claim, Now);
        if (Claim.IsSettled)
          settle(Claim, Now);
      }
    Pulling.erase(Event.Vm);
    IsReady = IsReady || Pulling.empty();
    return;
  }
  const auto Found = Rounds.find(Event.Round);
  if (Found == Rounds.end() || Found->second.Open.erase(Event.Vm) == 0)
    return;
  round &Round = Found->second;
  if (Round.Settling)
    Round.Settled += Event.Claims ? 1 : 0;
  else if (Event.Claims && !Event.Claims.value().empty()) {
    Round.Votes.push_back(Event.Claims.value().front());
    if (Round.Votes.back().IsSettled)
      Round.SettledVms.insert(Event.Vm);
  }
  decide(Event.Round, Now);
}

std::size_t session_directory::quorumOf(const round &Round) {
  return std::min(config::SessionQuorum, Round.Holders.size());
}

std::size_t session_directory::settledVotes(const round &Round) {
  return static_cast<std::size_t>(
      std::count_if(Round.Votes.begin(), Round.Votes.end(),
                    [](const auto &Vote) { return Vote.IsSettled; }));
}

/// The version that the answers so far decide on, if they do.
std::optional<session_claim> session_directory::winnerOf(const round &Round) {
  const std::size_t Quorum = quorumOf(Round);
  // A holder that has not answered may know of a settled version.
  if (!Round.Open.empty() && settledVotes(Round) < Quorum)
    return std::nullopt;
  for (const session_claim &Vote : Round.Votes)
    if (Vote.IsSettled)
      return Vote;
  std::vector<session_claim> Known;
  std::copy_if(Round.Votes.begin(), Round.Votes.end(),
               std::back_inserter(Known), isKnown);
  for (const session_claim &Vote : Known) {
    const auto Same =
        std::count_if(Known.begin(), Known.end(),
                      [&](const auto &Other) { return isSame(Vote, Other); });
    if (static_cast<std::size_t>(Same) >= Quorum)
      return Vote;
  }
  if (!Known.empty() && Round.Votes.size() == Round.Holders.size())
    return *std::min_element(Known.begin(), Known.end(), isEarlier);
  return std::nullopt;
}

void session_directory::decide(std::uint64_t Id, mono_time Now) {
  round &Round = Rounds.at(Id);
  if (Round.Settling) {
    if (Round.Settled >= Round.Needed)
      return finish(Id, {}, Round.Settling->Binding);
    if (Round.Open.empty())
      finish(Id, error_kind::SessionStateUnavailable, std::nullopt);
    return;
  }
  if (const auto Winner = winnerOf(Round))
    return startSettling(Id, *Winner, Now);
  if (!Round.Open.empty())
    return;
  const bool IsUnknown =
      Round.Votes.size() == Round.Holders.size() && !isKnown(Round.Mine);
  finish(Id,
         IsUnknown ? std::error_code() : error_kind::SessionStateUnavailable,
         std::nullopt);
}

// Guard: the first byte goes out, the only VM that has recorded the version
// dies, and the next request is given another. Two holders have it before; of
// an old session, as many of them as answer.
void session_directory::startSettling(std::uint64_t Id,
                                      const session_claim &Winner,
                                      mono_time Now) {
  round &Round = Rounds.at(Id);
  Round.Needed = Winner.IsSettled
                     ? std::min(quorumOf(Round), Round.Votes.size())
                     : quorumOf(Round);
  Round.Settled = settledVotes(Round);
  Round.Settling = Winner;
  Round.Settling->IsSettled = true;
  Round.Open.clear();
  const bool IsEnough = Round.Settled >= Round.Needed;
  for (const peer_info &Holder : Round.Holders) {
    if (Holder.Vm == Self.Vm) {
      const bool WasSettled = isSettledHere(Winner);
      const bool IsStored = settle(*Round.Settling, Now) && IsReady;
      Round.Settled += IsStored && !WasSettled ? 1 : 0;
      continue;
    }
    if (Round.SettledVms.contains(Holder.Vm))
      continue;
    if (!IsEnough)
      Round.Open.insert(Holder.Vm);
    emit(action::send{IsEnough ? 0 : Id,
                      Holder,
                      {static_cast<std::uint8_t>(session_ask::Settle),
                       Self.Vm,
                       {*Round.Settling}}});
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
  emit(action::bound{Rounds.at(Id).Ticket, Error, std::move(Binding)});
  Rounds.erase(Id);
}

void session_directory::forgetOld(mono_time Now) {
  while (!Order.empty() &&
         Order.front().first + config::SessionTokenMaxAge <= Now) {
    Claims.erase(Order.front().second);
    Order.pop_front();
  }
}

} // namespace clementinelane
