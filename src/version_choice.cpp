#include "version_choice.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

namespace {

/// Versions that `Model` names, whatever their state.
std::vector<const version_spec *> findCandidates(const configuration &Config,
                                                 std::string_view Model,
                                                 version_plan &Plan) {
  std::vector<const version_spec *> Found;
  if (const auto Work = Config.Work.find(Model); Work != Config.Work.end()) {
    Plan.Work = Work->first;
    Plan.Target = Work->second.QualityTarget;
    Plan.Cascade = Work->second.Cascade;
    for (const std::string &Name : Work->second.Versions)
      Found.push_back(&Config.Versions.find(Name)->second);
    return Found;
  }
  for (const auto &[Name, Version] : Config.Versions)
    if (Name == Model || Version.Model == Model)
      Found.push_back(&Version);
  return Found;
}

/// A stable number from 0 to 100 for a session in a roll-out. All VMs compute
/// the same, so a session without a token lands alike everywhere.
double percentOf(std::string_view Rollout, std::string_view Session) {
  const auto Seed = XXH3_64bits(Rollout.data(), Rollout.size());
  const auto Hash = XXH3_64bits_withSeed(Session.data(), Session.size(), Seed);
  return static_cast<double>(Hash % 1'000'000) / 10'000;
}

/// The version that a roll-out puts in place of `Version` for this session.
const version_spec *applyRollouts(const configuration &Config,
                                  const version_spec *Version,
                                  std::string_view Session,
                                  const quality_source &Quality) {
  for (const auto &[Name, Rollout] : Config.Rollouts) {
    if (Rollout.From != Version->Name)
      continue;
    const auto &To = Config.Versions.find(Rollout.To)->second;
    const bool Takes =
        To.State == version_state::Active && !Quality.isBraked(To.Name) &&
        percentOf(Name, Session) < Rollout.StepsPercent[Rollout.Step];
    if (Takes)
      return &To;
  }
  return Version;
}

bool isRolloutTarget(const configuration &Config, std::string_view Version) {
  return std::any_of(
      Config.Rollouts.begin(), Config.Rollouts.end(),
      [&](const auto &Item) { return Item.second.To == Version; });
}

result<version_plan> keepBound(const configuration &Config,
                               const choice_request &Request) {
  const auto Version = Config.Versions.find(Request.Bound->Version);
  // A version that is gone from the configuration counts as withdrawn.
  if (Version == Config.Versions.end() ||
      Version->second.State == version_state::Withdrawn)
    return error_kind::SessionVersionWithdrawn;
  if (!isAllowed(Request.Customer, Version->second))
    return error_kind::VersionNotAllowed;
  version_plan Plan;
  Plan.Work = Request.Bound->Work;
  Plan.Versions.push_back(Version->second);
  Plan.Reason = "session";
  return Plan;
}

double targetOf(const customer_spec &Customer, const version_plan &Plan) {
  const auto Own = Customer.QualityTargets.find(Plan.Work);
  return Own == Customer.QualityTargets.end() ? Plan.Target : Own->second;
}

} // namespace

result<version_plan> chooseVersion(const configuration &Config,
                                   const choice_request &Request,
                                   const quality_source &Quality) {
  if (Request.Bound)
    return keepBound(Config, Request);
  version_plan Plan;
  auto Versions = findCandidates(Config, Request.Model, Plan);
  if (Versions.empty())
    return error_kind::ModelUnknown;
  std::erase_if(Versions, [&](const version_spec *Each) {
    return !isAllowed(Request.Customer, *Each);
  });
  if (Versions.empty())
    return error_kind::VersionNotAllowed;
  const bool Exact = Config.Versions.contains(Request.Model);
  std::erase_if(Versions, [&](const version_spec *Each) {
    return Each->State != version_state::Active ||
           Quality.isBraked(Each->Name) ||
           (!Exact && isRolloutTarget(Config, Each->Name));
  });
  if (Versions.empty())
    return error_kind::NoVersionActive;

  Plan.Target = targetOf(Request.Customer, Plan);
  const auto Bound = [&](const version_spec *Each) {
    return Quality.lowerBound(*Each, Plan.Work, Request.Customer.Name);
  };
  std::sort(Versions.begin(), Versions.end(), [](const auto *A, const auto *B) {
    return std::tie(A->CostPer1kTokens, A->Name) <
           std::tie(B->CostPer1kTokens, B->Name);
  });
  auto First =
      std::find_if(Versions.begin(), Versions.end(), [&](const auto *Each) {
        return Bound(Each) >= Plan.Target;
      });
  Plan.Reason = "cheapest_meeting_target";
  if (First == Versions.end()) {
    const auto Work = Config.Work.find(Plan.Work);
    if (Work != Config.Work.end() && Work->second.WhenNoneMeets == "refuse")
      return error_kind::NoVersionMeetsTarget;
    First = std::max_element(
        Versions.begin(), Versions.end(),
        [&](const auto *A, const auto *B) { return Bound(A) < Bound(B); });
    Plan.Reason = "best_below_target";
  }
  if (Plan.Cascade) {
    First = Versions.begin();
    Plan.Reason = "cascade";
  }
  if (First + 1 != Versions.end())
    Plan.RunnerUp = (*(First + 1))->Name;
  const version_spec *Chosen =
      Exact ? *First
            : applyRollouts(Config, *First, Request.SessionId, Quality);
  if (!isAllowed(Request.Customer, *Chosen))
    Chosen = *First;
  if (Chosen != *First) {
    Plan.Reason += "+rollout";
    Plan.RunnerUp = (*First)->Name;
  }
  Plan.Versions.push_back(*Chosen);
  if (Plan.Cascade)
    for (auto Next = First + 1; Next != Versions.end(); ++Next)
      Plan.Versions.push_back(**Next);
  return Plan;
}

} // namespace clementinelane
