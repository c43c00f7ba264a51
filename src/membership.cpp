#include "membership_p.h"

#include "codec.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// Encoded size of the fixed fields of a message: header, type, incarnation and
/// offset.
constexpr std::size_t MessageOverhead = 48;
constexpr std::size_t BucketBytes = 9;
/// Members notified directly of a planned stop; gossip informs the rest.
constexpr std::size_t LeaveFanout = 8;

std::size_t wireBytes(const gossip_message &Message) {
  std::size_t Bytes = MessageOverhead + Message.From.size() +
                      Message.DataCentre.size() + Message.Target.size() +
                      BucketBytes * Message.Buckets.size();
  for (const gossip_entry &Entry : Message.Entries)
    Bytes += clementinelane::wireBytes(Entry);
  return Bytes;
}

} // namespace

std::string encodeProfile(const member_profile &Profile) {
  return pack(Profile);
}

member_profile decodeProfile(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size())
        .get()
        .as<member_profile>();
  } catch (const std::exception &) {
    return {};
  }
}

membership::membership(local_member Given, std::uint64_t Seed, mono_time Now)
    : Self(std::move(Given)), Random(Seed), Incarnation(Self.Incarnation),
      Tokens(config::GossipBurstBytes), RefilledAt(Now),
      OffsetReportedAt(Now - config::OffsetReportInterval), NextSync(Now),
      NextRecontact(Now) {
  announceSelf(Now);
}

// --- messages --------------------------------------------------------------

std::size_t membership::remainingBudget(std::size_t Wanted) const {
  return Tokens <= 0 ? 0 : std::min(Wanted, static_cast<std::size_t>(Tokens));
}

void membership::chargeBudget(const gossip_message &Message) {
  Tokens -= static_cast<double>(wireBytes(Message));
}

void membership::addEntry(gossip_message &Message, const gossip_entry *Entry) {
  if (Entry)
    Message.Entries.push_back(*Entry);
}

gossip_message membership::makeMessage(gossip_type Type, const std::string &To,
                                       bool IsLocal, mono_time Now) {
  gossip_message Message;
  Message.Protocol = config::GossipProtocol;
  Message.Type = static_cast<std::uint8_t>(Type);
  Message.From = Self.Link;
  Message.Incarnation = Incarnation;
  Message.DataCentre = Self.DataCentre;
  Message.Offset = Offset;
  Message.Entries = Store.takeQueued(remainingBudget(config::GossipEntryBytes),
                                     IsLocal, isRelay(), Now);
  // Guard: a live member that is marked dead can only refute it if it learns of
  // it; otherwise the VM stays without peers. So each message to a suspect or
  // dead member carries the entry about it.
  const auto Known = Members.find(To);
  if (Known != Members.end()) {
    const member_state State = memberStateOf(Known->second.Version);
    if (State != member_state::Alive && State != member_state::Leaving)
      addEntry(Message, Store.find(entry_kind::Member, To));
  }
  return Message;
}

gossip_call &membership::call(const std::string &To, gossip_type Type,
                              purpose Purpose, mono_time Now,
                              membership_output &Out) {
  const auto Known = Members.find(To);
  const bool IsLocal =
      Known != Members.end() && Known->second.DataCentre == Self.DataCentre;
  Out.Calls.push_back({To, makeMessage(Type, To, IsLocal, Now), NextToken++});
  Pending[Out.Calls.back().Token] = {To, Purpose, ""};
  chargeBudget(Out.Calls.back().Message);
  return Out.Calls.back();
}

void membership::syncWith(const std::string &To, mono_time Now,
                          membership_output &Out) {
  gossip_message &Message =
      call(To, gossip_type::Sync, purpose::Sync, Now, Out).Message;
  const sync_buckets Hashes = Store.buckets(Now);
  Message.Buckets.assign(Hashes.begin(), Hashes.end());
  addEntry(Message, Store.find(entry_kind::Member, Self.Link));
}

/// Merges the entries of a peer's message. Returns the number of new entries of
/// hashed kinds.
std::size_t membership::applyMessage(const gossip_message &Message,
                                     mono_time Now, membership_output &Out) {
  // Entries received while joining are new only to this member; propagating
  // 1,100 of them would use up its send budget for minutes.
  const bool Propagate =
      !IsJoining || Message.Type != static_cast<int>(gossip_type::Reply);
  std::size_t Fresh = 0;
  for (const gossip_entry &Entry : Message.Entries)
    if (mergeEntry(Entry, Now, Out, Propagate) &&
        traitsOf(Entry.Kind)->IsHashed)
      ++Fresh;
  ContactedAt[Message.DataCentre] = Now;
  ReachedAt[Message.DataCentre] = Now;
  IndirectProbeSince.erase(Message.From);
  // Guard: a lost offset report would hold back the minimum offset of the data
  // centre until a random sync repairs it, which delays publishing. Each
  // message carries its sender's offset, so the next message replaces a lost
  // report.
  if (Message.DataCentre == Self.DataCentre && Message.Offset > 0)
    Store.merge({static_cast<std::uint8_t>(entry_kind::Offset), Message.From,
                 "", Message.Offset, "", 0},
                Now);
  if (Message.Offset > Newest.second)
    Newest = {Message.From, Message.Offset};
  return Fresh;
}

