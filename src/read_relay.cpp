#include "read_relay.h"

#include "config.h"
#include "deflate.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace clementinelane {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Number of fields of a query, a reply and a record, in wire order. The era of
/// queries, replies and announcements may be missing.
constexpr std::size_t QueryFields = 4;
constexpr std::size_t ReplyFields = 7;
constexpr std::size_t RecordFields = 4;
constexpr std::size_t AnnouncementFields = 2;

std::string toBytes(const json &Body) {
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::uint64_t eraAt(const json &Body, std::size_t Field) {
  return Body.size() > Field ? Body[Field].get<std::uint64_t>() : 0;
}

std::size_t sizeOf(const topic_record &Record) {
  return Record.Key.size() + (Record.Value ? Record.Value->size() : 0);
}

json encodeRecordBody(const topic_record &Record, mono_time Now) {
  return {Record.Offset, Record.Key,
          Record.Value ? json(*Record.Value) : json(nullptr),
          std::chrono::floor<milliseconds>(Now - Record.ReadAt).count()};
}

/// Returns false if the bytes are not records; may throw json::exception.
bool decompressRecords(const json::binary_t &Compressed, mono_time CompressedAt,
                       std::vector<topic_record> &Out) {
  const auto Bytes = inflate(
      {reinterpret_cast<const char *>(Compressed.data()), Compressed.size()},
      2 * config::MaxRelayReplyBytes);
  if (!Bytes)
    return false;
  for (const json &Each : decodeMessagePack(*Bytes)) {
    if (!Each.is_array() || Each.size() < RecordFields)
      return false;
    topic_record Record;
    Record.Offset = Each[0].get<std::uint64_t>();
    Record.Key = Each[1].get<std::string>();
    if (!Each[2].is_null())
      Record.Value = Each[2].get<std::string>();
    Record.ReadAt = CompressedAt - milliseconds(Each[3].get<std::uint32_t>());
    Out.push_back(std::move(Record));
  }
  return true;
}

} // namespace

std::string encodeRelayQuery(const relay_query &Query) {
  return toBytes({Query.QueryId, static_cast<unsigned>(Query.Topic), Query.From,
                  Query.IsListing ? 1 : 0, Query.Era});
}

std::optional<relay_query> decodeRelayQuery(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < QueryFields)
      return std::nullopt;
    const auto Topic = Body[1].get<std::size_t>();
    if (Topic >= RelayedTopics)
      return std::nullopt;
    return relay_query{Body[0].get<std::uint64_t>(),
                       static_cast<relayed_topic>(Topic),
                       Body[2].get<std::uint64_t>(),
                       Body[3].get<unsigned>() != 0, eraAt(Body, QueryFields)};
  } catch (const json::exception &) {
    return std::nullopt; // the caller counts malformed queries
  }
}

std::string compressRecords(std::span<const topic_record> Records,
                            mono_time Now) {
  auto Body = json::array();
  for (const topic_record &Record : Records)
    Body.push_back(encodeRecordBody(Record, Now));
  return deflate(toBytes(Body));
}

std::string encodeRelayReply(const relay_reply &Reply,
                             std::string_view Compressed,
                             mono_time CompressedAt, mono_time Now) {
  const auto *const Bytes =
      reinterpret_cast<const std::uint8_t *>(Compressed.data());
  return toBytes({Reply.QueryId, Reply.HasGap ? 1 : 0, Reply.HasListing ? 1 : 0,
                  Reply.End, Reply.Age.count(),
                  std::chrono::floor<milliseconds>(Now - CompressedAt).count(),
                  json::binary({Bytes, Bytes + Compressed.size()}), Reply.Era});
}

std::string encodeRelayReply(const relay_reply &Reply, mono_time Now) {
  return encodeRelayReply(Reply, compressRecords(Reply.Records, Now), Now, Now);
}

