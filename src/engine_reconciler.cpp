#include "engine_reconciler.h"

#include "config.h"

#include <algorithm>
#include <array>

namespace clementinelane {

namespace {

constexpr std::array<std::string_view, 2> KindNames{"load", "unload"};

/// The first element of `A` that `B` lacks.
const std::string *firstMissing(const std::set<std::string> &A,
                                const std::set<std::string> &B) {
  const auto Found = std::find_if(
      A.begin(), A.end(), [&](const auto &Each) { return !B.contains(Each); });
  return Found == A.end() ? nullptr : &*Found;
}

} // namespace

std::string_view nameOf(order_kind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::vector<engine_target> engineTargets(const configuration &Config,
                                         std::string_view DataCentre) {
  std::map<std::string_view, std::vector<const version_spec *>> Pools;
  for (const auto &[Name, Version] : Config.Versions)
    Pools[Version.Pool].push_back(&Version);
  std::vector<engine_target> Targets;
  for (const auto &[Name, Endpoint] : Config.Endpoints) {
    const auto Pool = Pools.find(Endpoint.Pool);
    // Plain services have no versions to load.
    if (Endpoint.DataCentre != DataCentre || Pool == Pools.end())
      continue;
    engine_target Target{Name, Endpoint.Address, Endpoint.Fenced, {}};
    for (const version_spec *Version : Pool->second) {
      const bool IsNamed =
          Endpoint.Loads.empty() ||
          std::find(Endpoint.Loads.begin(), Endpoint.Loads.end(),
                    Version->Name) != Endpoint.Loads.end();
      if (IsNamed && Version->State != version_state::Withdrawn)
        Target.Versions.insert(Version->Name);
    }
    Targets.push_back(std::move(Target));
  }
  return Targets;
}

std::vector<reconcile_output>
engine_reconciler::handle(const reconcile_input &Input, mono_time Now) {
  outputs Out;
  std::visit([&](const auto &Event) { on(Event, Now, Out); }, Input);
  return Out;
}

std::size_t engine_reconciler::countSettled() const {
  return static_cast<std::size_t>(
      std::count_if(Engines.begin(), Engines.end(), [](const auto &Item) {
        return Item.second.Phase == phase::Known &&
               Item.second.Loaded == Item.second.Target.Versions;
      }));
}

void engine_reconciler::on(const reconcile_event::targets &Event, mono_time,
                           outputs &) {
  std::map<std::string, engine> Kept;
  for (const engine_target &Target : Event.Targets) {
    engine &Engine = Kept[Target.Endpoint];
    if (const auto Old = Engines.find(Target.Endpoint);
        Old != Engines.end() && Old->second.Target.Address == Target.Address)
      Engine = std::move(Old->second);
    Engine.Target = Target;
  }
  Engines = std::move(Kept);
}

void engine_reconciler::on(const reconcile_event::state_read &Event,
                           mono_time Now, outputs &) {
  const auto Found = Engines.find(Event.Endpoint);
  if (Found == Engines.end() || Found->second.Phase != phase::Reading)
    return;
  engine &Engine = Found->second;
  if (!Event.Loaded) {
    Engine.Phase = phase::Unread;
    Engine.NotBefore = Now + config::EngineRetryDelay;
    return;
  }
  Engine.Phase = phase::Known;
  Engine.Loaded = *Event.Loaded;
  Engine.NotBefore = Now;
}

void engine_reconciler::on(const reconcile_event::order_ended &Event,
                           mono_time Now, outputs &) {
  const auto Found = Engines.find(Event.Endpoint);
  if (Found == Engines.end() || Found->second.Phase != phase::Ordering)
    return;
  engine &Engine = Found->second;
  if (Event.Result == order_result::Done) {
    Engine.Phase = phase::Known;
    if (Engine.Kind == order_kind::Load)
      Engine.Loaded.insert(Engine.Version);
    else
      Engine.Loaded.erase(Engine.Version);
    return;
  }
  // The response may be lost after the order took effect, and a blind repeat
  // would fetch the weights twice; so the engine's state is read first. A
  // fencing error means that another holder is active, and the state is read
  // first as well.
  Engine.Phase = phase::Unread;
  Engine.NotBefore =
      Now + (Event.Result == order_result::Fenced ? config::OrderTimeout
                                                  : config::EngineRetryDelay);
}

/// An engine that ignores fencing tokens may still be executing an order that
/// the previous holder sent just before its lease expired; a version would then
/// reappear after its unload. So the order timeout is waited out before the
/// state is read.
void engine_reconciler::startLease(bool TookOver, mono_time Now) {
  for (auto &[Name, Engine] : Engines) {
    Engine.Phase = phase::Unread;
    Engine.NotBefore = Now;
    if (TookOver && !Engine.Target.Fenced)
      Engine.NotBefore += config::OrderTimeout + config::ClockDrift;
  }
}

void engine_reconciler::on(const reconcile_event::tick &Event, mono_time Now,
                           outputs &Out) {
  if (!Event.Fence) {
    HasLease = false;
    return;
  }
  if (!HasLease)
    startLease(Event.TookOver, Now);
  HasLease = true;
  for (auto &[Name, Engine] : Engines)
    reconcile(Engine, *Event.Fence, Now, Out);
}

void engine_reconciler::reconcile(engine &Engine, std::uint64_t Fence,
                                  mono_time Now, outputs &Out) {
  if (Now < Engine.NotBefore)
    return;
  if (Engine.Phase == phase::Unread) {
    Engine.Phase = phase::Reading;
    Out.push_back(reconcile_action::read_state{Engine.Target.Endpoint,
                                               Engine.Target.Address});
    return;
  }
  if (Engine.Phase != phase::Known)
    return;
  // Unloads before it loads, since an engine's memory is limited.
  if (const auto *Version = firstMissing(Engine.Loaded, Engine.Target.Versions))
    return startOrder(Engine, order_kind::Unload, *Version, Fence, Out);
  if (const auto *Version = firstMissing(Engine.Target.Versions, Engine.Loaded);
      Version && takeLoadToken(Now))
    return startOrder(Engine, order_kind::Load, *Version, Fence, Out);
}

void engine_reconciler::startOrder(engine &Engine, order_kind Kind,
                                   const std::string &Version,
                                   std::uint64_t Fence, outputs &Out) {
  Engine.Phase = phase::Ordering;
  Engine.Kind = Kind;
  Engine.Version = Version;
  Engine.Fence = Fence;
  Out.push_back(reconcile_action::send_order{
      Engine.Target.Endpoint, Engine.Target.Address, Kind, Version, Fence});
}

bool engine_reconciler::takeLoadToken(mono_time Now) {
  const std::chrono::duration<double> Passed =
      RefilledAt ? Now - *RefilledAt : duration(0);
  LoadTokens =
      RefilledAt
          ? std::min(config::WeightLoadBurst,
                     LoadTokens + Passed.count() * config::WeightLoadsPerSecond)
          : config::WeightLoadBurst;
  RefilledAt = Now;
  if (LoadTokens < 1)
    return false;
  LoadTokens -= 1;
  return true;
}

} // namespace clementinelane
