#pragma once

#include "intents.h"

#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinelane {

/// An intent or an outcome as stored in the log.
struct intent_record {
  bool IsOutcome = false;
  std::string Customer;
  std::string Key;
  std::string BodyHash;
  std::string RequestId;
  std::string Vm;                ///< the holder, which alone may dispatch
  std::uint64_t Incarnation = 0; ///< of the holder's process
  std::int64_t At = 0;           ///< the holder's wall time, milliseconds
  std::uint8_t End = 0;          ///< intent_end, of an outcome
  bool IsKept = true;            ///< false: the answer was too large to keep
  kept_answer Answer;
  MSGPACK_DEFINE_MAP(IsOutcome, Customer, Key, BodyHash, RequestId, Vm,
                     Incarnation, At, End, IsKept, Answer)
};

/// The records of one append. The id shows whether an append whose answer was
/// lost is in the log.
struct intent_group {
  std::string Id;
  std::vector<intent_record> Records;
  MSGPACK_DEFINE_MAP(Id, Records)
};

std::string encodeIntents(const intent_group &Group);
result<intent_group> decodeIntents(std::string_view Bytes);
std::string encodeIntent(const intent_record &Record);
result<intent_record> decodeIntent(std::string_view Bytes);

/// Time of a stream: the second highest of the VMs' latest timestamps, or the
/// only VM's timestamp while just one has written.
///
/// With the highest timestamp, a single VM whose clock is ahead would expire
/// keys early, and a repeated booking would run twice.
class stream_clock {
public:
  void observe(std::string_view Vm, std::int64_t At);
  std::int64_t now() const { return SecondVm.empty() ? FirstAt : SecondAt; }

private:
  std::string FirstVm;
  std::string SecondVm;
  std::int64_t FirstAt = 0;
  std::int64_t SecondAt = 0;
};

/// State built by applying a stream's records in log order. Every reader gets
/// the same verdicts, as they depend only on the records and their order.
///
/// The first intent of a key wins until an outcome says that it was not run.
/// The first decision about a request id is final: duplicate records, and an
/// intent appended after its request was abandoned, have no effect.
class intent_table {
public:
  void apply(const intent_record &Record);

  /// Verdict on `Key` at wall time `At`; its record must have been applied.
  intent_verdict verdictOf(const intent_key &Key, std::int64_t At) const;
  /// False if the table is full. New keys are then refused, since evicting an
  /// unexpired key could run its call a second time.
  bool hasRoom() const;
  std::size_t requests() const { return Requests.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  enum class request_state : std::uint8_t { Won, Lost, Discarded };
  using entry_key = std::pair<std::string, std::string>;
  struct entry {
    std::string BodyHash;
    std::string RequestId; ///< the winner's
    std::int64_t At = 0;
    bool HasOutcome = false;
    bool IsKept = true;
    intent_end End = intent_end::Unknown;
    kept_answer Answer;
  };
  struct expiry_entry {
    std::int64_t At;
    std::string RequestId;
    entry_key Key;
  };
  struct answer_ref {
    entry_key Key;
    std::string RequestId;
  };

  void applyIntent(const intent_record &Record);
  void applyOutcome(const intent_record &Record);
  void trackRequest(const intent_record &Record, request_state State);
  void keepAnswer(const entry_key &Key, const entry &Entry);
  void dropOldestAnswer();
  entry *winnerOf(const entry_key &Key, std::string_view RequestId);
  void eraseEntry(const entry_key &Key, std::string_view RequestId);
  void evictExpired();

  stream_clock Clock;
  std::map<entry_key, entry> Entries;
  std::unordered_map<std::string, request_state> Requests;
  std::deque<expiry_entry> ExpiryQueue; ///< oldest first
  std::deque<answer_ref> AnswerOrder;   ///< oldest first
  std::size_t Bytes = 0;                ///< of keys and request ids
  std::size_t AnswerBytes = 0;
};

} // namespace clementinelane