std::optional<relay_reply> decodeRelayReply(std::string_view Bytes,
                                            mono_time Now) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < ReplyFields)
      return std::nullopt;
    relay_reply Reply;
    Reply.QueryId = Body[0].get<std::uint64_t>();
    Reply.HasGap = Body[1].get<unsigned>() != 0;
    Reply.HasListing = Body[2].get<unsigned>() != 0;
    Reply.End = Body[3].get<std::uint64_t>();
    Reply.Age = milliseconds(Body[4].get<std::uint32_t>());
    const mono_time CompressedAt =
        Now - milliseconds(Body[5].get<std::uint32_t>());
    if (!decompressRecords(Body[6].get_binary(), CompressedAt, Reply.Records))
      return std::nullopt;
    Reply.Era = eraAt(Body, ReplyFields);
    return Reply;
  } catch (const json::exception &) {
    return std::nullopt; // the caller counts malformed replies
  }
}

void read_relay::disconnect() {
  Peers = nullptr;
  PendingQueries.clear();
}

void read_relay::setEra(std::uint64_t Value) {
  if (Value <= Era)
    return;
  const bool WasKnown = std::exchange(Era, Value) != 0;
  if (!WasKnown)
    return;
  for (std::size_t Each = 0; Each < RelayedTopics; ++Each) {
    const auto RequestedAt = Topics[Each].RequestedAt;
    Topics[Each] = topic_cache{};
    Topics[Each].RequestedAt = RequestedAt;
    Compressed[Each] = {};
  }
  ReplyConfirmedAt.reset();
}

// Failure: a router that hasn't heard of a new era asks from an old position,
// or answers with one. Offsets of different eras can't be compared.
bool read_relay::isOfOldEra(std::uint64_t Value) {
  if (Value > Era && EraHandler)
    EraHandler(Value);
  return Value != 0 && Value < Era;
}

void read_relay::confirm(relayed_topic Topic, std::uint64_t End,
                         mono_time SentAt) {
  topic_cache &Cache = at(Topic);
  const bool IsNew = Cache.End != End || !Cache.ConfirmedAt ||
                     SentAt - *Cache.ConfirmedAt > config::MaxRelayedAge;
  Cache.End = End;
  Cache.ConfirmedAt = SentAt;
  if (!IsNew)
    return;
  Cache.RepeatsLeft = config::RelayAnnouncementRepeats;
  announce(Topic, SentAt);
}

// Failure: a reader learns of an order, or regains the store, and the other
// routers only notice at their next poll. Until then requests run on endpoints
// that a completed roll-out has stopped, or are refused although API keys are
// valid again.
void read_relay::announce(relayed_topic Topic, mono_time Now) {
  const bool IsUrgent =
      Topic == relayed_topic::Orders || Topic == relayed_topic::Statuses;
  if (IsUrgent && Peers && isReader(Now))
    Peers->sendAnnouncement(
        toBytes({static_cast<unsigned>(Topic), at(Topic).End, Era}));
}

// Failure: an announcement datagram is lost, and its receiver learns of an
// order one poll interval later than the others.
void read_relay::repeatAnnouncements(mono_time Now) {
  for (std::size_t Each = 0; Each < Topics.size(); ++Each) {
    if (Topics[Each].RepeatsLeft == 0)
      continue;
    --Topics[Each].RepeatsLeft;
    announce(static_cast<relayed_topic>(Each), Now);
  }
}

void read_relay::handleAnnouncement(std::string_view Bytes, mono_time Now) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < AnnouncementFields)
      return;
    const auto Topic = Body[0].get<std::size_t>();
    if (Topic >= RelayedTopics || isOfOldEra(eraAt(Body, AnnouncementFields)))
      return;
    topic_cache &Cache = Topics[Topic];
    Cache.AnnouncedEnd =
        std::max(Cache.AnnouncedEnd, Body[1].get<std::uint64_t>());
    const bool IsKnown = Cache.End >= Cache.AnnouncedEnd && Cache.ConfirmedAt &&
                         Now - *Cache.ConfirmedAt <= config::MaxRelayedAge;
    if (!IsKnown && AnnouncementHandler)
      AnnouncementHandler(static_cast<relayed_topic>(Topic));
  } catch (const json::exception &) {
    return; // the next query recovers from it
  }
}

