#include "membership_p.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

/// Member table of `membership`: known members and their state transitions.
namespace clementinelane {

namespace {

struct member_state_row {
  std::string_view Event; ///< log event when a member enters the state
  std::string_view State; ///< name in the member table
};

constexpr std::array<member_state_row,
                     static_cast<std::size_t>(member_state::Count)>
    StateRows{{{"member_alive", "alive"},
               {"member_suspected", "suspect"},
               {"member_leaving", "leaving"},
               {"member_suspected", "leaving_suspect"},
               {"member_dead", "dead"},
               {"member_left", "left"}}};

const member_state_row &rowOf(std::uint64_t Version) {
  const auto Index = static_cast<std::size_t>(memberStateOf(Version));
  return StateRows[std::min(Index, StateRows.size() - 1)];
}

bool isSuspected(std::uint64_t Version) {
  return memberStateOf(Version) == member_state::Suspect ||
         memberStateOf(Version) == member_state::LeavingSuspect;
}

std::uint64_t hashOf(const std::string &Link) {
  return XXH64(Link.data(), Link.size(), 0);
}

} // namespace

void membership::announceSelf(mono_time Now) {
  const member_state State =
      IsLeaving ? member_state::Leaving : member_state::Alive;
  publish(
      entry_kind::Member, "", versionOf(Incarnation, State),
      encodeProfile({Self.Vm, Self.DataCentre, Self.Region, Self.EntryLink}),
      Now);
}

// Guard: a live member may be suspected, marked dead, or known under a higher
// incarnation from before a restart; peers then send it nothing. It refutes
// this with a higher incarnation, which only the member itself may start and
// which wins every merge.
void membership::refute(std::uint64_t Version, mono_time Now) {
  const gossip_entry *Own = Store.find(entry_kind::Member, Self.Link);
  if (Own && Version <= Own->Version)
    return;
  Incarnation = std::max(Incarnation, incarnationOf(Version)) + 1;
  announceSelf(Now);
}

bool membership::mergeEntry(const gossip_entry &Entry, mono_time Now,
                            membership_output &Out, bool Propagate) {
  const bool IsMember =
      Entry.Kind == static_cast<std::uint8_t>(entry_kind::Member);
  if (IsMember && Entry.Source == Self.Link) {
    refute(Entry.Version, Now);
    return false;
  }
  if (!Store.merge(Entry, Now, Propagate))
    return false;
  if (Entry.Kind == static_cast<std::uint8_t>(entry_kind::Reach))
    ReachedAt[Entry.Source] = Now;
  if (Entry.Kind == static_cast<std::uint8_t>(entry_kind::Offset) &&
      Entry.Version > Newest.second)
    Newest = {Entry.Source, Entry.Version};
  if (!IsMember)
    return true;
  member_profile Profile = decodeProfile(Entry.Value);
  Members[Entry.Source] = {std::move(Profile.Vm),
                           std::move(Profile.DataCentre),
                           std::move(Profile.Region),
                           std::move(Profile.EntryLink),
                           Entry.Version,
                           Now - std::chrono::seconds(Entry.AgeSeconds)};
  Suspects.erase(Entry.Source);
  Dead.erase(Entry.Source);
  if (isSuspected(Entry.Version))
    Suspects.insert(Entry.Source);
  else
    IndirectAckAt.erase(Entry.Source);
  if (isDead(Entry.Version))
    Dead.insert(Entry.Source);
  CentresStale = true;
  const known_member &Member = Members[Entry.Source];
  Out.Notices.push_back({rowOf(Entry.Version).Event, Entry.Source, Member.Vm,
                         Member.DataCentre, incarnationOf(Entry.Version)});
  return true;
}

void membership::setMemberState(const std::string &Link, std::uint64_t Version,
                                mono_time Now, membership_output &Out) {
  const gossip_entry *Known = Store.find(entry_kind::Member, Link);
  if (!Known)
    return;
  gossip_entry Entry = *Known;
  Entry.Version = Version;
  Entry.AgeSeconds = 0;
  mergeEntry(Entry, Now, Out);
}

void membership::suspect(const std::string &Link, mono_time Now,
                         membership_output &Out) {
  const auto Found = Members.find(Link);
  if (Found == Members.end() || isDead(Found->second.Version) ||
      isSuspected(Found->second.Version))
    return;
  const std::uint64_t Version = Found->second.Version;
  const member_state State = memberStateOf(Version) == member_state::Leaving
                                 ? member_state::LeavingSuspect
                                 : member_state::Suspect;
  setMemberState(Link, versionOf(incarnationOf(Version), State), Now, Out);
}

bool membership::isAlive(const std::string &Link) const {
  const auto Found = Members.find(Link);
  return Found != Members.end() && !isDead(Found->second.Version);
}

bool membership::isRelay() const {
  const auto Own = Centres.find(Self.DataCentre);
  if (Own == Centres.end())
    return true; // no other member is known
  const auto End = Own->second.Members.begin() +
                   static_cast<std::ptrdiff_t>(Own->second.Relays);
  return std::find(Own->second.Members.begin(), End, Self.Link) != End;
}

bool membership::isReachable(std::string_view DataCentre, mono_time Now) const {
  if (DataCentre == Self.DataCentre)
    return true;
  const auto Found = ReachedAt.find(DataCentre);
  return Found != ReachedAt.end() &&
         Now - Found->second < config::DataCentreLostAfter;
}

/// Groups the live members by data centre. The relays are the first by hash,
/// leaving members last, so that all members with the same table select the
/// same relays without an election.
void membership::rebuildCentres() {
  if (!CentresStale)
    return;
  CentresStale = false;
  Centres.clear();
  Centres[Self.DataCentre].Members.push_back(Self.Link);
  for (const auto &[Link, Member] : Members)
    if (!isDead(Member.Version))
      Centres[Member.DataCentre].Members.push_back(Link);
  for (auto &[Name, Centre] : Centres) {
    const auto RelayOrder = [this](const std::string &Link) {
      const auto Found = Members.find(Link);
      const bool Leaves =
          Found == Members.end()
              ? IsLeaving
              : memberStateOf(Found->second.Version) >= member_state::Leaving;
      return std::pair(Leaves, hashOf(Link));
    };
    std::sort(Centre.Members.begin(), Centre.Members.end(),
              [&](const auto &A, const auto &B) {
                return RelayOrder(A) < RelayOrder(B);
              });
    Centre.Relays =
        std::min(Centre.Members.size(), config::RelaysPerDataCentre);
  }
}

std::vector<std::string> membership::pickLocalPeers(const std::string &Except,
                                                    std::size_t Count) {
  std::vector<std::string> Picked;
  const auto Own = Centres.find(Self.DataCentre);
  if (Own == Centres.end())
    return Picked;
  const auto &Choices = Own->second.Members;
  const std::size_t First = Random() % Choices.size();
  for (std::size_t Index = 0; Index < Choices.size(); ++Index) {
    const std::string &Each = Choices[(First + Index) % Choices.size()];
    if (Picked.size() < Count && Each != Self.Link && Each != Except)
      Picked.push_back(Each);
  }
  return Picked;
}

std::vector<member_info> membership::members(mono_time Now) const {
  std::vector<member_info> Out;
  const member_state State =
      IsLeaving ? member_state::Leaving : member_state::Alive;
  Out.push_back({{Self.Vm, Self.DataCentre, Self.Region, Self.Link,
                  Self.EntryLink, Incarnation, IsLeaving},
                 rowOf(versionOf(0, State)).State,
                 false,
                 false,
                 true,
                 Offset});
  for (const auto &[Link, Member] : Members) {
    const gossip_entry *Known = Store.find(entry_kind::Offset, Link);
    const member_state Theirs = memberStateOf(Member.Version);
    Out.push_back({{Member.Vm, Member.DataCentre, Member.Region, Link,
                    Member.EntryLink, incarnationOf(Member.Version),
                    Theirs == member_state::Leaving ||
                        Theirs == member_state::LeavingSuspect},
                   rowOf(Member.Version).State,
                   isDead(Member.Version),
                   isSuspected(Member.Version),
                   isReachable(Member.DataCentre, Now),
                   Known ? Known->Version : 0});
  }
  std::sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return A.Peer.ControlLink < B.Peer.ControlLink;
  });
  return Out;
}

std::vector<peer_info> membership::peers(mono_time Now) const {
  std::vector<peer_info> Out;
  for (member_info &Each : members(Now))
    if (Each.Peer.ControlLink != Self.Link && !Each.IsDead && !Each.IsSuspect &&
        Each.IsReachable)
      Out.push_back(std::move(Each.Peer));
  return Out;
}

} // namespace clementinelane
