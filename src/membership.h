#pragma once

#include "gossip_store.h"
#include "peers.h"

#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Identity and bootstrap addresses of this VM, fixed when its control process
/// starts.
struct local_member {
  std::string Link; ///< control link, IP number and port; identifies the member
  std::string Vm;
  std::string DataCentre;
  std::string Region;
  std::string EntryLink;
  /// Must increase with each start; the wall clock in ms does. If the clock
  /// went back, the first peer replies with the known incarnation and the
  /// member picks a higher one.
  std::uint64_t Incarnation = 0;
  std::vector<std::string> Seeds; ///< control links
};

/// One line of the platform's list of VMs. The list lags, so a line is only an
/// address to contact and never changes a member's state.
struct listed_vm {
  std::string Link;
  bool IsLeaving = false;
};

/// A message to send. Its reply or failure is reported with `Token`.
struct gossip_call {
  std::string To;
  gossip_message Message;
  std::uint64_t Token = 0;
};

/// A state change to log for operators.
struct membership_notice {
  std::string_view Event;
  std::string Link; ///< or the data centre
  std::string Vm;
  std::string DataCentre;
  std::uint64_t Incarnation = 0;
};

/// Messages to send and changes to log after an event.
struct membership_output {
  std::vector<gossip_call> Calls;
  std::vector<membership_notice> Notices;
};

/// One row of the member table.
struct member_info {
  peer_info Peer;
  std::string_view State;
  bool IsDead = false;
  bool IsSuspect = false;
  bool IsReachable = false;
  std::uint64_t Offset = 0; ///< 0: unknown
};

/// SWIM-like membership and failure detection, with gossip entries piggybacked
/// on the probes. Members of one data centre probe each other; two relays in
/// each, selected by hash of their links so that all members agree, talk to the
/// relays of the others. A partition between data centres therefore marks no
/// member dead: the remote data centre becomes unreachable as a whole, and
/// nothing has to be reverted when it is reachable again.
///
/// No I/O, thread or clock; randomness comes from the seed. Not thread-safe.
class membership {
public:
  membership(local_member Self, std::uint64_t Seed, mono_time Now);

  /// Must be called once per GossipPeriod.
  membership_output tick(mono_time Now);
  /// Handles a message of a peer and fills in `Reply`.
  membership_output handleMessage(const gossip_message &Message, mono_time Now,
                                  gossip_message &Reply);
  /// Handles the reply to the call with `Token`.
  membership_output handleReply(std::uint64_t Token,
                                const gossip_message &Message, mono_time Now);
  /// Handles the failure or timeout of the call with `Token`.
  membership_output handleFailure(std::uint64_t Token, mono_time Now);
  /// Replaces the VMs known from the platform's list.
  void setListedVms(std::span<const listed_vm> List);
  /// Starts a planned stop: announces this member as leaving, now and from then
  /// on.
  membership_output leave(mono_time Now);

  /// Sets the offset of the configuration in force here; lower values are
  /// ignored.
  void setOffset(std::uint64_t Offset);
  /// Publishes an entry with this member as its source. Returns false, and
  /// ignores it, unless it is newer.
  bool publish(entry_kind Kind, std::string Key, std::uint64_t Version,
               std::string Value, mono_time Now);

  const gossip_store &store() const { return Store; }
  std::vector<member_info> members(mono_time Now) const;
  std::vector<peer_info> peers(mono_time Now) const;
  /// A member with a newer configuration than this one and its offset; an empty
  /// link if there is none.
  std::pair<std::string, std::uint64_t> newerOffset() const;
  bool isRelay() const;
  bool isReachable(std::string_view DataCentre, mono_time Now) const;
  std::uint64_t incarnation() const { return Incarnation; }

private:
  struct known_member {
    std::string Vm;
    std::string DataCentre;
    std::string Region;
    std::string EntryLink;
    std::uint64_t Version = 0;
    mono_time
        Since; ///< when this version was set; for a dead member, when it died
  };
  enum class purpose : std::uint8_t { Probe, Contact, Sync, Indirect };
  struct pending_call {
    std::string To;
    purpose Purpose;
    std::string For; ///< for Indirect: the member that sent the probe request
  };
  struct centre {
    std::vector<std::string> Members; ///< not dead, relays first
    std::size_t Relays = 0;
  };