membership_output membership::handleMessage(const gossip_message &Message,
                                            mono_time Now,
                                            gossip_message &Reply) {
  membership_output Out;
  applyMessage(Message, Now, Out);
  const auto Type = static_cast<gossip_type>(Message.Type);
  const bool IsLocal = Message.DataCentre == Self.DataCentre;
  Reply = makeMessage(gossip_type::Reply, Message.From, IsLocal, Now);
  if (Type == gossip_type::Sync) {
    for (gossip_entry &Entry :
         Store.differingEntries(Message.Buckets, Random() % config::SyncBuckets,
                                remainingBudget(config::SyncReplyBytes), Now))
      Reply.Entries.push_back(std::move(Entry));
    for (gossip_entry &Entry : Store.randomEntries(
             remainingBudget(config::SyncSliceBytes), IsLocal, Random, Now))
      Reply.Entries.push_back(std::move(Entry));
  }
  const auto IsAboutUs = [this](const gossip_entry &Entry) {
    return Entry.Source == Self.Link;
  };
  if (std::any_of(Message.Entries.begin(), Message.Entries.end(), IsAboutUs))
    addEntry(Reply, Store.find(entry_kind::Member, Self.Link));
  chargeBudget(Reply);
  if (Type == gossip_type::IndirectAck) {
    IndirectProbeSince.erase(Message.Target);
    if (Suspects.contains(Message.Target))
      IndirectAckAt[Message.Target] = Now;
  }
  if (Type == gossip_type::ProbeRequest) {
    const gossip_call &Call =
        call(Message.Target, gossip_type::Probe, purpose::Indirect, Now, Out);
    Pending[Call.Token].For = Message.From;
  }
  return Out;
}

membership_output membership::handleReply(std::uint64_t Token,
                                          const gossip_message &Message,
                                          mono_time Now) {
  membership_output Out;
  const auto Found = Pending.find(Token);
  if (Found == Pending.end())
    return Out;
  const pending_call Call = std::move(Found->second);
  Pending.erase(Found);
  const std::size_t Fresh = applyMessage(Message, Now, Out);
  if (Call.Purpose == purpose::Sync) {
    IsJoining = IsJoining && Fresh > 0;
    if (Fresh > 0)
      NextSync = Now; // the reply may have been cut off by its size limit
  }
  if (Call.Purpose == purpose::Indirect)
    call(Call.For, gossip_type::IndirectAck, purpose::Contact, Now, Out)
        .Message.Target = Call.To;
  return Out;
}

// Load: 1,100 VMs, 74 of which fail per day, while far more calls fail because
// a process paused. A false positive moves sessions and intents needlessly. So
// a failed probe is first repeated over other paths, and then the target has
// time to refute the suspicion.
membership_output membership::handleFailure(std::uint64_t Token,
                                            mono_time Now) {
  membership_output Out;
  const auto Found = Pending.find(Token);
  if (Found == Pending.end())
    return Out;
  const pending_call Call = std::move(Found->second);
  Pending.erase(Found);
  if (Call.Purpose != purpose::Probe || !isAlive(Call.To) ||
      !IndirectProbeSince.emplace(Call.To, Now).second)
    return Out;
  for (const std::string &Peer :
       pickLocalPeers(Call.To, config::IndirectProbes))
    call(Peer, gossip_type::ProbeRequest, purpose::Contact, Now, Out)
        .Message.Target = Call.To;
  return Out;
}

void membership::setListedVms(std::span<const listed_vm> List) {
  Listed.clear();
  for (const listed_vm &Each : List)
    if (!Each.IsLeaving && Each.Link != Self.Link)
      Listed.insert(Each.Link);
}

membership_output membership::leave(mono_time Now) {
  membership_output Out;
  IsLeaving = true;
  announceSelf(Now);
  for (const std::string &To : pickLocalPeers(Self.Link, LeaveFanout))
    call(To, gossip_type::Probe, purpose::Contact, Now, Out);
  contactRemoteRelays(Now, Out);
  return Out;
}

void membership::setOffset(std::uint64_t Newer) {
  Offset = std::max(Offset, Newer);
}

