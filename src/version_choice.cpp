#include "version_choice.h"

#include "config.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace clementinelane {

namespace {

constexpr std::uint64_t HashSteps = 1'000'000;

/// A stable number from 0 to 1 for `Key`, independent between salts.
double fractionOf(std::string_view Salt, std::string_view Key) {
  const auto Seed = XXH3_64bits(Salt.data(), Salt.size());
  const auto Hash = XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
  return static_cast<double>(Hash % HashSteps) / HashSteps;
}

bool isRolloutTarget(const configuration &Config, std::string_view Version) {
  return std::any_of(
      Config.Rollouts.begin(), Config.Rollouts.end(),
      [&](const auto &Item) { return Item.second.To == Version; });
}

/// Makes one plan; a step a function.
class version_chooser {
public:
  version_chooser(const configuration &Config, const choice_request &Request,
                  const quality_source &Quality)
      : Config(Config), Request(Request), Quality(Quality) {}

  result<version_plan> choose() {
    if (Request.Bound)
      return keepBound();
    findCandidates();
    if (Versions.empty())
      return error_kind::ModelUnknown;
    drop("not_allowed", [&](const version_spec *Each) {
      return !isAllowed(Request.Customer, *Each);
    });
    if (Versions.empty())
      return error_kind::VersionNotAllowed;
    dropInactive();
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
  result<version_plan> keepBound() {
    const auto Version = Config.Versions.find(Request.Bound->Version);
    // A version that is gone from the configuration counts as withdrawn.
    if (Version == Config.Versions.end() ||
        Version->second.State == version_state::Withdrawn)
      return error_kind::SessionVersionWithdrawn;
    if (!isAllowed(Request.Customer, Version->second))
      return error_kind::VersionNotAllowed;
    Plan.Work = Request.Bound->Work;
    Plan.Versions.push_back(Version->second);
    Plan.Reason = "session";
    return std::move(Plan);
  }

  /// Versions that the request's model names, whatever their state.
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
    MustMeet = Work->second.WhenNoneMeets == "refuse";
    for (const std::string &Name : Work->second.Versions)
      Versions.push_back(&Config.Versions.find(Name)->second);
    const auto Own = Request.Customer.QualityTargets.find(Plan.Work);
    if (Own != Request.Customer.QualityTargets.end())
      Plan.Target = Own->second;
  }

  template <typename F> void drop(std::string_view Reason, F IsUnfit) {
    std::erase_if(Versions, [&](const version_spec *Each) {
      if (!IsUnfit(Each))
        return false;
      Plan.Excluded.push_back({Each->Name, std::string(Reason)});
      return true;
    });
  }

  void dropInactive() {
    drop("not_active", [](const version_spec *Each) {
      return Each->State != version_state::Active;
    });
    drop("braked", [&](const version_spec *Each) {
      return Quality.isBraked(Each->Name);
    });
    if (!isExact())
      drop("rollout_target", [&](const version_spec *Each) {
        return isRolloutTarget(Config, Each->Name);
      });
  }

  bool isExact() const { return Config.Versions.contains(Request.Model); }

  double lower(const version_spec *Version) const {
    return Quality.lowerBound(*Version, Plan.Work, Request.Customer.Name);
  }

  std::error_code chooseCheapest() {
    Chosen = std::find_if(
        Versions.begin(), Versions.end(),
        [&](const version_spec *Each) { return lower(Each) >= Plan.Target; });
    Plan.Reason = "cheapest_meeting_target";
    if (Chosen != Versions.end())
      return {};
    if (MustMeet)
      return error_kind::NoVersionMeetsTarget;
    Chosen = std::max_element(
        Versions.begin(), Versions.end(),
        [&](const auto *A, const auto *B) { return lower(A) < lower(B); });
    Plan.Reason = "best_below_target";
    return {};
  }

  // Harm prevented: a cheap version never chosen for want of ratings, and so
  // never rated. Only work that nobody's session, booking or counter hangs on
  // takes part, and only ExplorationShare of it.
  bool mayExplore() const {
    return Request.MayExplore &&
           fractionOf("explore", Request.SessionId) < config::ExplorationShare;
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

  /// The version that a roll-out puts in place of `Version` for this session.
  const version_spec *applyRollouts(const version_spec *Version) {
    for (const auto &[Name, Rollout] : Config.Rollouts) {
      if (Rollout.From != Version->Name)
        continue;
      const version_spec &To = Config.Versions.find(Rollout.To)->second;
      const double Share = Rollout.StepsPercent[Rollout.Step] / 100;
      const bool Takes = To.State == version_state::Active &&
                         !Quality.isBraked(To.Name) &&
                         isAllowed(Request.Customer, To) &&
                         fractionOf(Name, Request.SessionId) < Share;
      if (!Takes)
        continue;
      Plan.Reason += "+rollout";
      Plan.RunnerUp = Version->Name;
      return &To;
    }
    return Version;
  }

  // Load: work that a cheap version does well mostly, and is sure of when it
  // does. Harm prevented: paying for two answers where one would do. The cheap
  // one is asked first only if its answer stands often enough to pay for it.
  const version_spec *cascadeFirst() const {
    if (!MayCascade || Request.HasSession)
      return nullptr;
    const version_spec *Cheapest = Versions.front();
    if (Cheapest == *Chosen)
      return nullptr;
    if (mayExplore())
      return Cheapest;
    const double Share = Quality.cascadeShare(
        *Cheapest, Plan.Work, Request.Customer.Name, Plan.Target);
    const bool Pays =
        Share * (*Chosen)->CostPer1kTokens > Cheapest->CostPer1kTokens;
    return Pays ? Cheapest : nullptr;
  }

  void fillPlan() {
    if (const auto Next = Chosen + 1; Next != Versions.end())
      Plan.RunnerUp = (*Next)->Name;
    const version_spec *Cheap = Plan.IsExploring ? nullptr : cascadeFirst();
    if (Cheap) {
      Plan.Cascade = true;
      Plan.IsExploring = mayExplore();
      Plan.Reason = "cascade";
      Plan.RunnerUp = (*Chosen)->Name;
      Plan.Versions.push_back(*Cheap);
    }
    Plan.Versions.push_back(isExact() ? **Chosen : *applyRollouts(*Chosen));
  }

  const configuration &Config;
  const choice_request &Request;
  const quality_source &Quality;
  version_plan Plan;
  std::vector<const version_spec *> Versions;
  std::vector<const version_spec *>::iterator Chosen;
  bool MayCascade = false;
  bool MustMeet = false;
};

} // namespace

result<version_plan> chooseVersion(const configuration &Config,
                                   const choice_request &Request,
                                   const quality_source &Quality) {
  return version_chooser(Config, Request, Quality).choose();
}

} // namespace clementinelane