void read_relay::eraseRecord(topic_cache &Cache, std::uint64_t Offset) {
  const auto Found = Cache.Records.find(Offset);
  Cache.Bytes -= sizeOf(Found->second) + config::RelayRecordOverheadBytes;
  Cache.OffsetOf.erase(Found->second.Key);
  Cache.Records.erase(Found);
}

// Failure: keys are added and dropped for days and the cache grows without
// bound. The oldest records are evicted; a router that lacks them reads the
// store.
void read_relay::evictOldest(topic_cache &Cache) {
  while (Cache.Bytes > config::MaxRelayCacheBytes) {
    const auto &[Offset, Oldest] = *Cache.Records.begin();
    Cache.IsComplete = Cache.IsComplete && !Oldest.Value;
    Cache.First = std::max(Cache.First, Offset + 1);
    eraseRecord(Cache, Offset);
  }
}

void read_relay::cacheRecord(relayed_topic Topic, const topic_record &Record) {
  topic_cache &Cache = at(Topic);
  if (const auto Before = Cache.OffsetOf.find(Record.Key);
      Before != Cache.OffsetOf.end())
    eraseRecord(Cache, Before->second);
  // Failure: another writer's item names the offset of a sound record, which
  // this cache can't hold then.
  if (Cache.Records.contains(Record.Offset)) {
    eraseRecord(Cache, Record.Offset);
    Cache.IsComplete = false;
  }
  Cache.Records[Record.Offset] = Record;
  Cache.OffsetOf[Record.Key] = Record.Offset;
  Cache.Bytes += sizeOf(Record) + config::RelayRecordOverheadBytes;
  evictOldest(Cache);
}

void read_relay::resetCache(relayed_topic Topic, std::uint64_t End) {
  topic_cache Anew;
  Anew.RequestedAt = at(Topic).RequestedAt;
  Anew.AnnouncedEnd = at(Topic).AnnouncedEnd;
  Anew.First = End;
  Anew.End = End;
  at(Topic) = std::move(Anew);
}

void read_relay::cacheListing(relayed_topic Topic,
                              std::span<const topic_record> Records,
                              std::uint64_t End) {
  resetCache(Topic, End);
  at(Topic).IsComplete = true;
  for (const topic_record &Record : Records)
    cacheRecord(Topic, Record);
}

// Load: hundreds of VMs query two readers, some of which have a quarter of the
// cores of the others. Harm prevented: a small VM that answers the whole fleet
// is late with its own requests and its replies, so the others read the store,
// which adds load to it. VMs are ranked by core count, largest first, then by
// hash, so readers differ between fleets and spread over the data centres. A
// peer whose core count is unknown ranks as if it had this VM's.
std::vector<std::string> read_relay::readers(mono_time Now) const {
  using rank = std::tuple<double, std::uint64_t, std::string>;
  std::vector<rank> Ranks;
  const auto Add = [&Ranks](const std::string &Address, double Size) {
    Ranks.emplace_back(-Size, stableHash(Address), Address);
  };
  if (Peers)
    for (const relay_peer &Peer : Peers->livePeers(Now))
      Add(Peer.Address, Peer.Cores > 0 ? Peer.Cores : Cores);
  Add(OwnAddress, Cores);
  const std::size_t Count = std::min(config::RelayReaders, Ranks.size());
  std::partial_sort(Ranks.begin(),
                    Ranks.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranks.end());
  std::vector<std::string> Readers;
  for (std::size_t Each = 0; Each < Count; ++Each)
    Readers.push_back(std::get<std::string>(Ranks[Each]));
  return Readers;
}

bool read_relay::isReader(mono_time Now) const {
  const auto Readers = readers(Now);
  return std::find(Readers.begin(), Readers.end(), OwnAddress) != Readers.end();
}

std::size_t read_relay::liveVms(mono_time Now) const {
  return 1 + (Peers ? Peers->livePeers(Now).size() : 0);
}

