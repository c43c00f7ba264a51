#pragma once

#include "clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// One record of a followed topic. In a keyed topic it has a key, and no value
/// if the key was dropped.
struct topic_record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::optional<std::string> Value;
  /// When it was read from the store, by this router or by the one that relayed
  /// it.
  mono_time ReadAt{};
};

/// Topics whose updates are relayed between routers.
enum class relayed_topic : std::uint8_t {
  Orders,
  Endpoints,
  Statuses,
  Reports
};
constexpr std::size_t RelayedTopics = 4;

/// A router's query for the updates of one topic.
struct relay_query {
  std::uint64_t QueryId = 0; ///< unique among the sender's queries
  relayed_topic Topic = relayed_topic::Orders;
  std::uint64_t From = 0; ///< the first record that the sender lacks
  bool IsListing = false; ///< newest record of each key from there on
  std::uint64_t Era = 0;  ///< of the store, as the sender knows it; 0: unknown
};

/// What the queried router knows of the topic.
struct relay_reply {
  std::uint64_t QueryId = 0;
  bool HasGap = false;     ///< it lacks some of the requested records
  bool HasListing = false; ///< it has the newest record of each key
  std::uint64_t End = 0;   ///< one past its newest record
  /// Time since it sent the read that confirmed its records as complete.
  std::chrono::milliseconds Age{0};
  std::vector<topic_record> Records; ///< those that fit, in log order
  std::uint64_t Era = 0; ///< of the store, in which its offsets hold
};

std::string encodeRelayQuery(const relay_query &Query);
std::optional<relay_query> decodeRelayQuery(std::string_view Bytes);
/// Times are sent as ages, because clocks differ between routers.
std::string encodeRelayReply(const relay_reply &Reply, mono_time Now);
/// Compresses the records of a reply: a roll-out lists hundreds of endpoints at
/// once, and their entries differ little.
std::string compressRecords(std::span<const topic_record> Records,
                            mono_time Now);
/// Encodes a reply whose records were compressed at `CompressedAt`.
std::string encodeRelayReply(const relay_reply &Reply,
                             std::string_view Compressed,
                             mono_time CompressedAt, mono_time Now);
std::optional<relay_reply> decodeRelayReply(std::string_view Bytes,
                                            mono_time Now);

/// Another router.
struct relay_peer {
  std::string Address; ///< datagram address
  double Cores = 0;    ///< 0: unknown
};

/// The other routers, identified by their datagram addresses.
class relay_peers {
public:
  virtual ~relay_peers() = default;
  /// Peers that were heard within the liveness timeout.
  virtual std::vector<relay_peer> livePeers(mono_time Now) const = 0;
  virtual void sendQuery(const std::string &Address,
                         std::string_view Bytes) = 0;
  virtual void sendReply(const std::string &Address,
                         std::string_view Bytes) = 0;
  /// Sends to all live peers.
  virtual void sendAnnouncement(std::string_view Bytes) = 0;
};

/// Lets a few routers read the platform's store for the whole fleet; does no
/// I/O.
///
/// Load: a fleet of dozens of VMs, each of which must confirm every second or
/// two that its configuration and endpoints are the newest. Harm prevented:
/// calls to the store that grow with the fleet, 160 a second at 74 VMs, which
/// the platform bills and rate-limits. The first config::RelayReaders routers
/// in an order that all routers share read the store; the others query one of
/// them. Routers need no agreement: a reply holds records of the store and the
/// age of the read that confirmed them. The age counts from when the query was
/// sent, so neither a late datagram nor a stalled VM makes the confirmation
/// look younger than it is.
class read_relay {
public:
  /// The result of a query; none if the reply was unusable.
  struct topic_update {
    std::vector<topic_record> Records;
    std::uint64_t End = 0;
    mono_time ConfirmedAt{};
    bool NeedsListing = false; ///< the missing records are only in a listing
  };
  using update_handler = std::function<void(std::optional<topic_update>)>;

  explicit read_relay(std::string OwnAddress, double Cores = 0)
      : OwnAddress(std::move(OwnAddress)), Cores(Cores) {}

  /// Enables queries; the peers must outlive their use by the relay.
  void connect(relay_peers &Value) { Peers = &Value; }
  /// Sets the callback for a reader's announcement of new records in a topic.
  void onAnnouncement(std::function<void(relayed_topic)> Handler) {
    AnnouncementHandler = std::move(Handler);
  }
  /// Sets the callback for an era that is newer than this router's.
  void onEra(std::function<void(std::uint64_t Era)> Handler) {
    EraHandler = std::move(Handler);
  }
  /// The store is in this era: what is cached and announced from before is
  /// dropped, as offsets are given out again.
  void setEra(std::uint64_t Value);
  /// The newest known era; 0: unknown.
  std::uint64_t era() const { return Era; }
  /// A peer has told this era.
  void noteEra(std::uint64_t Value) { isOfOldEra(Value); }
  /// Stops sending queries and drops the pending ones without calling their
  /// handlers.
  void disconnect();

