#include "command.h"

#include "rollout_steps.h"

#include <array>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(from, "", "rollout start: version that is replaced");
DEFINE_string(to, "", "rollout start: version that replaces it");
DEFINE_string(steps, "1,5,25,100", "rollout start: percent of new sessions");
DEFINE_bool(automatic, false, "rollout start: go on or withdraw by itself");

namespace clementinelane::ctl {

namespace {

bool readSteps(std::vector<double> &Steps) {
  std::istringstream Stream(FLAGS_steps);
  for (std::string Word; std::getline(Stream, Word, ',');) {
    char *End = nullptr;
    Steps.push_back(std::strtod(Word.c_str(), &End));
    if (Word.empty() || *End != '\0')
      return false;
  }
  return !Steps.empty();
}

int publishSpec(const remote_configuration &Remote, const rollout_spec &Spec) {
  std::cout << "rollout " << Spec.Name << " step " << Spec.Step << " exposure "
            << exposurePercent(Spec) << "%" << (Spec.Paused ? " paused" : "")
            << '\n';
  config_state State;
  State.Files = Remote.Folder.Files;
  return publishFiles(Remote.Folder, {rolloutFile(Spec)}, false,
                      filesDefiningRollout(filesOf(State), Spec.Name));
}

int start(const remote_configuration &Remote, const std::string &Name) {
  rollout_spec Spec;
  Spec.Name = Name;
  Spec.From = FLAGS_from;
  Spec.To = FLAGS_to;
  Spec.Automatic = FLAGS_automatic;
  if (FLAGS_from.empty() || FLAGS_to.empty() || !readSteps(Spec.StepsPercent))
    return fail(ExitUsage, "rollout start needs --from, --to and --steps");
  if (Remote.Config->Rollouts.contains(Name))
    return fail(ExitRefused, Name + " exists; use advance, pause, resume or "
                                    "abort");
  return publishSpec(Remote, Spec);
}

int rollout(arguments Args) {
  const auto Remote = fetchConfiguration();
  if (!Remote)
    return failCall(Remote.error());
  if (Args[0] == "start")
    return start(Remote.value(), Args[1]);
  const auto Order = parseRolloutCommand(Args[0]);
  if (!Order)
    return fail(ExitUsage, "rollout start|advance|pause|resume|abort NAME");
  const auto Found = Remote.value().Config->Rollouts.find(Args[1]);
  if (Found == Remote.value().Config->Rollouts.end())
    return fail(ExitRefused, "no roll-out " + Args[1]);
  const auto Next = applyRolloutCommand(Found->second, *Order);
  if (!Next)
    return fail(ExitRefused, Args[1] + " is paused or at its last step");
  return publishSpec(Remote.value(), Next.value());
}

int setState(const std::string &Version, version_state State) {
  const auto Remote = fetchConfiguration();
  if (!Remote)
    return failCall(Remote.error());
  if (!Remote.value().Config->Versions.contains(Version))
    return fail(ExitRefused, "no version " + Version);
  return publishFiles(Remote.value().Folder, {stateFile(Version, State)},
                      false);
}

int withdraw(arguments Args) {
  return setState(Args[0], version_state::Withdrawn);
}

int retire(arguments Args) {
  return setState(Args[0], version_state::Retiring);
}

int reactivate(arguments Args) {
  return setState(Args[0], version_state::Active);
}

int setDraining(const std::string &Endpoint, bool IsDraining) {
  const auto Remote = fetchConfiguration();
  if (!Remote)
    return failCall(Remote.error());
  if (!Remote.value().Config->Endpoints.contains(Endpoint))
    return fail(ExitRefused, "no endpoint " + Endpoint);
  return publishFiles(Remote.value().Folder, {drainFile(Endpoint, IsDraining)},
                      false);
}

int drain(arguments Args) { return setDraining(Args[0], true); }
int undrain(arguments Args) { return setDraining(Args[0], false); }

constexpr std::array<command, 6> Commands{{
    {"rollout", 2, 2, &rollout,
     "rollout ORDER NAME        start, advance, pause, resume or abort"},
    {"withdraw", 1, 1, &withdraw,
     "withdraw M@V              no more work for a version, also of sessions"},
    {"retire", 1, 1, &retire,
     "retire M@V                no new sessions for a version"},
    {"reactivate", 1, 1, &reactivate,
     "reactivate M@V            undo withdraw or retire"},
    {"drain", 1, 1, &drain, "drain ENDPOINT            no new work for it"},
    {"undrain", 1, 1, &undrain, "undrain ENDPOINT          undo drain"},
}};

} // namespace

std::span<const command> rolloutCommands() { return Commands; }

} // namespace clementinelane::ctl
