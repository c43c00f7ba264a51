#pragma once

#include "clementinelane/error.h"
#include "usage.h"

#include <functional>
#include <msgpack.hpp>
#include <string>

namespace clementinelane {

/// Identifies one non-idempotent call.
struct intent_key {
  std::string Customer;
  std::string Key;      ///< the caller's Idempotency-Key
  std::string BodyHash; ///< of route and body; differs for another call
  std::string RequestId;
};

/// A response stored so that a repeated call can be answered with it.
struct kept_answer {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Version;
  std::string Body;
  MSGPACK_DEFINE_MAP(Status, ContentType, Version, Body)
};

/// Result of placing an intent. Only `Won` allows the call to be dispatched,
/// and only once.
enum class intent_status : std::uint8_t {
  Won,         ///< first in the log; this request may be dispatched once
  Replay,      ///< an earlier request completed; its answer is returned
  InProgress,  ///< an earlier request is running
  Reused,      ///< the key was used with another body
  Unknown,     ///< an earlier request may have run; the call is not repeated
  Unavailable, ///< the log can't be reached; the call never runs
  NotKept      ///< an earlier request ran; its answer was too large to keep
};

struct intent_verdict {
  intent_status Status = intent_status::Unavailable;
  kept_answer Answer; ///< for Replay
};

/// How the winning request ended.
enum class intent_end : std::uint8_t {
  Answered, ///< ran, and its answer is known
  NotRun,   ///< was never dispatched; the key may be used again
  Unknown   ///< may have run
};

struct intent_outcome {
  intent_key Key;
  intent_end End = intent_end::Unknown;
  kept_answer Answer;
};

/// Decides through the log which of the requests with the same key may run.
class intent_service {
public:
  virtual ~intent_service() = default;
  /// Calls `Done` exactly once, from any thread.
  virtual void place(const intent_key &Key,
                     std::function<void(intent_verdict)> Done) = 0;
  virtual void record(const intent_outcome &Outcome,
                      std::function<void(std::error_code)> Done) = 0;
};

} // namespace clementinelane