  /// Records that this router has read the topic up to `End` by a read sent at
  /// `SentAt`.
  void confirm(relayed_topic Topic, std::uint64_t End, mono_time SentAt);
  /// Adds a record of the topic, in log order.
  void cacheRecord(relayed_topic Topic, const topic_record &Record);
  /// Empties the cache: earlier records than `End` are not available from it.
  void resetCache(relayed_topic Topic, std::uint64_t End);
  /// Replaces the cache by a listing, the newest record of each key up to
  /// `End`.
  void cacheListing(relayed_topic Topic, std::span<const topic_record> Records,
                    std::uint64_t End);

  /// Addresses of the routers that read the store for the fleet. Includes this
  /// one if it is a reader or hears no other router.
  std::vector<std::string> readers(mono_time Now) const;
  bool isReader(mono_time Now) const;
  /// Number of live routers, including this one.
  std::size_t liveVms(mono_time Now) const;
  const std::string &ownAddress() const { return OwnAddress; }
  /// Whether another router's reply recently confirmed records for this one.
  bool hasRecentReply(mono_time Now) const;

  /// Queries a reader for records from `From` on. Returns false if this router
  /// must read the store itself. After a failed store call a reader queries
  /// another reader first.
  bool requestUpdates(relayed_topic Topic, std::uint64_t From,
                      bool HasStoreFailed, mono_time Now,
                      update_handler Handler);
  /// Requests the newest record of each key, from offset `From` on.
  bool requestListing(relayed_topic Topic, std::uint64_t From, mono_time Now,
                      update_handler Handler);
  void handleQuery(const std::string &From, std::string_view Bytes,
                   mono_time Now);
  void handleReply(std::string_view Bytes, mono_time Now);
  void handleAnnouncement(std::string_view Bytes, mono_time Now);
  /// Whether other routers recently queried a topic of which this router has no
  /// recent confirmation; it then follows the topic for them.
  bool isRequested(relayed_topic Topic, mono_time Now) const;
  /// Times out pending queries and repeats announcements; to be called
  /// periodically.
  void expire(mono_time Now);

private:
  /// The newest record of each key; followers need no older ones.
  struct topic_cache {
    std::map<std::uint64_t, topic_record> Records;           ///< by offset
    std::unordered_map<std::string, std::uint64_t> OffsetOf; ///< by key
    std::size_t Bytes = 0;
    std::uint64_t First = 0; ///< no record from here on is missing
    bool IsComplete = false; ///< holds every key that has a value
    std::uint64_t End = 0;
    std::optional<mono_time> ConfirmedAt;
    std::optional<mono_time>
        RequestedAt; ///< last queried without a recent confirmation
    std::uint64_t AnnouncedEnd = 0; ///< as announced by readers
    unsigned RepeatsLeft = 0;       ///< how often its announcement is repeated
  };
  /// Cached compressed records of a topic. Most queries after a change ask for
  /// the same records, so compressing them for each reply would dominate the
  /// cost.
  struct compressed_page {
    std::uint64_t From = 0;
    std::uint64_t End = 0;
    std::size_t Count = 0;
    mono_time At{};
    std::string Bytes;
  };
  struct pending_query {
    relay_query Query;
    mono_time SentAt;
    update_handler Handler;
    std::size_t Attempts = 0; ///< readers queried so far
  };

  topic_cache &at(relayed_topic Topic) {
    return Topics[static_cast<std::size_t>(Topic)];
  }
  std::optional<std::string> chooseReader(bool HasStoreFailed,
                                          mono_time Now) const;
  std::string makeReply(const relay_query &Query, mono_time Now);
  static bool hasListing(const topic_cache &Cache);
  static void eraseRecord(topic_cache &Cache, std::uint64_t Offset);
  static void evictOldest(topic_cache &Cache);
  bool send(pending_query Pending, bool HasStoreFailed, mono_time Now);
  bool isOfOldEra(std::uint64_t Value);
  bool retryOtherReader(pending_query &Pending, const relay_reply &Reply,
                        mono_time Now);
  const compressed_page &compressedPage(relayed_topic Topic, std::uint64_t From,
                                        mono_time Now);
  void end(std::uint64_t QueryId, std::optional<topic_update> Update);
  void announce(relayed_topic Topic, mono_time Now);
  void repeatAnnouncements(mono_time Now);

  std::string OwnAddress;
  double Cores; ///< of this VM
  relay_peers *Peers = nullptr;
  std::function<void(relayed_topic)> AnnouncementHandler;
  std::array<topic_cache, RelayedTopics> Topics;
  std::array<compressed_page, RelayedTopics> Compressed;
  std::map<std::uint64_t, pending_query> PendingQueries;
  std::uint64_t LastQueryId = 0;
  std::uint64_t Era = 0; ///< of the store; 0: unknown
  std::function<void(std::uint64_t Era)> EraHandler;
  std::optional<mono_time> ReplyConfirmedAt; ///< newest confirmation in a reply
  /// Count of unusable or missing replies, which selects the next reader to
  /// query.
  std::size_t ReaderIndex = 0;
};

} // namespace clementinelane
