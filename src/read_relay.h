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

/// One record of a followed topic; of a keyed one with its key, and without a
/// value if the key was dropped.
struct topic_record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::optional<std::string> Value;
  /// When it was read from the store, by this router or the one that told it.
  mono_time ReadAt{};
};

/// Topics whose news routers tell each other.
enum class relayed_topic : std::uint8_t {
  Orders,
  Endpoints,
  Statuses,
  Reports
};
constexpr std::size_t RelayedTopics = 4;

/// A router's question for the news of one topic.
struct relay_question {
  std::uint64_t Number = 0; ///< of the asker's questions
  relayed_topic Topic = relayed_topic::Orders;
  std::uint64_t From = 0; ///< first record that the asker doesn't have
  bool IsListing = false; ///< the newest record of every key from there on
};

/// What the asked router knows of the topic.
struct relay_answer {
  std::uint64_t Number = 0;
  bool HasGap = false;   ///< it doesn't have all records that were asked for
  bool CanList = false;  ///< but it has the newest of every key
  std::uint64_t End = 0; ///< one past its newest record
  /// Since it sent the read that proved its records to be all.
  std::chrono::milliseconds Age{0};
  std::vector<topic_record> Records; ///< the first that fit
};

std::string encodeQuestion(const relay_question &Question);
std::optional<relay_question> decodeQuestion(std::string_view Bytes);
/// Times go as ages, since each router has a clock of its own.
std::string encodeRelayAnswer(const relay_answer &Answer, mono_time Now);
/// The records of an answer, packed: a roll-out lists hundreds of endpoints at
/// once, and their entries differ in little.
std::string packRecords(std::span<const topic_record> Records, mono_time Now);
/// The same with records that were packed at `PackedAt`.
std::string encodeRelayAnswer(const relay_answer &Answer,
                              std::string_view Packed, mono_time PackedAt,
                              mono_time Now);
std::optional<relay_answer> decodeRelayAnswer(std::string_view Bytes,
                                              mono_time Now);

/// Another router.
struct relay_peer {
  std::string Address; ///< of its datagrams
  double Cores = 0;    ///< 0: not known yet
};

/// The other routers, by the addresses of their datagrams.
class relay_peers {
public:
  virtual ~relay_peers() = default;
  /// Those that were heard within the life of a digest.
  virtual std::vector<relay_peer> heard(mono_time Now) const = 0;
  virtual void sendQuestion(const std::string &Address,
                            std::string_view Bytes) = 0;
  virtual void sendAnswer(const std::string &Address,
                          std::string_view Bytes) = 0;
  /// To all that were heard lately.
  virtual void sendNews(std::string_view Bytes) = 0;
};

/// Lets a few routers read the platform's store for all, without I/O.
///
/// Load: a fleet of dozens of VMs, each of which must prove every second or two
/// that its configuration and endpoints are the newest. Harm prevented: calls
/// to the store that grow with the fleet, 160 a second at 74 VMs, for which
/// the platform charges and of which it takes only so many. The config::
/// RelayReaders routers that come first in an order which all share read the
/// store; the others ask one of them. Nothing is agreed between routers: an
/// answer holds records of the store and how old their proof is. The proof is
/// counted from when the question was sent, so that neither a late datagram nor
/// a VM that stands still makes it look younger than it is.
class read_relay {
public:
  /// What came of a question: none if there was no use in the answer.
  struct news {
    std::vector<topic_record> Records;
    std::uint64_t End = 0;
    mono_time ProvenAt{};
    bool MustList = false; ///< a listing has what is missing
  };
  using handler = std::function<void(std::optional<news>)>;

  explicit read_relay(std::string OwnAddress, double Cores = 0)
      : Own(std::move(OwnAddress)), Cores(Cores) {}

  /// From now on questions go out; the peers must outlive the relay's use.
  void connect(relay_peers &Value) { Peers = &Value; }
  /// Called when a reader has something new in a topic.
  void onNews(std::function<void(relayed_topic)> Handler) {
    NewsHandler = std::move(Handler);
  }
  /// No more questions; those under way come to nothing.
  void disconnect();