bool membership::publish(entry_kind Kind, std::string Key,
                         std::uint64_t Version, std::string Value,
                         mono_time Now) {
  return Store.merge({static_cast<std::uint8_t>(Kind), Self.Link,
                      std::move(Key), Version, std::move(Value), 0},
                     Now);
}

std::pair<std::string, std::uint64_t> membership::newerOffset() const {
  return Newest.second > Offset ? Newest : std::pair(std::string(), Offset);
}

// --- steps of a tick ------------------------------------------------------

membership_output membership::tick(mono_time Now) {
  membership_output Out;
  Tokens = std::min<double>(
      config::GossipBurstBytes,
      Tokens + static_cast<double>(config::GossipBytesPerSecond) *
                   std::chrono::duration<double>(Now - RefilledAt).count());
  RefilledAt = Now;
  rebuildCentres();
  suspectUnanswered(Now, Out);
  checkSuspects(Now, Out);
  reportOffset(Now);
  if (isRelay()) {
    reportReach(Now);
    reportCentreOffset(Now);
    contactRemoteRelays(Now, Out);
  }
  probeNext(Now, Out);
  startSync(Now, Out);
  recontact(Now, Out);
  updateReachability(Now, Out);
  return Out;
}

void membership::probeNext(mono_time Now, membership_output &Out) {
  for (bool MayRefill = true;;) {
    if (ProbeOrder.empty()) {
      const auto Own = Centres.find(Self.DataCentre);
      if (!MayRefill || Own == Centres.end())
        return;
      MayRefill = false;
      ProbeOrder = Own->second.Members;
      std::erase(ProbeOrder, Self.Link);
      std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
      continue;
    }
    const std::string To = std::move(ProbeOrder.back());
    ProbeOrder.pop_back();
    if (!isAlive(To))
      continue;
    call(To, gossip_type::Probe, purpose::Probe, Now, Out);
    return;
  }
}

void membership::suspectUnanswered(mono_time Now, membership_output &Out) {
  std::vector<std::string> Late;
  for (const auto &[Link, Since] : IndirectProbeSince)
    if (Now - Since >= config::IndirectProbeTimeout)
      Late.push_back(Link);
  for (const std::string &Link : Late) {
    IndirectProbeSince.erase(Link);
    suspect(Link, Now, Out);
  }
}

// Guard: gossip of a refutation misses a few members, and one that missed it
// would mark a live VM dead; the VM is then dead and alive again in quick
// succession. So each member probes the suspect directly before the timeout,
// which replies with its new incarnation, and through other members, whose acks
// extend the timeout.
void membership::checkSuspects(mono_time Now, membership_output &Out) {
  std::size_t Asked = 0;
  const std::set<std::string> Each = Suspects;
  for (const std::string &Link : Each) {
    const known_member &Member = Members.at(Link);
    if (Member.DataCentre != Self.DataCentre)
      continue;
    const auto LastAck = IndirectAckAt.find(Link);
    const mono_time LastAliveAt = LastAck == IndirectAckAt.end()
                                      ? Member.Since
                                      : std::max(Member.Since, LastAck->second);
    if (Now - LastAliveAt < config::SuspicionTimeout) {
      if (++Asked <= config::MaxSuspectsProbed)
        probeSuspect(Link, Now, Out);
      continue;
    }
    const member_state State =
        memberStateOf(Member.Version) == member_state::LeavingSuspect
            ? member_state::Left
            : member_state::Dead;
    setMemberState(Link, versionOf(incarnationOf(Member.Version), State), Now,
                   Out);
  }
}

void membership::probeSuspect(const std::string &Link, mono_time Now,
                              membership_output &Out) {
  call(Link, gossip_type::Probe, purpose::Contact, Now, Out);
  for (const std::string &Peer :
       pickLocalPeers(Link, config::SuspectIndirectProbes))
    call(Peer, gossip_type::ProbeRequest, purpose::Contact, Now, Out)
        .Message.Target = Link;
}

/// Probes relays of some other data centres. In an unreachable data centre any
/// member is probed, because its relays may have changed.
void membership::contactRemoteRelays(mono_time Now, membership_output &Out) {
  if (Centres.size() < 2 || !isRelay())
    return;
  for (std::size_t Count = 0; Count < config::RelayFanout; ++Count) {
    auto Each =
        std::next(Centres.begin(),
                  static_cast<std::ptrdiff_t>(NextCentre++ % Centres.size()));
    if (Each->first == Self.DataCentre)
      Each =
          std::next(Centres.begin(),
                    static_cast<std::ptrdiff_t>(NextCentre++ % Centres.size()));
    const centre &Centre = Each->second;
    const std::size_t Choices =
        isReachable(Each->first, Now) ? Centre.Relays : Centre.Members.size();
    if (Each->first != Self.DataCentre && Choices > 0)
      call(Centre.Members[Random() % Choices], gossip_type::Probe,
           purpose::Contact, Now, Out);
  }
}

