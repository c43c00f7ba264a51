#include "entry.h"

#include "change.h"
#include "codec.h"
#include "config.h"
#include "entry_metrics.h"
#include "logs.h"
#include "metrics.h"

#include <random>

namespace clementinelane {

namespace {

/// The link path on which entries exchange customers' demand.
constexpr std::string_view QuotaPath = "/quota";

header_lookup headersOf(const std::shared_ptr<http_call> &Call) {
  return [Call](std::string_view Name) { return Call->header(Name); };
}

/// This VM's entry in the peer list. The incarnation is the start time, so a
/// restarted process counts as a new peer.
peer_info selfOf(const settings &Settings, const runtime_clock &Clock) {
  peer_info Self;
  Self.Vm = Settings.VmName;
  Self.DataCentre = Settings.DataCentre;
  Self.Region = Settings.Region;
  Self.EntryLink =
      Settings.Address + ":" + std::to_string(Settings.EntryLinkPort);
  Self.Incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock.wallNow().time_since_epoch())
          .count());
  return Self;
}

} // namespace

entry::entry(const settings &Settings, const runtime_clock &Clock)
    : Settings(Settings), Clock(Clock),
      Rater(Settings.RaterAddress, Config, Quality),
      Tokens(Settings.SessionKeys),
      Placer(Settings.VmName, Settings.DataCentre, std::random_device{}()),
      Admission(
          Clock,
          [this](std::string_view Pool) {
            const configuration_ptr Current = Config.get();
            return Current ? Placer.capacity(*Current, Pool, this->Clock.now())
                           : pool_capacity{};
          },
          fleet_quota(Settings.VmName, std::random_device{}(),
                      Settings.Seeds.size())),
      Log(Settings.LogAddress),
      Intents({Log, LogCalls, Clock, Timers, Link, Peers},
              selfOf(Settings, Clock)),
      Usage({Log, LogCalls, Clock, Timers, Link, Peers},
            selfOf(Settings, Clock)),
      Sessions({Clock, Timers, Link, Peers}, selfOf(Settings, Clock)),
      Resources(server_resources::of(Settings)),
      LeavingProbe(std::make_shared<leaving_probe>(
          Http, Timers, Config,
          [this](const std::string &Endpoint, bool IsLeaving) {
            Placer.setLeaving(Endpoint, IsLeaving);
          })),
      Transport(
          Http, Timers, Clock,
          [Probe = LeavingProbe](const std::string &Endpoint, bool IsLeaving) {
            Probe->setLeaving(Endpoint, IsLeaving);
          },
          {}, Resources.Memory),
      Server(Settings.Address + ":" + std::to_string(Settings.EntryPort),
             routes(), Resources) {}

// Timers and exchanges stop before any member is destroyed: a handler that runs
// during destruction would use destroyed members and crash intermittently at
// exit.
entry::~entry() {
  IsStopping = true;
  if (ControlThread.joinable())
    ControlThread.join();
  Http.stop();
  Timers.stop();
}

void entry::open() {
  LinkServer = std::make_unique<link_server>(
      Settings.Address + ":" + std::to_string(Settings.EntryLinkPort),
      [this](std::string_view Path, const std::string &Body, link_reply Reply) {
        onLink(Path, Body, std::move(Reply));
      },
      Resources.Memory);
  Server.open();
  ControlThread = std::thread([this] { pollControl(); });
  tickAdmission();
  exchangeQuota();
}

void entry::tickAdmission() {
  Admission.tick();
  Timers.after(config::AdmissionTick, [this] { tickAdmission(); });
}

void entry::exchangeQuota() {
  const demand_report Report = Admission.exchangeQuota();
  if (!Report.TokensPerSecond.empty())
    for (const peer_info &Peer : Peers.peers())
      Link.call(Peer.EntryLink, QuotaPath, encodeDemand(Report),
                config::LinkCallTimeout, [](const result<std::string> &) {});
  Timers.after(config::QuotaExchangeInterval, [this] { exchangeQuota(); });
}

stop_phase entry::advanceStop(bool IsRequested) {
  const std::scoped_lock Lock(StopMutex);
  const mono_time Now = Clock.now();
  if (IsRequested)
    Stop.requestStop(Now);
  Stop.advance(Open + Server.unanswered(), Now);
  return Phase = Stop.phase();
}

void entry::drain(const std::function<bool()> &IsForceRequested) {
  logs::info("drain", {{"open", std::to_string(Open.load())}});
  stop_phase Now = advanceStop(true);
  Server.announceClose();
  while (Now != stop_phase::Ended && Now != stop_phase::Forced) {
    std::this_thread::sleep_for(config::StopPollInterval);
    Now = advanceStop(IsForceRequested());
  }
  if (Now == stop_phase::Forced)
    logs::warning("stop_forced", {{"open", std::to_string(Open.load())}});
  flushPending();
  IsStopping = true;
  Server.close();
}

