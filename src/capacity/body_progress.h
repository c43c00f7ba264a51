#pragma once

#include "clock.h"

#include <cstddef>
#include <optional>

namespace clementinelane {

/// Whether a message arrives, or an answer is taken, fast enough. Does no I/O.
///
/// Load: callers that send a byte now and then. Harm prevented: each holds a
/// body for as long as it likes.
class body_progress {
public:
  /// `Deadline`: after which the caller doesn't wait any longer.
  body_progress(mono_time Now, std::optional<duration> Deadline = {});

  void moved(std::size_t Bytes, mono_time Now);
  /// When the message is to be ended unless more has moved by then.
  mono_time endsAt() const;
  /// Whether it gives way to others when memory is short.
  bool isStalled(mono_time Now) const;

private:
  mono_time StartedAt;
  std::optional<mono_time> Deadline;
  std::size_t Bytes = 0;
  std::size_t MarkBytes = 0;
  mono_time MarkAt; ///< when MarkBytes had moved
};

} // namespace clementinelane