  // Messages.
  gossip_message makeMessage(gossip_type Type, const std::string &To,
                             bool IsLocal, mono_time Now);
  gossip_call &call(const std::string &To, gossip_type Type, purpose Purpose,
                    mono_time Now, membership_output &Out);
  void addEntry(gossip_message &Message, const gossip_entry *Entry);
  void chargeBudget(const gossip_message &Message);
  std::size_t remainingBudget(std::size_t Wanted) const;
  void syncWith(const std::string &To, mono_time Now, membership_output &Out);
  std::size_t applyMessage(const gossip_message &Message, mono_time Now,
                           membership_output &Out);

  // Members.
  bool mergeEntry(const gossip_entry &Entry, mono_time Now,
                  membership_output &Out, bool Propagate = true);
  void refute(std::uint64_t Version, mono_time Now);
  void announceSelf(mono_time Now);
  void setMemberState(const std::string &Link, std::uint64_t Version,
                      mono_time Now, membership_output &Out);
  void suspect(const std::string &Link, mono_time Now, membership_output &Out);
  bool isAlive(const std::string &Link) const;
  void rebuildCentres();
  /// Up to `Count` live members of this data centre, consecutive from a random
  /// start, without this member and `Except`.
  std::vector<std::string> pickLocalPeers(const std::string &Except,
                                          std::size_t Count);

  // Steps of a tick.
  void probeNext(mono_time Now, membership_output &Out);
  void suspectUnanswered(mono_time Now, membership_output &Out);
  void checkSuspects(mono_time Now, membership_output &Out);
  void probeSuspect(const std::string &Link, mono_time Now,
                    membership_output &Out);
  void contactRemoteRelays(mono_time Now, membership_output &Out);
  void reportReach(mono_time Now);
  void reportCentreOffset(mono_time Now);
  void reportOffset(mono_time Now);
  void startSync(mono_time Now, membership_output &Out);
  void recontact(mono_time Now, membership_output &Out);
  void forgetDeadMembers(mono_time Now, membership_output &Out);
  void updateReachability(mono_time Now, membership_output &Out);

  local_member Self;
  std::mt19937_64 Random;
  gossip_store Store;
  std::uint64_t Incarnation;
  bool IsLeaving = false;
  bool IsJoining = true;
  std::uint64_t Offset = 0;
  std::pair<std::string, std::uint64_t>
      Newest; ///< member with the highest known offset

  std::unordered_map<std::string, known_member> Members; ///< others, by link
  std::set<std::string> Suspects;
  std::set<std::string> Dead;
  std::set<std::string> Listed;
  std::map<std::string, centre, std::less<>> Centres;
  bool CentresStale = true;
  std::map<std::string, mono_time, std::less<>> ReachedAt;
  std::map<std::string, mono_time, std::less<>> ContactedAt; ///< by this member
  std::map<std::string, mono_time, std::less<>> ReachReportedAt;
  std::set<std::string, std::less<>> UnreachableCentres;

  std::uint64_t NextToken = 1;
  std::unordered_map<std::uint64_t, pending_call> Pending;
  std::map<std::string, mono_time>
      IndirectProbeSince; ///< when the indirect probes were started
  std::map<std::string, mono_time>
      IndirectAckAt; ///< suspects: last ack through another member
  std::vector<std::string> ProbeOrder;
  std::size_t NextCentre = 0;
  std::size_t NextContact = 0;
  double Tokens;
  mono_time RefilledAt;
  mono_time OffsetReportedAt;
  mono_time NextSync;
  mono_time NextRecontact;
};

} // namespace clementinelane
