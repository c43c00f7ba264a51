#pragma once

#include "clementinelane/error.h"
#include "usage.h"

#include <functional>
#include <msgpack.hpp>
#include <string>

namespace clementinelane {

/// Names one non-idempotent call.
struct intent_key {
  std::string Customer;
  std::string Key;      ///< the caller's Idempotency-Key
  std::string BodyHash; ///< of route and body; another hash is another call
  std::string RequestId;
};

/// An answer kept for replay.
struct kept_answer {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Version;
  std::string Body;
  MSGPACK_DEFINE_MAP(Status, ContentType, Version, Body)
};

/// What placing an intent came to. Only `Won` allows a dispatch, and one.
enum class intent_status : std::uint8_t {
  Won,         ///< first in the log; this request may be dispatched once
  Replay,      ///< an earlier request has the answer
  InProgress,  ///< an earlier request is running
  Reused,      ///< the key was used with another body
  Unknown,     ///< an earlier request may have run and is never repeated
  Unavailable, ///< the log can't be asked; nothing was or will be run
  NotKept      ///< an earlier request ran; its answer was too large to keep
};

struct intent_verdict {
  intent_status Status = intent_status::Unavailable;
  kept_answer Answer; ///< for Replay
};

/// How the winning request ended.
enum class intent_end : std::uint8_t {
  Answered, ///< ran, and the answer is kept
  NotRun,   ///< was never dispatched; the key may be used again
  Unknown   ///< may have run
};

struct intent_outcome {
  intent_key Key;
  intent_end End = intent_end::Unknown;
  kept_answer Answer;
};

/// Decides, through the log, which request of a key may run.
class intent_service {
public:
  virtual ~intent_service() = default;
  /// Exactly one call of `Done`, from any thread.
  virtual void place(const intent_key &Key,
                     std::function<void(intent_verdict)> Done) = 0;
  virtual void record(const intent_outcome &Outcome,
                      std::function<void(std::error_code)> Done) = 0;
};

} // namespace clementinelane
