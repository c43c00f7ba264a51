#pragma once

#include "intents.h"
#include "log_client.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace clementinelane {

/// The stream that holds intents and their outcomes.
constexpr std::string_view IntentStream = "intents";

/// An intent or an outcome, as it stands in the log.
struct intent_record {
  bool IsOutcome = false;
  std::string Customer;
  std::string Key;
  std::string BodyHash;
  std::string RequestId;
  std::uint8_t End = 0; ///< intent_end, of an outcome
  kept_answer Answer;
  MSGPACK_DEFINE_MAP(IsOutcome, Customer, Key, BodyHash, RequestId, End, Answer)
};

std::string encodeIntent(const intent_record &Record);
result<intent_record> decodeIntent(std::string_view Bytes);

/// Folds the stream in order: the first intent of a key wins until an outcome
/// says that it was not run.
class intent_table {
public:
  void apply(const intent_record &Record);
  /// What `Key` came to, once its own record has been applied.
  intent_verdict verdictOf(const intent_key &Key) const;

private:
  struct entry {
    std::string BodyHash;
    std::string RequestId; ///< the winner's; empty: free again
    bool HasOutcome = false;
    intent_end End = intent_end::Unknown;
    kept_answer Answer;
  };
  std::map<std::pair<std::string, std::string>, entry> Entries;
};

/// Places intents one by one, through the log service.
class log_intent_service final : public intent_service {
public:
  explicit log_intent_service(append_log &Log) : Log(Log) {}

  void place(const intent_key &Key,
             std::function<void(intent_verdict)> Done) override;
  void record(const intent_outcome &Outcome,
              std::function<void(std::error_code)> Done) override;

private:
  std::error_code readUpTo(std::uint64_t Offset);

  append_log &Log;
  std::mutex Mutex;
  intent_table Table;
  std::uint64_t Next = 0;
};

} // namespace clementinelane