// Waits until the log or other VMs have the usage records and outcomes that
// only this VM holds. If a graceful shutdown lost them, work would stay
// unbilled and idempotency keys would stay blocked after a roll-out of the
// entry.
void entry::flushPending() {
  const auto Until = Clock.now() + config::DrainFlushLimit;
  Usage.drain();
  while (Clock.now() < Until &&
         (Intents.counters().PendingOutcomes > 0 || !Usage.isDrained()))
    std::this_thread::sleep_for(config::StopPollInterval);
  if (Intents.counters().PendingOutcomes > 0 || !Usage.isDrained())
    logs::warning(
        "stopped_owing",
        {{"outcomes", std::to_string(Intents.counters().PendingOutcomes)},
         {"usage_bytes", std::to_string(Usage.counters().OwnBytes)}});
}

void entry::onLink(std::string_view Path, std::string_view Body,
                   link_reply Reply) {
  if (Path == IntentPath)
    return Intents.serve(Body, std::move(Reply));
  if (Path == UsageHoldPath || Path == UsageReleasePath)
    return Usage.serve(Path, Body, std::move(Reply));
  if (Path == SessionPath)
    return Sessions.serve(Body, std::move(Reply));
  if (Path == QuotaPath)
    return receiveDemand(Body, Reply);
  Reply(error_kind::PeerIncompatible);
}

void entry::receiveDemand(std::string_view Body, const link_reply &Reply) {
  const auto Report = decodeDemand(Body);
  if (!Report)
    return Reply(Report.error());
  Admission.handleDemandReport(Report.value());
  Reply(std::string());
}

std::vector<http_route> entry::routes() {
  const auto To = [this](void (entry::*Answer)(
                      const std::shared_ptr<http_call> &)) -> http_handler {
    return [this, Answer](const std::shared_ptr<http_call> &Call) {
      (this->*Answer)(Call);
    };
  };
  return {
      {"POST", {"v1", "chat", "completions"}, To(&entry::handleChat)},
      {"GET", {"v1", "models"}, To(&entry::handleModels)},
      {"*", {"services", "*", "**"}, To(&entry::handleService)},
      {"GET",
       {"healthz"},
       [](const std::shared_ptr<http_call> &Call) { Call->text("ok\n"); }},
      {"GET", {"readyz"}, To(&entry::handleReady)},
      {"GET", {"metrics"}, To(&entry::handleMetrics)},
  };
}

void entry::run(const std::shared_ptr<http_call> &Call,
                result<caller_request> Request) {
  ++Received;
  if (Phase != stop_phase::Serving) {
    const std::scoped_lock Lock(StopMutex);
    Stop.onRequest(Clock.now());
  }
  if (Phase == stop_phase::Refusing)
    return Call->fail(error_kind::Draining);
  if (!Request)
    return Call->fail(kindOf(Request.error()));
  const request_services Services{Clock,           Config,   Quality,   Tokens,
                                  Admission,       Placer,   Intents,   Usage,
                                  Rater,           Sessions, Transport, Timers,
                                  Settings.VmName, Open,     Retries};
  runRequest(Services, std::move(Request).value(), Call->Writer);
}

void entry::handleChat(const std::shared_ptr<http_call> &Call) {
  run(Call, parseChatRequest(headersOf(Call), std::move(Call->Body)));
}

void entry::handleService(const std::shared_ptr<http_call> &Call) {
  std::string Path;
  for (std::size_t Index = 2; Index < Call->Path.size(); ++Index)
    Path += "/" + web::uri::encode_data_string(Call->Path[Index]);
  if (const std::string_view Query = Call->queryText(); !Query.empty())
    Path += "?" + std::string(Query);
  run(Call, parseServiceRequest(headersOf(Call), Call->Path[1], Path,
                                Call->Head.Method, std::move(Call->Body)));
}

void entry::handleModels(const std::shared_ptr<http_call> &Call) {
  const configuration_ptr Current = Config.get();
  if (!Current)
    return Call->fail(error_kind::NotReady);
  const std::string Header = Call->header("Authorization");
  constexpr std::string_view Bearer = "Bearer ";
  if (Header.empty())
    return Call->fail(error_kind::KeyMissing);
  const customer_spec *Customer =
      Header.compare(0, Bearer.size(), Bearer) == 0
          ? findCustomer(*Current, Header.substr(Bearer.size()))
          : nullptr;
  if (!Customer)
    return Call->fail(error_kind::KeyWrong);
  auto List = web::json::value::array();
  for (const auto &[Name, Version] : Current->Versions) {
    if (!isAllowed(*Customer, Version) ||
        Version.State != version_state::Active)
      continue;
    auto Item = web::json::value::object();
    Item["id"] = web::json::value::string(Name);
    Item["object"] = web::json::value::string("model");
    Item["owned_by"] = web::json::value::string(Version.Model);
    List[List.size()] = Item;
  }
  auto Body = web::json::value::object();
  Body["object"] = web::json::value::string("list");
  Body["data"] = List;
  Call->json(Body);
}