/// Publishes to this data centre which others this relay has reached.
void membership::reportReach(mono_time Now) {
  for (const auto &[Name, At] : ContactedAt) {
    mono_time &Reported = ReachReportedAt[Name];
    if (Name == Self.DataCentre || At <= Reported ||
        (Reported != mono_time{} &&
         Now - Reported < config::ReachReportInterval))
      continue;
    Reported = Now;
    const gossip_entry *Known = Store.find(entry_kind::Reach, Name);
    Store.merge({static_cast<std::uint8_t>(entry_kind::Reach), Name, "",
                 Known ? Known->Version + 1 : 1, "", 0},
                Now);
  }
}

/// Publishes the minimum offset of this data centre. Publishing 1,100 offsets
/// everywhere would cost each member thousands of bytes per second; ten
/// minimums cost some dozens.
void membership::reportCentreOffset(mono_time Now) {
  std::uint64_t Least = Offset;
  for (const std::string &Link : Centres[Self.DataCentre].Members)
    if (const gossip_entry *Known = Store.find(entry_kind::Offset, Link))
      Least = std::min(Least, Known->Version);
  if (Least > 0)
    Store.merge({static_cast<std::uint8_t>(entry_kind::CentreOffset),
                 Self.DataCentre, "", Least, "", 0},
                Now);
}

void membership::reportOffset(mono_time Now) {
  if (Offset == 0 || Now - OffsetReportedAt < config::OffsetReportInterval)
    return;
  if (publish(entry_kind::Offset, "", Offset, "", Now))
    OffsetReportedAt = Now;
}

void membership::startSync(mono_time Now, membership_output &Out) {
  if (!IsJoining && Now < NextSync)
    return;
  NextSync = Now + config::SyncInterval;
  Store.expire(Now);
  forgetDeadMembers(Now, Out);
  for (const std::string &To : pickLocalPeers(Self.Link, 1))
    syncWith(To, Now, Out);
  if (!isRelay() || Centres.size() < 2)
    return;
  const auto Each = std::next(
      Centres.begin(), static_cast<std::ptrdiff_t>(Random() % Centres.size()));
  if (Each->first != Self.DataCentre && !Each->second.Members.empty())
    syncWith(Each->second.Members[Random() % Each->second.Members.size()], Now,
             Out);
}

// Guard: two partitions that mark each other dead or started separately would
// never merge again, and a VM restarted while all its seeds are down would not
// be found; the fleet stays split in two. So seeds, listed VMs and dead members
// are contacted periodically for as long as they are known.
void membership::recontact(mono_time Now, membership_output &Out) {
  if (!IsJoining && Now < NextRecontact)
    return;
  NextRecontact = Now + config::RecontactInterval;
  std::vector<std::string> Addresses;
  const auto Add = [&](const std::string &Link) {
    if (Link != Self.Link && !isAlive(Link))
      Addresses.push_back(Link);
  };
  for (const std::string &Link : Self.Seeds)
    Add(Link);
  for (const std::string &Link : Listed)
    Add(Link);
  for (const std::string &Link : Dead)
    if (const known_member &Member = Members.at(Link);
        Member.DataCentre == Self.DataCentre || isRelay())
      Add(Link);
  if (!Addresses.empty())
    syncWith(Addresses[NextContact++ % Addresses.size()], Now, Out);
}

void membership::forgetDeadMembers(mono_time Now, membership_output &Out) {
  const std::set<std::string> Candidates = Dead;
  for (const std::string &Link : Candidates) {
    const known_member &Member = Members.at(Link);
    if (Now - Member.Since < config::ForgetDeadAfter)
      continue;
    Out.Notices.push_back({"member_forgotten", Link, Member.Vm,
                           Member.DataCentre, incarnationOf(Member.Version)});
    Store.forget(Link);
    Dead.erase(Link);
    Members.erase(Link);
  }
}

void membership::updateReachability(mono_time Now, membership_output &Out) {
  for (const auto &[Name, Centre] : Centres) {
    ReachedAt.emplace(
        Name, Now); // the timeout starts when the data centre is first seen
    const bool IsReached = isReachable(Name, Now);
    if (IsReached == !UnreachableCentres.contains(Name))
      continue;
    if (IsReached)
      UnreachableCentres.erase(Name);
    else
      UnreachableCentres.insert(Name);
    Out.Notices.push_back(
        {IsReached ? "data_centre_reached" : "data_centre_lost", Name, "", Name,
         0});
  }
}

} // namespace clementinelane