bool read_relay::hasRecentReply(mono_time Now) const {
  return ReplyConfirmedAt && Now - *ReplyConfirmedAt <= config::MaxRelayedAge;
}

std::optional<std::string> read_relay::chooseReader(bool HasStoreFailed,
                                                    mono_time Now) const {
  std::vector<std::string> Readers = readers(Now);
  if (std::erase(Readers, OwnAddress) > 0 && !HasStoreFailed)
    return std::nullopt;
  if (Readers.empty())
    return std::nullopt;
  return Readers[(stableHash(OwnAddress) + ReaderIndex) % Readers.size()];
}

bool read_relay::send(pending_query Pending, bool HasStoreFailed,
                      mono_time Now) {
  const auto Reader = chooseReader(HasStoreFailed, Now);
  if (!Reader)
    return false;
  Pending.Query.QueryId = ++LastQueryId;
  Pending.Query.Era = Era;
  Pending.SentAt = Now;
  ++Pending.Attempts;
  const std::string Bytes = encodeRelayQuery(Pending.Query);
  PendingQueries[LastQueryId] = std::move(Pending);
  Peers->sendQuery(*Reader, Bytes);
  return true;
}

// Failure: one reader announces an order, and the reader that is queried has
// not read it yet. Its reply has nothing new.
bool read_relay::retryOtherReader(pending_query &Pending,
                                  const relay_reply &Reply, mono_time Now) {
  if (Reply.End >= at(Pending.Query.Topic).AnnouncedEnd ||
      Pending.Attempts >= config::RelayReaders)
    return false;
  ++ReaderIndex;
  return send(std::move(Pending), false, Now);
}

bool read_relay::requestUpdates(relayed_topic Topic, std::uint64_t From,
                                bool HasStoreFailed, mono_time Now,
                                update_handler Handler) {
  return send({{0, Topic, From, false, Era}, {}, std::move(Handler)},
              HasStoreFailed, Now);
}

bool read_relay::requestListing(relayed_topic Topic, std::uint64_t From,
                                mono_time Now, update_handler Handler) {
  return send({{0, Topic, From, true, Era}, {}, std::move(Handler)}, false,
              Now);
}

const read_relay::compressed_page &
read_relay::compressedPage(relayed_topic Topic, std::uint64_t From,
                           mono_time Now) {
  const topic_cache &Cache = at(Topic);
  compressed_page &Cached = Compressed[static_cast<std::size_t>(Topic)];
  const std::uint64_t End =
      Cache.Records.empty() ? 0 : Cache.Records.rbegin()->first + 1;
  if (!Cached.Bytes.empty() && Cached.From == From && Cached.End == End)
    return Cached;
  std::vector<topic_record> Records;
  std::size_t Bytes = 0;
  for (auto Each = Cache.Records.lower_bound(From); Each != Cache.Records.end();
       ++Each) {
    const topic_record &Record = Each->second;
    Bytes += sizeOf(Record) + config::RelayRecordOverheadBytes;
    if (Bytes > config::MaxRelayReplyBytes)
      break;
    Records.push_back(Record);
  }
  Cached = {From, End, Records.size(), Now, compressRecords(Records, Now)};
  return Cached;
}

// A record that is too large for a datagram would block a listing.
bool read_relay::hasListing(const topic_cache &Cache) {
  return Cache.IsComplete &&
         std::none_of(
             Cache.Records.begin(), Cache.Records.end(), [](const auto &Entry) {
               return sizeOf(Entry.second) + config::RelayRecordOverheadBytes >
                      config::MaxRelayReplyBytes;
             });
}