void entry::handleReady(const std::shared_ptr<http_call> &Call) {
  const configuration_ptr Current = Config.get();
  if (!Current || !HasPeerList)
    return Call->fail(error_kind::NotReady);
  if (Phase != stop_phase::Serving)
    return Call->fail(error_kind::Draining);
  Call->text("ready offset=" + std::to_string(Current->Offset) + "\n");
}

void entry::handleMetrics(const std::shared_ptr<http_call> &Call) {
  entry_metrics_snapshot Snapshot{Open,
                                  Received,
                                  Admission.refusedByQuota(),
                                  Intents.counters(),
                                  Usage.counters(),
                                  Retries.stats(),
                                  Admission.stats(),
                                  {}};
  for (const auto &[Pool, Stats] : Snapshot.Admission)
    Snapshot.Placement[Pool] = Placer.stats(Pool);
  Call->text(entryMetricsText(Snapshot), std::string(MetricsType));
}

// Control drives roll-outs, but the ratings are collected by the entry. The
// reply lists the candidates that any control known to this VM judges bad; they
// are braked here even if this entry's own ratings don't show it yet.
void entry::reportCandidates(const std::string &Control) {
  for (const candidate_report &Report : Quality.reports()) {
    const verdict_message Message{Report.Rollout, Report.Step,
                                  static_cast<std::uint8_t>(Report.Verdict)};
    const auto Reply = Link.callSync(Control, "/verdict", pack(Message),
                                     config::LinkCallTimeout);
    if (!Reply)
      return;
    auto Brakes = unpack<std::vector<std::string>>(
        Reply.value(), error_kind::PeerIncompatible);
    if (!Brakes)
      return logs::warning("brakes_unreadable", {{"control", Control}});
    Quality.setHaltedVersions(std::move(Brakes).value());
  }
}

/// Updates everything that splits limits among VMs or places by distance with
/// the current peer list.
void entry::applyPeers(std::vector<peer_info> List) {
  vm_topology View;
  View.Vms.push_back(Settings.VmName);
  View.Regions[Settings.DataCentre] = Settings.Region;
  std::vector<std::string> All{Settings.VmName};
  for (const peer_info &Peer : List) {
    All.push_back(Peer.Vm);
    View.Regions[Peer.DataCentre] = Peer.Region;
    if (Peer.DataCentre == Settings.DataCentre && !Peer.IsLeaving)
      View.Vms.push_back(Peer.Vm);
  }
  const configuration_ptr Current = Config.get();
  if (Current && View != KnownVms) {
    KnownVms = View;
    Placer.setVms(*Current, std::move(View), Clock.now());
  }
  Admission.setVms(All);
  Peers.set(std::move(List));
}

void entry::fetchPeers(const std::string &Control) {
  const auto Reply =
      Link.callSync(Control, "/peers", "", config::LinkCallTimeout);
  if (auto List = Reply ? decodePeers(Reply.value())
                        : result<std::vector<peer_info>>(Reply.error())) {
    applyPeers(std::move(List).value());
    Sessions.start();
    HasPeerList = true;
  }
}

// If control is unreachable, the calls fail and the last configuration stays in
// force until control's next reply replaces it.
void entry::pollControl() {
  const std::string Control =
      Settings.Address + ":" + std::to_string(Settings.LinkPort);
  std::uint64_t Known = 0;
  while (!IsStopping) {
    fetchPeers(Control);
    reportCandidates(Control);
    const auto Reply = Link.callSync(Control, "/state", std::to_string(Known),
                                     config::LinkCallTimeout);
    const auto State = Reply ? decodeState(Reply.value())
                             : result<config_state>(Reply.error());
    if (!State) {
      std::this_thread::sleep_for(config::ReconnectDelay);
      continue;
    }
    if (State.value().Accepted <= Known)
      continue;
    const auto Parsed =
        parseConfiguration(filesOf(State.value()), State.value().Accepted);
    if (!Parsed.Config) {
      logs::warning("configuration_unreadable",
                    {{"error", formatError(Parsed.Errors.front())}});
      std::this_thread::sleep_for(config::ReconnectDelay);
      continue;
    }
    Known = State.value().Accepted;
    Config.set(Parsed.Config);
    Quality.updateRollouts(*Parsed.Config);
    logs::info("configuration", {{"offset", std::to_string(Known)}});
  }
}

} // namespace clementinelane
