#include "capacity/body_progress.h"

#include "capacity/config.h"

#include <algorithm>

namespace clementinelane {

body_progress::body_progress(mono_time Now, std::optional<duration> Deadline)
    : StartedAt(Now), MarkAt(Now) {
  // A deadline beyond the clock's range is none.
  if (Deadline && *Deadline < mono_time::max() - Now)
    this->Deadline = Now + *Deadline;
}

void body_progress::moved(std::size_t Count, mono_time Now) {
  Bytes += Count;
  if (Bytes - MarkBytes < config::StallBytes)
    return;
  MarkBytes = Bytes;
  MarkAt = Now;
}

mono_time body_progress::endsAt() const {
  const auto Earned =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(Bytes) / config::MinBodyRate));
  const mono_time BelowRate = StartedAt + config::BodyGrace + Earned;
  return Deadline ? std::min(BelowRate, *Deadline) : BelowRate;
}

bool body_progress::isStalled(mono_time Now) const {
  return Now - MarkAt >= config::StallTime;
}

} // namespace clementinelane
