#include "command.h"

#include "rollout_steps.h"
#include "version_choice.h"

#include <array>
#include <iostream>

namespace clementinelane::ctl {

namespace {

using web::json::value;

int status(arguments) {
  const auto Body = makeClient().get("/v1/status");
  if (!Body)
    return failCall(Body.error());
  if (wantsJson()) {
    std::cout << Body.value().serialize() << '\n';
    return ExitDone;
  }
  for (const auto &[Key, Value] : Body.value().as_object())
    std::cout << Key << " " << Value.serialize() << '\n';
  return ExitDone;
}

int members(arguments) {
  const auto Body = makeClient().get("/v1/offsets");
  if (!Body)
    return failCall(Body.error());
  constexpr std::array<std::string_view, 5> Keys{"vm", "data_centre", "address",
                                                 "offset", "reachable"};
  printRows(Body.value().at("members"), Keys);
  return ExitDone;
}

int versions(arguments) {
  const auto Remote = fetchConfiguration();
  if (!Remote)
    return failCall(Remote.error());
  auto Rows = value::array();
  for (const auto &[Name, Spec] : Remote.value().Config->Versions) {
    auto Row = value::object();
    Row["version"] = value::string(Name);
    Row["state"] = value::string(std::string(nameOf(Spec.State)));
    Row["pool"] = value::string(Spec.Pool);
    Row["cost_per_1k_tokens"] = value::number(Spec.CostPer1kTokens);
    Row["quality"] = value::number(Spec.Quality);
    std::string Steps;
    for (const auto &[Rollout, Each] : Remote.value().Config->Rollouts)
      if (Each.To == Name)
        Steps += Rollout + ":" + std::to_string(exposurePercent(Each)) + "%" +
                 (Each.Paused ? " paused" : "");
    Row["rollout"] = value::string(Steps);
    Rows[Rows.size()] = Row;
  }
  constexpr std::array<std::string_view, 6> Keys{
      "version", "state", "pool", "cost_per_1k_tokens", "quality", "rollout"};
  printRows(Rows, Keys);
  return ExitDone;
}

/// Why `Version` is not eligible for the customer; empty if it is.
std::string exclusionReason(const configuration &Config,
                            const customer_spec &Customer,
                            const version_spec &Version) {
  if (!isAllowed(Customer, Version))
    return "not allowed to the customer";
  if (Version.State != version_state::Active)
    return std::string(nameOf(Version.State));
  for (const auto &[Name, Rollout] : Config.Rollouts)
    if (Rollout.To == Version.Name)
      return "target of roll-out " + Name + ", takes sessions only through it";
  return "";
}

value explainExcluded(const configuration &Config,
                      const customer_spec &Customer, const std::string &Model) {
  auto Rows = value::array();
  const auto Work = Config.Work.find(Model);
  for (const auto &[Name, Version] : Config.Versions) {
    const bool IsNamed = Work == Config.Work.end()
                             ? Name == Model || Version.Model == Model
                             : std::find(Work->second.Versions.begin(),
                                         Work->second.Versions.end(),
                                         Name) != Work->second.Versions.end();
    const std::string Why = exclusionReason(Config, Customer, Version);
    if (!IsNamed || Why.empty())
      continue;
    auto Row = value::object();
    Row["version"] = value::string(Name);
    Row["why"] = value::string(Why);
    Rows[Rows.size()] = Row;
  }
  return Rows;
}

int explain(arguments Args) {
  const auto Remote = fetchConfiguration();
  if (!Remote)
    return failCall(Remote.error());
  const configuration &Config = *Remote.value().Config;
  const auto Customer = Config.Customers.find(Args[0]);
  if (Customer == Config.Customers.end())
    return fail(ExitRefused, "no customer " + Args[0]);
  const std::string Session = Args.size() > 2 ? Args[2] : "";
  const auto Plan =
      chooseVersion(Config, {Customer->second, Args[1], Session, std::nullopt},
                    prior_quality());
  auto Row = value::object();
  Row["offset"] = value::number(Config.Offset);
  Row["version"] = value::string(Plan ? Plan.value().Versions[0].Name : "none");
  Row["reason"] =
      value::string(Plan ? Plan.value().Reason
                         : std::string(answerOf(kindOf(Plan.error())).Name));
  Row["target"] = value::number(Plan ? Plan.value().Target : 0);
  Row["runner_up"] = value::string(Plan ? Plan.value().RunnerUp : "");
  const value Excluded = explainExcluded(Config, Customer->second, Args[1]);
  if (wantsJson()) {
    Row["excluded"] = Excluded;
    std::cout << Row.serialize() << '\n';
    return Plan ? ExitDone : ExitRefused;
  }
  constexpr std::array<std::string_view, 5> Keys{
      "version", "reason", "runner_up", "target", "offset"};
  auto Rows = value::array();
  Rows[0] = Row;
  printRows(Rows, Keys);
  constexpr std::array<std::string_view, 2> ExcludedKeys{"version", "why"};
  if (Excluded.size() > 0) {
    std::cout << "excluded:\n";
    printRows(Excluded, ExcludedKeys);
  }
  return Plan ? ExitDone : ExitRefused;
}

constexpr std::array<command, 4> Commands{{
    {"status", 0, 0, &status,
     "status                    what one control knows"},
    {"members", 0, 0, &members,
     "members                   which VM has which configuration"},
    {"versions", 0, 0, &versions,
     "versions                  versions with state and roll-out"},
    {"explain", 2, 3, &explain,
     "explain CUSTOMER MODEL [SESSION]  where a request would go, and why"},
}};

} // namespace

std::span<const command> queryCommands() { return Commands; }

} // namespace clementinelane::ctl
