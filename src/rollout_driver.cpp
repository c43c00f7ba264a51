#include "rollout_driver.h"

#include "config.h"

namespace clementinelane {

namespace {

bool isSameStep(const rollout_spec &A, const rollout_spec &B) {
  return A.From == B.From && A.To == B.To && A.Step == B.Step &&
         A.StepsPercent == B.StepsPercent && A.Paused == B.Paused;
}

} // namespace

std::vector<driver_output> rollout_driver::handle(const driver_input &Input,
                                                  mono_time Now) {
  outputs Out;
  std::visit([&](const auto &Event) { on(Event, Now, Out); }, Input);
  return Out;
}

bool rollout_driver::isActive(const std::string &Version) const {
  const auto Found = Config->Versions.find(Version);
  return Found != Config->Versions.end() &&
         Found->second.State == version_state::Active;
}

void rollout_driver::on(const driver_event::config_changed &Event,
                        mono_time Now, outputs &Out) {
  if (Config && Event.Config->Offset <= Config->Offset)
    return;
  Config = Event.Config;
  std::map<std::string, tracked_rollout> Updated;
  for (const auto &[Name, Spec] : Config->Rollouts) {
    const auto Old = TrackedRollouts.find(Name);
    if (Old != TrackedRollouts.end() && isSameStep(Old->second.Spec, Spec)) {
      Updated[Name] = Old->second;
      Updated[Name].Spec = Spec;
      continue;
    }
    // A new step, by the driver or an operator, is judged only by its own
    // answers. A halt is released only by a new step in the log.
    Updated[Name] = {Spec, Now, candidate_verdict::Undecided, std::nullopt};
    if (HaltedVersions.erase(Spec.To) > 0)
      Out.push_back(driver_action::release_halt{Spec.To});
  }
  TrackedRollouts = std::move(Updated);
}

void rollout_driver::on(const driver_event::verdict_received &Event, mono_time,
                        outputs &Out) {
  const auto Found = TrackedRollouts.find(Event.Rollout);
  // Ignores a verdict on another step.
  if (Found == TrackedRollouts.end() || Found->second.Spec.Step != Event.Step)
    return;
  tracked_rollout &Tracked = Found->second;
  // A bad verdict is final for the step: later answers come from less exposure.
  if (Tracked.Verdict != candidate_verdict::Bad)
    Tracked.Verdict = Event.Verdict;
  if (Tracked.Verdict == candidate_verdict::Bad &&
      HaltedVersions.insert(Tracked.Spec.To).second)
    Out.push_back(driver_action::halt{Tracked.Spec.To});
}

std::optional<driver_action::propose>
rollout_driver::nextProposal(const tracked_rollout &Tracked,
                             mono_time Now) const {
  const rollout_spec &Spec = Tracked.Spec;
  if (!Spec.Automatic || !isActive(Spec.To))
    return std::nullopt;
  if (Tracked.Verdict == candidate_verdict::Bad)
    return driver_action::propose{Spec.Name,
                                  stateFile(Spec.To, version_state::Withdrawn),
                                  Config->Offset, "candidate_bad"};
  if (Tracked.Verdict != candidate_verdict::Good ||
      Now - Tracked.StepStartedAt < config::MinRolloutStepTime)
    return std::nullopt;
  const auto Advanced = applyRolloutCommand(Spec, rollout_command::Advance);
  if (!Advanced)
    return std::nullopt;
  return driver_action::propose{Spec.Name, rolloutFile(Advanced.value()),
                                Config->Offset, "candidate_good"};
}

// Guard: the append of a step or its reply may be lost, or this VM may fail in
// between. Only the time of the attempt is kept; the outcome is read from the
// configuration. A step proposed twice has the same base, so compare-and-set
// rejects the second.
void rollout_driver::on(const driver_event::tick &Event, mono_time Now,
                        outputs &Out) {
  if (!Event.MayAct || !Config)
    return;
  for (auto &[Name, Tracked] : TrackedRollouts) {
    if (Tracked.ProposedAt &&
        Now - *Tracked.ProposedAt < config::RolloutRetryDelay)
      continue;
    if (auto Proposal = nextProposal(Tracked, Now)) {
      Tracked.ProposedAt = Now;
      Out.push_back(std::move(*Proposal));
    }
  }
}

} // namespace clementinelane