  /// This router followed a topic up to `End`, by a read sent at `SentAt`.
  void proven(relayed_topic Topic, std::uint64_t End, mono_time SentAt);
  /// A record of the topic, in the order of the log.
  void keep(relayed_topic Topic, const topic_record &Record);
  /// All records up to `End` are known, but not told here.
  void restart(relayed_topic Topic, std::uint64_t End);
  /// The newest record of every key up to `End`.
  void listed(relayed_topic Topic, std::span<const topic_record> Records,
              std::uint64_t End);

  /// Addresses of those that read the store for all, this one among them if it
  /// is one of them or hears no other.
  std::vector<std::string> readers(mono_time Now) const;
  bool isReader(mono_time Now) const;
  const std::string &own() const { return Own; }
  /// Whether another router read the store for this one lately.
  bool isServed(mono_time Now) const;

  /// Asks another router. False if this one is to read the store itself; one
  /// that the store just turned away asks another reader first.
  bool ask(relayed_topic Topic, std::uint64_t From, bool HasStoreFailed,
           mono_time Now, handler Handler);
  /// The same for the newest record of every key, those from `From` on.
  bool askListing(relayed_topic Topic, std::uint64_t From, mono_time Now,
                  handler Handler);
  void takeQuestion(const std::string &From, std::string_view Bytes,
                    mono_time Now);
  void takeAnswer(std::string_view Bytes, mono_time Now);
  void takeNews(std::string_view Bytes, mono_time Now);
  /// Whether others asked lately for a topic of which this router has no fresh
  /// proof; it follows the topic for them.
  bool isWanted(relayed_topic Topic, mono_time Now) const;
  /// Ends questions without an answer, and announces news again; call it from
  /// time to time.
  void expire(mono_time Now);

private:
  /// The newest record of each key, which is all that followers need.
  struct topic {
    std::map<std::uint64_t, topic_record> Records;           ///< by offset
    std::unordered_map<std::string, std::uint64_t> OffsetOf; ///< by key
    std::size_t Bytes = 0;
    std::uint64_t First = 0; ///< from there on nothing is missing
    bool IsWhole = false;    ///< has every key that has a value
    std::uint64_t End = 0;
    std::optional<mono_time> ProvenAt;
    std::optional<mono_time> WantedAt; ///< last asked for without a fresh proof
    std::uint64_t AnnouncedEnd = 0;    ///< by readers
    unsigned NewsLeft = 0;             ///< times that its news are told again
  };
  /// Records of a topic as they were last packed. All askers lack the same ones
  /// when something is new, so packing them for each would be the most work.
  struct packed {
    std::uint64_t From = 0;
    std::uint64_t End = 0;
    std::size_t Count = 0;
    mono_time At{};
    std::string Bytes;
  };
  struct question {
    relay_question What;
    mono_time AskedAt;
    handler Handler;
    std::size_t Asked = 0; ///< readers so far
  };

  topic &at(relayed_topic Topic) {
    return Topics[static_cast<std::size_t>(Topic)];
  }
  std::optional<std::string> readerToAsk(bool HasStoreFailed,
                                         mono_time Now) const;
  std::string answerTo(const relay_question &Question, mono_time Now);
  static bool canList(const topic &Known);
  static void forget(topic &Known, std::uint64_t Offset);
  static void bound(topic &Known);
  bool send(question Question, bool HasStoreFailed, mono_time Now);
  bool asksAnother(question &Question, const relay_answer &Answer,
                   mono_time Now);
  const packed &pack(relayed_topic Topic, std::uint64_t From, mono_time Now);
  void end(std::uint64_t Number, std::optional<news> News);
  void announce(relayed_topic Topic, mono_time Now);
  void announceAgain(mono_time Now);

  std::string Own;
  double Cores; ///< of this VM
  relay_peers *Peers = nullptr;
  std::function<void(relayed_topic)> NewsHandler;
  std::array<topic, RelayedTopics> Topics;
  std::array<packed, RelayedTopics> Packed;
  std::map<std::uint64_t, question> Asked;
  std::uint64_t LastNumber = 0;
  std::optional<mono_time> ServedAt; ///< the newest proof that another told
  /// Readers that gave no use in a row; another one is asked next.
  std::size_t Turn = 0;
};

} // namespace clementinelane