std::string read_relay::makeReply(const relay_query &Query, mono_time Now) {
  topic_cache &Cache = at(Query.Topic);
  if (!Cache.ConfirmedAt || Now - *Cache.ConfirmedAt > config::MaxRelayedAge)
    Cache.RequestedAt = Now;
  relay_reply Reply;
  Reply.QueryId = Query.QueryId;
  Reply.Era = Era;
  Reply.End = Cache.End;
  Reply.HasGap =
      !Cache.ConfirmedAt || isOfOldEra(Query.Era) ||
      (Query.IsListing ? !Cache.IsComplete : Query.From < Cache.First);
  // Rounded up, so a confirmation is never reported younger than it is.
  if (Cache.ConfirmedAt)
    Reply.Age = std::chrono::ceil<milliseconds>(Now - *Cache.ConfirmedAt);
  if (Reply.HasGap) {
    Reply.HasListing = Cache.ConfirmedAt && hasListing(Cache);
    return encodeRelayReply(Reply, Now);
  }
  const compressed_page &Records = compressedPage(Query.Topic, Query.From, Now);
  // A record that fits into no datagram is read from the store.
  Reply.HasGap = Records.Count == 0 && Records.From < Records.End;
  return encodeRelayReply(Reply, Records.Bytes, Records.At, Now);
}

bool read_relay::isRequested(relayed_topic Topic, mono_time Now) const {
  const auto &RequestedAt = Topics[static_cast<std::size_t>(Topic)].RequestedAt;
  return RequestedAt && Now - *RequestedAt < config::RelayRequestTtl;
}

void read_relay::handleQuery(const std::string &From, std::string_view Bytes,
                             mono_time Now) {
  const auto Query = decodeRelayQuery(Bytes);
  if (Query && Peers)
    Peers->sendReply(From, makeReply(*Query, Now));
}

// Failure: the queried reader lost the store but this router did not. Its
// confirmation grows old, and this router's key lease would expire too, so the
// reply is discarded.
void read_relay::handleReply(std::string_view Bytes, mono_time Now) {
  auto Reply = decodeRelayReply(Bytes, Now);
  if (!Reply)
    return;
  const auto Found = PendingQueries.find(Reply->QueryId);
  if (Found == PendingQueries.end())
    return;
  const std::uint64_t AskedEra = Found->second.Query.Era;
  if (isOfOldEra(Reply->Era)) {
    end(Reply->QueryId, std::nullopt);
    return;
  }
  const mono_time ConfirmedAt = Found->second.SentAt - Reply->Age;
  const bool IsOld = Now - ConfirmedAt > config::MaxRelayedAge;
  // The position that was asked from is of an earlier era.
  if (AskedEra != 0 && AskedEra != Era) {
    end(Reply->QueryId, topic_update{{}, 0, ConfirmedAt, true});
    return;
  }
  // Failure: the store loses its history. The readers list the topics again,
  // and all other routers lack the records from before that listing, so they
  // fetch the listing.
  if (Reply->HasGap && Reply->HasListing && !IsOld) {
    end(Reply->QueryId, topic_update{{}, Reply->End, ConfirmedAt, true});
    return;
  }
  if (Reply->HasGap || IsOld) {
    end(Reply->QueryId, std::nullopt);
    return;
  }
  ReplyConfirmedAt = ConfirmedAt;
  if (pending_query Pending = Found->second;
      retryOtherReader(Pending, *Reply, Now)) {
    PendingQueries.erase(Reply->QueryId);
    return;
  }
  end(Reply->QueryId,
      topic_update{std::move(Reply->Records), Reply->End, ConfirmedAt, false});
}

void read_relay::end(std::uint64_t QueryId,
                     std::optional<topic_update> Update) {
  const update_handler Handler =
      std::move(PendingQueries.extract(QueryId).mapped().Handler);
  ReaderIndex += Update ? 0 : 1;
  Handler(std::move(Update));
}

void read_relay::expire(mono_time Now) {
  repeatAnnouncements(Now);
  std::vector<std::uint64_t> Late;
  for (const auto &[QueryId, Pending] : PendingQueries)
    if (Now - Pending.SentAt >= config::RelayReplyTimeout)
      Late.push_back(QueryId);
  for (const std::uint64_t QueryId : Late)
    if (PendingQueries.contains(QueryId))
      end(QueryId, std::nullopt);
}

} // namespace clementinelane
