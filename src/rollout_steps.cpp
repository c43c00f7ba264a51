#include "rollout_steps.h"

#include <array>
#include <sstream>

namespace clementinelane {

namespace {

constexpr std::array<std::string_view, 4> CommandNames{"advance", "pause",
                                                       "resume", "abort"};

result<rollout_spec> advance(rollout_spec Spec) {
  if (Spec.Paused || Spec.Step + 1 >= Spec.StepsPercent.size())
    return error_kind::ConfigInvalid;
  ++Spec.Step;
  return Spec;
}

result<rollout_spec> pause(rollout_spec Spec) {
  Spec.Paused = true;
  return Spec;
}

result<rollout_spec> resume(rollout_spec Spec) {
  Spec.Paused = false;
  return Spec;
}

/// Keeps the roll-out at 0 percent: if it were removed, the target would become
/// an ordinary version that could be chosen for all sessions.
result<rollout_spec> abort(rollout_spec Spec) {
  if (Spec.StepsPercent.front() > 0)
    Spec.StepsPercent.insert(Spec.StepsPercent.begin(), 0);
  Spec.Step = 0;
  Spec.Paused = true;
  return Spec;
}

constexpr std::array<result<rollout_spec> (*)(rollout_spec), 4> CommandHandlers{
    &advance, &pause, &resume, &abort};

} // namespace

std::string_view nameOf(rollout_command Command) {
  return CommandNames[static_cast<std::size_t>(Command)];
}

std::optional<rollout_command> parseRolloutCommand(std::string_view Name) {
  for (std::size_t Index = 0; Index < CommandNames.size(); ++Index)
    if (CommandNames[Index] == Name)
      return static_cast<rollout_command>(Index);
  return std::nullopt;
}

std::string rolloutFileName(std::string_view Rollout) {
  return std::string(CommandFilePrefix) + "rollout-" + std::string(Rollout) +
         ".toml";
}

std::string stateFileName(std::string_view Version) {
  return std::string(CommandFilePrefix) + "state-" + std::string(Version) +
         ".toml";
}

namespace {

config_file tableFile(std::string Name, std::string_view Section,
                      std::string_view Item, toml::table Keys) {
  toml::table Items;
  Items.insert(Item, std::move(Keys));
  toml::table Root;
  Root.insert(Section, std::move(Items));
  std::ostringstream Text;
  Text << Root << '\n';
  return {std::move(Name), std::move(Text).str()};
}

} // namespace

config_file rolloutFile(const rollout_spec &Spec) {
  toml::array Steps;
  for (const double Percent : Spec.StepsPercent)
    Steps.push_back(Percent);
  return tableFile(rolloutFileName(Spec.Name), "rollouts", Spec.Name,
                   toml::table{{"from", Spec.From},
                               {"to", Spec.To},
                               {"steps_percent", std::move(Steps)},
                               {"step", static_cast<std::int64_t>(Spec.Step)},
                               {"automatic", Spec.Automatic},
                               {"paused", Spec.Paused}});
}

config_file stateFile(std::string_view Version, version_state State) {
  return tableFile(stateFileName(Version), "versions", Version,
                   toml::table{{"state", nameOf(State)}});
}

config_file drainFile(std::string_view Endpoint, bool IsLeaving) {
  return tableFile(std::string(CommandFilePrefix) + "drain-" +
                       std::string(Endpoint) + ".toml",
                   "endpoints", Endpoint, toml::table{{"leaving", IsLeaving}});
}

result<rollout_spec> applyRolloutCommand(const rollout_spec &Spec,
                                         rollout_command Command) {
  return CommandHandlers[static_cast<std::size_t>(Command)](Spec);
}

std::vector<std::string>
filesDefiningRollout(std::span<const config_file> Files,
                     std::string_view Rollout) {
  std::vector<std::string> Names;
  for (const config_file &File : Files) {
    std::vector<file_error> Errors;
    const toml::table Root = parseToml(File.Name, File.Text, Errors);
    if (Root["rollouts"][Rollout])
      Names.push_back(File.Name);
  }
  return Names;
}

double exposurePercent(const rollout_spec &Spec) {
  return Spec.StepsPercent.empty() ? 0 : Spec.StepsPercent[Spec.Step];
}

} // namespace clementinelane
