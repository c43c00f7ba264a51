#pragma once

#include "candidate.h"
#include "clock.h"
#include "configuration.h"
#include "rollout_steps.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace clementinelane {

namespace driver_event {
/// A configuration came into force.
struct config_changed {
  configuration_ptr Config;
};
/// `Step` is the step whose answers were rated.
struct verdict_received {
  std::string Rollout;
  std::uint64_t Step = 0;
  candidate_verdict Verdict = candidate_verdict::Undecided;
};
/// Periodic; `MayAct` is true while the lease is held, the log is reachable and
/// the configuration in force is the newest one known.
struct tick {
  bool MayAct = false;
};
} // namespace driver_event

using driver_input =
    std::variant<driver_event::config_changed, driver_event::verdict_received,
                 driver_event::tick>;

namespace driver_action {
/// Stop sending new sessions from this VM to the version, immediately; logged
/// as "brake".
struct halt {
  std::string Version;
};
struct release_halt {
  std::string Version;
};
/// Append this file by compare-and-set against the configuration at `Offset`.
struct propose {
  std::string Rollout;
  config_file File;
  std::uint64_t Offset = 0;
  std::string Reason;
};
} // namespace driver_action

using driver_output =
    std::variant<driver_action::halt, driver_action::release_halt,
                 driver_action::propose>;

/// Advances automatic roll-outs, or withdraws their target version. Progress is
/// kept only in the configuration, so another VM can resume after an
/// interruption. A state machine without I/O.
///
/// Load: a roll-out in progress on most days, judged on every VM. Harm
/// prevented: running work on a bad version, which is the worst outcome; so a
/// halt needs neither the lease nor the log. Exposure rises only by a step in
/// the log, so a partitioned VM can only lower it.
class rollout_driver {
public:
  std::vector<driver_output> handle(const driver_input &Input, mono_time Now);

  const std::set<std::string, std::less<>> &haltedVersions() const {
    return HaltedVersions;
  }

private:
  struct tracked_rollout {
    rollout_spec Spec;
    mono_time StepStartedAt{}; ///< when the step came into force on this VM
    candidate_verdict Verdict = candidate_verdict::Undecided;
    std::optional<mono_time> ProposedAt;
  };
  using outputs = std::vector<driver_output>;

  void on(const driver_event::config_changed &Event, mono_time Now,
          outputs &Out);
  void on(const driver_event::verdict_received &Event, mono_time Now,
          outputs &Out);
  void on(const driver_event::tick &Event, mono_time Now, outputs &Out);
  std::optional<driver_action::propose>
  nextProposal(const tracked_rollout &Tracked, mono_time Now) const;
  bool isActive(const std::string &Version) const;

  configuration_ptr Config;
  std::map<std::string, tracked_rollout> TrackedRollouts;
  std::set<std::string, std::less<>> HaltedVersions;
};

} // namespace clementinelane
