#include "version_choice.h"

#include "config.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace clementinelane {

namespace {

constexpr std::uint64_t HashBuckets = 1'000'000;

/// Stable hash of `Key` to a fraction from 0 to 1, independent between salts.
double hashFraction(std::string_view Salt, std::string_view Key) {
  const auto Seed = XXH3_64bits(Salt.data(), Salt.size());
  const auto Hash = XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
  return static_cast<double>(Hash % HashBuckets) / HashBuckets;
}

bool isRolloutTarget(const configuration &Config, std::string_view Version) {
  return std::any_of(
      Config.Rollouts.begin(), Config.Rollouts.end(),
      [&](const auto &Item) { return Item.second.To == Version; });
}

/// Builds the plan for one request.
class version_chooser {
public:
  version_chooser(const configuration &Config,
                  const version_choice_request &Request,
                  const quality_source &Quality)
      : Config(Config), Request(Request), Quality(Quality) {}

  result<version_plan> choose() {
    if (Request.SessionBinding)
      return useSessionVersion();
    findCandidates();
    if (Versions.empty())
      return error_kind::ModelUnknown;
    exclude("not_allowed", [&](const version_spec *Each) {
      return !isAllowed(Request.Customer, *Each);
    });
    if (Versions.empty())
      return error_kind::VersionNotAllowed;
    excludeInactive();
    if (Versions.empty())
      return error_kind::NoVersionActive;
    std::sort(Versions.begin(), Versions.end(),
              [](const auto *A, const auto *B) {
                return std::tie(A->CostPer1kTokens, A->Name) <
                       std::tie(B->CostPer1kTokens, B->Name);
              });
    if (const std::error_code Error = chooseCheapest())
      return Error;
    if (mayExplore() && !MayCascade)
      explore();
    fillPlan();
    return std::move(Plan);
  }

private:
  result<version_plan> useSessionVersion() {
    const auto Version = Config.Versions.find(Request.SessionBinding->Version);
    // A version removed from the configuration counts as withdrawn.
    if (Version == Config.Versions.end() ||
        Version->second.State == version_state::Withdrawn)
      return error_kind::SessionVersionWithdrawn;
    if (!isAllowed(Request.Customer, Version->second))
      return error_kind::VersionNotAllowed;
    Plan.Work = Request.SessionBinding->Work;
    Plan.Versions.push_back(Version->second);
    Plan.Reason = "session";
    return std::move(Plan);
  }

  /// Finds all versions that the request's model matches, in any state.
  void findCandidates() {
    const auto Work = Config.Work.find(Request.Model);
    if (Work == Config.Work.end()) {
      for (const auto &[Name, Version] : Config.Versions)
        if (Name == Request.Model || Version.Model == Request.Model)
          Versions.push_back(&Version);
      return;
    }
    Plan.Work = Work->first;
    Plan.Target = Work->second.QualityTarget;
    MayCascade = Work->second.Cascade;
    RefuseBelowTarget = Work->second.WhenNoneMeets == "refuse";
    for (const std::string &Name : Work->second.Versions)
      Versions.push_back(&Config.Versions.find(Name)->second);
    const auto CustomerTarget = Request.Customer.QualityTargets.find(Plan.Work);
    if (CustomerTarget != Request.Customer.QualityTargets.end())
      Plan.Target = CustomerTarget->second;
  }

  template <typename F> void exclude(std::string_view Reason, F IsExcluded) {
    std::erase_if(Versions, [&](const version_spec *Each) {
      if (!IsExcluded(Each))
        return false;
      Plan.Excluded.push_back({Each->Name, std::string(Reason)});
      return true;
    });
  }

  void excludeInactive() {
    exclude("not_active", [](const version_spec *Each) {
      return Each->State != version_state::Active;
    });
    exclude("braked", [&](const version_spec *Each) {
      return Quality.isHalted(Each->Name);
    });
    if (!isExactVersion())
      exclude("rollout_target", [&](const version_spec *Each) {
        return isRolloutTarget(Config, Each->Name);
      });
  }

  bool isExactVersion() const {
    return Config.Versions.contains(Request.Model);
  }

  double lowerBoundOf(const version_spec *Version) const {
    return Quality.lowerBound(*Version, Plan.Work, Request.Customer.Name);
  }

