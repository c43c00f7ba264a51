#pragma once

#include "clementinelane/error.h"
#include "configuration.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Commands of an operator or the driver on a roll-out in progress.
enum class rollout_command : std::uint8_t { Advance, Pause, Resume, Abort };

std::string_view nameOf(rollout_command Command);
/// Returns the command called `Name`, if there is one.
std::optional<rollout_command> parseRolloutCommand(std::string_view Name);

/// Files written by commands sort last, so that they override the operators'
/// own files, and aren't part of the operators' folder.
constexpr std::string_view CommandFilePrefix = "zz-";
inline bool isCommandFile(std::string_view Name) {
  return Name.substr(0, CommandFilePrefix.size()) == CommandFilePrefix;
}
std::string rolloutFileName(std::string_view Rollout);
std::string stateFileName(std::string_view Version);

/// Returns the configuration file that defines `Spec`.
config_file rolloutFile(const rollout_spec &Spec);
/// Returns the configuration file that sets the state of `Version`.
config_file stateFile(std::string_view Version, version_state State);

/// Returns the configuration file that drains or undrains `Endpoint`.
config_file drainFile(std::string_view Endpoint, bool IsLeaving);

/// Returns the roll-out after `Command`, or ConfigInvalid when it can't advance
/// because it is paused or at its last step.
result<rollout_spec> applyRolloutCommand(const rollout_spec &Spec,
                                         rollout_command Command);

/// Returns the files that define any part of the roll-out; a change of its step
/// is conditional on all of them.
std::vector<std::string>
filesDefiningRollout(std::span<const config_file> Files,
                     std::string_view Rollout);

/// Percentage of new sessions that the roll-out sends to its target.
double exposurePercent(const rollout_spec &Spec);

} // namespace clementinelane