  std::error_code chooseCheapest() {
    Chosen = std::find_if(Versions.begin(), Versions.end(),
                          [&](const version_spec *Each) {
                            return lowerBoundOf(Each) >= Plan.Target;
                          });
    Plan.Reason = "cheapest_meeting_target";
    if (Chosen != Versions.end())
      return {};
    if (RefuseBelowTarget)
      return error_kind::NoVersionMeetsTarget;
    Chosen = std::max_element(Versions.begin(), Versions.end(),
                              [&](const auto *A, const auto *B) {
                                return lowerBoundOf(A) < lowerBoundOf(B);
                              });
    Plan.Reason = "best_below_target";
    return {};
  }

  // Harm prevented: a cheap version without ratings is never chosen and so
  // never rated. Limited to ExplorationShare of the requests without a session,
  // a side effect or counter priority.
  bool mayExplore() const {
    return Request.MayExplore && hashFraction("explore", Request.SessionId) <
                                     config::ExplorationShare;
  }

  void explore() {
    const auto First =
        std::find_if(Versions.begin(), Chosen, [&](const version_spec *Each) {
          return Quality.upperBound(*Each, Plan.Work, Request.Customer.Name) >=
                 Plan.Target;
        });
    if (First == Chosen)
      return;
    Chosen = First;
    Plan.IsExploring = true;
    Plan.Reason = "explore";
  }

  /// Returns the version that a roll-out substitutes for `Version` in this
  /// session, or `Version`.
  const version_spec *applyRollouts(const version_spec *Version) {
    for (const auto &[Name, Rollout] : Config.Rollouts) {
      if (Rollout.From != Version->Name)
        continue;
      const version_spec &To = Config.Versions.find(Rollout.To)->second;
      const double Share = Rollout.StepsPercent[Rollout.Step] / 100;
      const bool UsesRollout = To.State == version_state::Active &&
                               !Quality.isHalted(To.Name) &&
                               isAllowed(Request.Customer, To) &&
                               hashFraction(Name, Request.SessionId) < Share;
      if (!UsesRollout)
        continue;
      Plan.Reason += "+rollout";
      Plan.RunnerUp = Version->Name;
      return &To;
    }
    return Version;
  }

  // Load: work for which a cheap version is usually good enough and reports
  // high confidence when it is. Harm prevented: paying for two answers instead
  // of one. The cheap version runs first only if its answers are accepted often
  // enough to reduce the expected cost.
  const version_spec *cascadeFirstVersion() const {
    if (!MayCascade || Request.HasSession)
      return nullptr;
    const version_spec *Cheapest = Versions.front();
    if (Cheapest == *Chosen)
      return nullptr;
    if (mayExplore())
      return Cheapest;
    const double Share = Quality.cascadeAcceptanceRate(
        *Cheapest, Plan.Work, Request.Customer.Name, Plan.Target);
    const bool ReducesCost =
        Share * (*Chosen)->CostPer1kTokens > Cheapest->CostPer1kTokens;
    return ReducesCost ? Cheapest : nullptr;
  }

  void fillPlan() {
    if (const auto Next = Chosen + 1; Next != Versions.end())
      Plan.RunnerUp = (*Next)->Name;
    const version_spec *Cheap =
        Plan.IsExploring ? nullptr : cascadeFirstVersion();
    if (Cheap) {
      Plan.Cascade = true;
      Plan.IsExploring = mayExplore();
      Plan.Reason = "cascade";
      Plan.RunnerUp = (*Chosen)->Name;
      Plan.Versions.push_back(*Cheap);
    }
    Plan.Versions.push_back(isExactVersion() ? **Chosen
                                             : *applyRollouts(*Chosen));
  }

  const configuration &Config;
  const version_choice_request &Request;
  const quality_source &Quality;
  version_plan Plan;
  std::vector<const version_spec *> Versions;
  std::vector<const version_spec *>::iterator Chosen;
  bool MayCascade = false;
  bool RefuseBelowTarget = false;
};

} // namespace

result<version_plan> chooseVersion(const configuration &Config,
                                   const version_choice_request &Request,
                                   const quality_source &Quality) {
  return version_chooser(Config, Request, Quality).choose();
}

} // namespace clementinelane
