#include "router.h"

#include "active_request_p.h"
#include "capacity/config.h"
#include "config.h"
#include "hashing.h"
#include "logs.h"
#include "metrics.h"
#include "request_digest.h"
#include "rollout_codec.h"
#include "stop_schedule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace clementinelane {

namespace {

std::string millisText(duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

/// Retry-After is in seconds; the platform's callers accept fractions.
std::string secondsText(duration Time) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  std::string Fraction = std::to_string(1000 + Millis % 1000).substr(1);
  return std::to_string(Millis / 1000) + "." + Fraction;
}

/// Load: a service fails while a fleet of any size retries. Harm prevented: the
/// fleet exceeds its retry bound. The fixed part of the bound is divided by the
/// number of VMs known to be alive; a share sized for 9 VMs would be four times
/// the bound at 70.
fleet_retry_limits limitsOf(const router_settings &Settings, std::size_t Vms) {
  return {Settings.RetryRatio * config::RetryRatioFraction,
          Settings.RetryWindow,
          Settings.RetryExtra * config::RetryExtraFraction /
              static_cast<double>(std::max<std::size_t>(1, Vms))};
}

vm_resources resourcesOf(const router_settings &Settings) {
  constexpr double BytesPerMegabit = 1e6 / 8;
  return {Settings.LinkMegabits * BytesPerMegabit,
          static_cast<std::size_t>(Settings.FileDescriptors)};
}

std::size_t memoryBoundOf(const router_settings &Settings) {
  constexpr double BytesPerMegabyte = 1e6;
  return heldMemoryBound(
      static_cast<std::size_t>(Settings.MemoryMegabytes * BytesPerMegabyte));
}

/// For ports whose requests have no body.
server_limits probeLimits() {
  server_limits Limits;
  Limits.MaxHeaderBytes = config::MaxProbeHeadBytes;
  Limits.MaxBodyBytes = 0;
  Limits.MaxConnections = config::MaxProbeConnections;
  return Limits;
}

/// Tunnels for other VMs at once. They cost descriptors and two buffers of
/// config::SocketReadBytes each.
constexpr std::size_t MaxTunnels = 512;
/// Age of an observed restart until digests report it: a peer that reaches the
/// endpoint disproves it within a few round trips.
constexpr auto ColdNoteDelay = std::chrono::milliseconds(500);

/// Keys of quarantined prompt parts, beside those of requests.
const std::string PartKeyPrefix = "part-";

constexpr std::array<std::string_view, 3> StateNames{"in_progress", "completed",
                                                     "rolled_back"};

std::string_view nameOf(rollout_state State) {
  return StateNames[static_cast<std::size_t>(State)];
}

} // namespace

router::router(boost::asio::io_context &Context, const runtime_clock &Clock,
               const router_settings &Settings, platform_port &Platform,
               read_relay &Relay, endpoint_connector &Connector,
               std::string MetricsAddress)
    : Context(Context), Clock(Clock), Settings(Settings), Platform(Platform),
      Relay(Relay), Connector(Connector),
      Incarnation(static_cast<std::uint64_t>(
          Clock.wallNow().time_since_epoch().count())),
      StartedAt(Clock.bootNow()), Lease(keyLease(Settings)),
      Intake(stableHash(Settings.VmName, Incarnation + 4)),
      Directory(config::LapsedEntryGrace),
      Choice(Directory, Loads, Settings.DataCentre,
             stableHash(Settings.VmName, Incarnation)),
      Budget(limitsOf(Settings, config::AssumedVms)),
      Shares(stableHash(Settings.VmName, Incarnation + 3)),
      Returns(stableHash(Settings.VmName, Incarnation + 2)),
      ReturnNotes(stableHash(Settings.VmName, Incarnation), Returns,
                  [this](std::string_view Bytes) {
                    if (Peers)
                      Peers->multicast(Choice.paths().nearPeers(),
                                       peer_message::Returns, Bytes);
                  }),
      Capacity(resourcesOf(Settings)),
      Memory(std::make_shared<memory_account>(memoryBoundOf(Settings))),
      Requests{Choice,
               Budget,
               Cascade,
               Pace,
               Mix,
               Quality,
               Quarantine,
               Parts,
               Gate,
               [this](std::string_view Service) { return shiftOf(Service); },
               [this](mono_time Now) { return areKeysValid(Now); },
               [this](std::string_view Service, const session_run &Run) {
                 publishRun(Service, Run);
                 Runs.flush(now());
               },
               [this](const endpoint_info &Endpoint, std::string_view Peer,
                      crash_suspect Suspect) {
                 onConnectionBroken(Endpoint, Peer, std::move(Suspect));
               },
               [this](const endpoint_info &Endpoint) {
                 onEndpointLeaving(Endpoint);
               },
               [this](const endpoint_info &Endpoint, std::string_view Peer,
                      duration Pause) { sendPause(Endpoint, Peer, Pause); },
               [this] { return random(); },
               [this] { return Memory->isShort(); }},
      Probes(Connector), Runs(Settings.PeerAddress, *this, *this),
      RunsTimer(Context), RunsCompleteSince(StartedAt), LastTickAt(StartedAt),
      MetricsAddress(std::move(MetricsAddress)), Tick(Context),
      RandomState(stableHash(Settings.VmName, Incarnation + 1)) {
  Gate.setEnabled(Settings.CustomerShares);
  Quarantine.onQuarantined([](const crash_note &Note) {
    logs::warning("request_quarantined",
                  {{"request", toHex(Note.Request)},
                   {"crashes", std::to_string(Note.Crashes.size())}});
  });
  Parts.onChange([](std::uint64_t Part, std::size_t Crashes) {
    logs::warning(
        Crashes > 0 ? "part_quarantined" : "part_released",
        {{"part", toHex(Part)}, {"crashes", std::to_string(Crashes)}});
  });
}

router::~router() { Relay.disconnect(); }

double router::random() {
  RandomState = RandomState * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<double>(RandomState >> 11U) / 9007199254740992.0;
}

void router::start() {
  const auto Handle = [this](std::shared_ptr<caller_exchange> Exchange) {
    onRequest(std::move(Exchange));
  };
  const auto HandleReady = [this](const std::shared_ptr<caller_exchange> &E) {
    answerReady(*E);
  };
  connection_policy &Policy = *this; // a private base
  Callers = std::make_unique<caller_server>(Context, Settings.CallerAddress,
                                            Handle, &Policy, Memory);
  Ready = std::make_unique<caller_server>(Context, Settings.ReadyAddress,
                                          HandleReady);
  Ready->setLimits(probeLimits());
  if (!MetricsAddress.empty()) {
    MetricsServer = std::make_unique<caller_server>(
        Context, MetricsAddress,
        [this](const auto &Exchange) { answerMetrics(*Exchange); });
    MetricsServer->setLimits(probeLimits());
  }
  if (!Settings.PeerAddress.empty()) {
    Peers = std::make_unique<peer_datagrams>(
        Context, Clock, Settings.PeerAddress,
        [this](peer_message Kind, const std::string &Sender,
               std::string_view Bytes) { onMessage(Kind, Sender, Bytes); });
    Relay.connect(*Peers);
    tunnel_policy &TunnelPolicy = *this; // a private base
    Tunnels = std::make_unique<tunnel_server>(
        Context, Clock, Settings.PeerAddress, Connector, TunnelPolicy, Memory);
  }
  if (!Peers)
    Intake.setAlone();
  Platform.start(*this);
  if (Peers)
    Platform.registerPeer(Settings.VmName, Settings.PeerAddress);
  armTick();
}

void router::apply(const router_settings &Value) {
  Settings = Value;
  Gate.setEnabled(Settings.CustomerShares);
  Capacity.setResources(resourcesOf(Settings));
  Memory->setBound(memoryBoundOf(Settings));
  Lease.setTerm(keyLease(Settings));
  Budget.setLimits(limitsOf(Settings, knownVms()));
  for (auto &[Service, Shift] : Shifts)
    configure(*Shift);
}

std::size_t router::knownVms() const {
  return Peers && ArePeersKnown ? Peers->peerCount() + 1 : config::AssumedVms;
}

duration router::maxRouteTimeout() const {
  duration Longest{};
  if (Table)
    for (const route_rule &Route : Table->Routes)
      Longest = std::max<duration>(Longest, Route.Timeout);
  return Longest;
}

void router::configure(version_shift &Shift) const {
  Shift.setMaxRunTime(maxRouteTimeout());
  Shift.setSessionTtl(Settings.SessionTtl + config::SessionTtlMargin);
  Shift.setExposureBound(Settings.ExposureBound, Settings.ExposureTolerance);
}

// --- requests ----------------------------------------------------------------

std::size_t router::openSockets() const {
  return Callers->connections() + Ready->connections() +
         (MetricsServer ? MetricsServer->connections() : 0) +
         ActiveRequests.size() + (Tunnels ? 2 * Tunnels->openTunnels() : 0);
}

std::optional<double> router::acceptConnection() {
  return Capacity.tryAccept(openSockets(), now());
}

void router::leftUnread(std::size_t Connections) {
  Capacity.leftUnread(Connections, now());
}

duration router::acceptPause() {
  return Capacity.acceptPause(openSockets(), now());
}

void router::releaseReservation(double Reserved) {
  Capacity.release(Reserved, now());
}

bool router::keepsConnection() {
  return Capacity.mayKeep(openSockets(), now());
}

router::head_verdict router::judgeHead(const http_head &Head,
                                       const call_metadata &Metadata,
                                       mono_time Now) const {
  // Failure: a stream accepted late in a shutdown is cut off by the exit.
  if (HasClosedIdle)
    return {error_kind::Draining};
  // Without a fresh configuration no route or key is reported as unknown: it
  // may have been added since.
  if (!Table || !Directory.isSynced() || !AreStatusesKnown ||
      !areKeysValid(Now))
    return {error_kind::NotReady};
  head_verdict Verdict;
  Verdict.Route = Table->find(Head.value("Host"), pathOf(Head.Target));
  if (!Verdict.Route)
    return {error_kind::UnknownRoute};
  if (!Verdict.Route->IsPublic && Table->HasCustomers) {
    const auto Customer = Table->CustomerByKey.find(Metadata.Key);
    if (Customer == Table->CustomerByKey.end())
      return {Metadata.Key.empty() ? error_kind::KeyMissing
                                   : error_kind::KeyWrong};
    Verdict.Customer = Customer->second;
  }
  if (Metadata.Id.empty() || Metadata.IsDeadlineUnsound)
    return {error_kind::BadRequest};
  return Verdict;
}

std::optional<early_answer> router::checkHead(const http_head &Head,
                                              body_terms &Terms) {
  const call_metadata Metadata = Platform.decodeCall(Head);
  const head_verdict Verdict = judgeHead(Head, Metadata, now());
  Terms = {Verdict.Customer.Name, Metadata.Remaining};
  if (Verdict.Refusal == error_kind::Ok)
    return std::nullopt;
  return refusalAnswer({Verdict.Refusal, run_state::NotRun,
                        answerOf(Verdict.Refusal).RetryAfter},
                       Metadata.Id);
}

void router::onDropped(std::string_view Reason) {
  Metrics.callerDropped(Reason);
}

void router::onRequest(std::shared_ptr<caller_exchange> Exchange) {
  routed_call Call;
  Call.Head = Exchange->head();
  Call.Metadata = Platform.decodeCall(Call.Head);
  Call.ArrivedAt = now();
  Call.Table = Table;
  head_verdict Verdict = judgeHead(Call.Head, Call.Metadata, Call.ArrivedAt);
  if (Verdict.Refusal != error_kind::Ok) {
    Capacity.charge(static_cast<double>(Exchange->body().size()) -
                        Exchange->takeReservation(),
                    Call.ArrivedAt);
    refuse(*Exchange,
           {Verdict.Refusal, run_state::NotRun,
            answerOf(Verdict.Refusal).RetryAfter},
           Call.Metadata.Id);
    return;
  }
  Call.Route = Verdict.Route;
  Call.Customer = std::move(Verdict.Customer);
  Call.Service = serviceFor(*Call.Route, sessionHash(Call.Metadata));
  Call.Body = Exchange->takeBody();
  Call.Digest = requestDigest(
      Call.Customer.Name, Call.Head.Method, Call.Head.Target,
      Call.Body ? std::string_view(*Call.Body) : std::string_view{});
  Metrics.requestAccepted(Call.Route->Name);
  const auto Request = std::make_shared<active_request>(
      *this, std::move(Exchange), std::move(Call));
  ActiveRequests.insert(Request);
  Request->begin();
}

void router::refuse(caller_exchange &Exchange, const refusal &Refusal,
                    std::string_view Id) {
  early_answer Answer = refusalAnswer(Refusal, Id);
  Exchange.answer(Answer.Status, std::move(Answer.Fields), Answer.Body);
}

early_answer router::refusalAnswer(const refusal &Refusal,
                                   std::string_view Id) {
  const error_answer &Row = answerOf(Refusal.Kind);
  // 503 and 429 tell the caller that the request didn't run, so they are only
  // used if that is certain.
  const bool HasRun = Refusal.Ran != run_state::NotRun;
  const unsigned Status =
      HasRun && (Row.HttpStatus == 503 || Row.HttpStatus == 429)
          ? 502U
          : Row.HttpStatus;
  std::vector<http_field> Fields{{"Content-Type", "application/json"}};
  if (Refusal.RetryAfter > duration::zero())
    Fields.push_back({"Retry-After", secondsText(Refusal.RetryAfter)});
  std::string Body = R"({"error":")" + std::string(Row.Name) + R"(","ran":")" +
                     std::string(clementinelane::nameOf(Refusal.Ran)) +
                     R"(","message":")" + std::string(Row.Message) + "\"}";
  ReturnNotes.onRefusal(now());
  Metrics.refused(Row.Name);
  logs::decision("refuse", {{"id", std::string(Id)},
                            {"kind", std::string(Row.Name)},
                            {"status", std::to_string(Status)},
                            {"retry_after_ms", millisText(Refusal.RetryAfter)},
                            {"lease_age_ms", millisText(Lease.age(now()))}});
  return {Status, std::move(Fields), std::move(Body)};
}

bool router::isReady() const {
  return Table && Directory.isSynced() && AreStatusesKnown &&
         areKeysValid(now()) && !StoppingAt;
}

void router::answerReady(caller_exchange &Exchange) const {
  const bool IsKnown =
      pathOf(Exchange.head().Target) == Platform.readinessPath();
  Exchange.answer(!IsKnown ? 404 : isReady() ? 200 : 503, {}, {});
}

void router::answerMetrics(caller_exchange &Exchange) {
  router_metrics::gauges Gauges;
  Gauges.OpenRequests = static_cast<double>(ActiveRequests.size());
  Gauges.Connections = static_cast<double>(Callers->connections());
  Gauges.Endpoints = static_cast<double>(Directory.size());
  Gauges.AvoidedEndpoints = static_cast<double>(Choice.countAvoided(now()));
  Gauges.UnreachableEndpoints = static_cast<double>(Choice.countUnreachable());
  Gauges.HeardPeers = static_cast<double>(Loads.vms());
  Gauges.ColdEndpoints =
      static_cast<double>(Choice.slowStart().countCold(now()));
  Gauges.LeavingEndpoints = static_cast<double>(Directory.leaves().size());
  Gauges.PausedEndpoints = static_cast<double>(Choice.pauses().size());
  Gauges.PlannedReturns = static_cast<double>(Returns.size());
  Gauges.LimitedEndpoints = static_cast<double>(Choice.limits().countLimited());
  Gauges.GuardedServices = static_cast<double>(Choice.guard().countGuarded());
  Gauges.ShortServices = static_cast<double>(Shares.countShort());
  Gauges.EvacuatedDataCentres =
      static_cast<double>(Directory.evacuated().size());
  Gauges.QuarantinedRequests =
      static_cast<double>(Quarantine.countQuarantined());
  Gauges.QuarantinedParts = static_cast<double>(Parts.countQuarantined());
  Gauges.ConfigurationVersion =
      Table ? static_cast<double>(Table->Version) : 0.0;
  Gauges.NewestConfigurationTold = static_cast<double>(Intake.newestTold());
  Gauges.KeyLeaseAgeSeconds =
      Table ? std::chrono::duration<double>(Lease.age(now())).count() : 0.0;
  Gauges.DroppedLogLines = static_cast<double>(logs::dropped());
  Gauges.UnsentDatagrams =
      Peers ? static_cast<double>(Peers->sendErrors()) : 0.0;
  Gauges.LostSessionNotes = static_cast<double>(Runs.lostUpdates());
  Gauges.UnansweredLookups = static_cast<double>(Runs.unansweredLookups());
  Gauges.UnreadConnections = static_cast<double>(Capacity.unread());
  Gauges.AcceptPauses = static_cast<double>(Capacity.pauses());
  Gauges.MemoryBound = static_cast<double>(Memory->bound());
  for (std::size_t I = 0; I < router_metrics::Holders; ++I)
    Gauges.HeldBytes[I] =
        static_cast<double>(Memory->held(static_cast<memory_holder>(I)));
  Gauges.StoreEra = static_cast<double>(StoreEra);
  Gauges.IsReady = isReady() ? 1 : 0;
  Exchange.answer(200, {{"Content-Type", std::string(MetricsType)}},
                  Metrics.text(Gauges));
}

// --- events of the platform --------------------------------------------------

void router::onRoutes(route_table_ptr Value) {
  // Failure: a read returns an older record than an earlier read, and a removed
  // key or route becomes valid again. Only newer versions are accepted.
  if (Table && Value->Version <= Table->Version) {
    logs::info("configuration_passed_over",
               {{"version", std::to_string(Value->Version)},
                {"in_use", std::to_string(Table->Version)}});
    return;
  }
  Table = std::move(Value);
  Intake.setInUse(Table->Version);
  for (const auto &[Name, Service] : Table->Services)
    if (!Service.Models.empty())
      Pace.setModels(Name, Service.Models);
  for (const auto &[Name, Service] : Table->Services)
    for (const model_price &Model : Service.Models)
      if (Model.CostPerThousandTokens <= 0)
        logs::warning("model_without_price",
                      {{"service", Name}, {"model", Model.Name}});
  updateColdRules();
  for (auto &[Service, Shift] : Shifts)
    configure(*Shift);
  logs::info("configuration",
             {{"version", std::to_string(Table->Version)},
              {"routes", std::to_string(Table->Routes.size())},
              {"services", std::to_string(Table->Services.size())},
              {"keys", std::to_string(Table->CustomerByKey.size())}});
  const caller_limits &Limits = Table->Limits;
  Callers->setLimits({Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                      Limits.HeaderTimeout, Limits.IdleTimeout});
  renewKeyLease();
}

void router::onStoreEra(std::uint64_t Era) {
  StoreEra = Era;
  for (auto &[Service, Shift] : Shifts)
    Shift->onStoreEra(now());
  Directory.onStoreEra(now());
}

void router::onRoutesConfirmed(mono_time SentAt) {
  Intake.confirm(SentAt, now());
  renewKeyLease();
}

void router::renewKeyLease() {
  if (const auto SentAt = Intake.confirmation(now()))
    Lease.renew(*SentAt);
  updateReadiness();
}

void router::tickIntake(mono_time Now) {
  if (!Peers)
    return;
  for (const auto &[Address, WantsContent] : Intake.takeAsks(Now)) {
    if (WantsContent)
      logs::info("configuration_asked",
                 {{"peer", Address},
                  {"in_use", std::to_string(Table ? Table->Version : 0)},
                  {"newest_told", std::to_string(Intake.newestTold())}});
    Peers->sendTo(Address, peer_message::ConfigurationQuery,
                  encodeConfigurationQuery({WantsContent}));
  }
  renewKeyLease();
}

void router::onConfigurationQuery(const std::string &Sender,
                                  std::string_view Bytes) {
  const auto Query = decodeConfigurationQuery(Bytes);
  if (!Query) {
    logs::warning("configuration_query_unreadable", {{"from", Sender}});
    return;
  }
  const kept_configuration &Kept = Platform.newestConfiguration();
  Peers->sendTo(Sender, peer_message::ConfigurationReply,
                encodeConfigurationReply(
                    {Kept.Version, Relay.era(),
                     Query->WantsContent ? Kept.Content : std::string{}}));
}

void router::onConfigurationReply(const std::string &Sender,
                                  std::string_view Bytes) {
  const auto Reply = decodeConfigurationReply(Bytes);
  if (!Reply) {
    logs::warning("configuration_reply_unreadable", {{"from", Sender}});
    return;
  }
  Relay.noteEra(Reply->Era);
  Intake.noteAnswer(Sender, Reply->Version, now());
  if (!Reply->Content.empty() && Intake.isBehind()) {
    logs::info("configuration_from_peer",
               {{"peer", Sender}, {"version", std::to_string(Reply->Version)}});
    Platform.takeConfiguration(Reply->Content);
  }
  tickIntake(now());
}

std::string router::regionOf(std::string_view DataCentre) const {
  const auto Known = Settings.Regions.find(DataCentre);
  return Known == Settings.Regions.end() ? std::string{} : Known->second;
}

void router::onEndpoint(std::string_view Id,
                        std::optional<endpoint_info> Info) {
  const endpoint_info *Known = Directory.find(Id);
  const bool IsChange = !Known || !Info || Known->State != Info->State ||
                        Known->Incarnation != Info->Incarnation ||
                        Known->Version != Info->Version;
  const std::string Service =
      Info ? Info->Service : (Known ? Known->Service : std::string{});
  if (IsChange)
    logs::info("endpoint",
               {{"endpoint", std::string(Id)},
                {"state", !Info                                    ? "removed"
                          : Info->State == endpoint_state::Leaving ? "leaving"
                                                                   : "ready"},
                {"version", Info ? Info->Version : std::string{}},
                {"cold_ms", Info ? millisText(Info->ColdFor) : std::string{}}});
  if (Info) {
    Info->Region = regionOf(Info->DataCentre);
    Choice.slowStart().markCold(digestHash(Id), Info->ColdFor, now());
  }
  Directory.apply(Id, std::move(Info), now());
  if (IsChange)
    updateEndpoints(Service);
}

void router::onEndpointList(std::vector<endpoint_info> Infos) {
  std::set<std::string> Services;
  for (endpoint_info &Info : Infos) {
    Info.Region = regionOf(Info.DataCentre);
    Services.insert(Info.Service);
    Choice.slowStart().markCold(digestHash(Info.Id), Info.ColdFor, now());
  }
  logs::info("endpoint_list", {{"endpoints", std::to_string(Infos.size())}});
  Directory.replace(std::move(Infos), now());
  for (const std::string &Service : Services)
    updateEndpoints(Service);
  updateReadiness();
}

void router::onEndpointListReachable(bool IsReachable) {
  if (IsReachable)
    Directory.onSourceRestored(now());
  else
    Directory.onSourceLost(now());
}

void router::updateColdRules() {
  for (const auto &[Name, Service] : Table->Services) {
    Choice.slowStart().setRule(
        Name, {Service.ColdTime, Service.ColdRequestsPerSecond});
    if (Service.ColdTime > duration::zero() &&
        Service.ColdRequestsPerSecond <= 0)
      logs::warning("cold_endpoints_not_bounded", {{"service", Name}});
  }
}

void router::onEvacuations(std::set<std::string, std::less<>> Ordered) {
  const auto Before = Directory.evacuated();
  Directory.setEvacuated(std::move(Ordered), now());
  const auto &After = Directory.evacuated();
  if (After == Before)
    return;
  for (const std::string &Centre : After) {
    if (Before.contains(Centre))
      continue;
    logs::info("data_centre_evacuated", {{"data_centre", Centre}});
    if (!Settings.Regions.empty() && !Settings.Regions.contains(Centre))
      logs::warning("data_centre_unknown", {{"data_centre", Centre}});
  }
  for (const std::string &Centre : Before)
    if (!After.contains(Centre))
      onTakenBack(Centre);
  updateAllEndpoints();
}

// Endpoints of a restored data centre have been idle, and may be cold before
// their directory entries say so.
void router::onTakenBack(const std::string &DataCentre) {
  logs::info("data_centre_taken_back", {{"data_centre", DataCentre}});
  Choice.markDataCentreCold(DataCentre, now());
}

version_shift *router::shiftOf(std::string_view Service) {
  const auto Found = Shifts.find(Service);
  return Found == Shifts.end() ? nullptr : Found->second.get();
}

version_shift &router::ensureShift(std::string_view Service) {
  auto &Shift = Shifts[std::string(Service)];
  if (!Shift) {
    Shift = std::make_unique<version_shift>(Settings.VmName, Incarnation,
                                            StartedAt);
    configure(*Shift);
  }
  return *Shift;
}

void router::updateEndpoints(std::string_view Service) {
  if (Service.empty())
    return;
  ensureShift(Service).updateEndpoints(Directory.usable(Service));
}

void router::updateAllEndpoints() {
  for (const auto &[Service, Shift] : Shifts)
    updateEndpoints(Service);
}

void router::onRolloutOrder(const rollout_order &Order, mono_time ReadAt) {
  logs::info("rollout_order", {{"service", Order.Service},
                               {"target", Order.Target},
                               {"length_ms", millisText(Order.Length)}});
  ensureShift(Order.Service).setOrder(Order, ReadAt);
  updateEndpoints(Order.Service);
  Platform.watchRollouts(true, false);
}

void router::onRolloutStatus(std::string_view Service, std::string_view Target,
                             rollout_state State) {
  logs::info("rollout_status", {{"service", std::string(Service)},
                                {"target", std::string(Target)},
                                {"state", std::string(nameOf(State))}});
  version_shift &Shift = ensureShift(Service);
  const bool WasActive = Shift.isActive();
  Shift.updateStatus(Target, State, now());
  updateEndpoints(Service);
  if (WasActive && !Shift.isActive())
    publishStrandedSessions(Service, Shift);
}

void router::publishStrandedSessions(std::string_view Service,
                                     const version_shift &Shift) {
  for (const session_run &Run : Shift.orphanedSessions(now()))
    publishRun(Service, Run);
  Runs.flush(now());
}

void router::onRolloutStatusesRead(mono_time SentAt) {
  AreStatusesKnown = true;
  for (auto &[Service, Shift] : Shifts)
    Shift->markStatusesRead(SentAt);
  updateReadiness();
}

bool router::onReport(std::string_view Bytes) {
  const auto Report = decodeReport(Bytes);
  if (!Report)
    return false;
  if (version_shift *Shift = shiftOf(Report->Service))
    Shift->addReport(*Report, now());
  return true;
}

void router::onReportsRead(mono_time SentAt) {
  for (auto &[Service, Shift] : Shifts)
    Shift->markReportsRead(SentAt);
}

void router::onPeers(const std::vector<std::string> &Addresses) {
  if (Peers)
    Peers->addPeers(Addresses);
  ArePeersKnown = true;
  std::vector<std::string> Others = Addresses;
  std::erase(Others, Settings.PeerAddress);
  Intake.setPeers(std::move(Others), now());
  tickIntake(now());
  logs::info("peers", {{"routers", std::to_string(Addresses.size())}});
}

void router::onMessage(peer_message Kind, const std::string &Sender,
                       std::string_view Bytes) {
  switch (Kind) {
  case peer_message::Loads:
    return onDigest(Sender, Bytes);
  case peer_message::SessionRuns:
    return onSessionRuns(Sender, Bytes);
  case peer_message::Report:
    if (!onReport(Bytes))
      logs::warning("report_unreadable", {{"from", Sender}});
    return;
  case peer_message::Crashes:
    return onCrashNotes(Bytes);
  case peer_message::PartCrashes:
    return onPartNotes(Bytes);
  case peer_message::Rejections:
    return onRejections(Bytes);
  case peer_message::Pause:
    return onPeerPause(Bytes);
  case peer_message::Returns:
    return onPeerReturns(Bytes);
  case peer_message::Query:
    return Relay.handleQuery(Sender, Bytes, now());
  case peer_message::Reply:
    return Relay.handleReply(Bytes, now());
  case peer_message::Announcement:
    return Relay.handleAnnouncement(Bytes, now());
  case peer_message::ConfigurationQuery:
    return onConfigurationQuery(Sender, Bytes);
  case peer_message::ConfigurationReply:
    return onConfigurationReply(Sender, Bytes);
  }
  logs::warning("datagram_unreadable", {{"from", Sender}});
}

void router::onDigest(const std::string &Sender, std::string_view Bytes) {
  const auto Digest = decodeDigest(Bytes);
  if (!Digest) {
    logs::warning("digest_unreadable", {});
    return;
  }
  Peers->setPeerCores(Sender, Digest->Cores);
  Loads.applyDigest(*Digest, now());
  Choice.paths().applyDigest(Sender, Digest->DataCentre, Digest->LostGroups,
                             now());
  for (const rejection_limit_note &Note : Digest->RejectionLimits)
    Choice.guard().applyPeerLimitNote(Note, now());
  for (const cold_note &Note : Digest->Cold)
    Choice.slowStart().applyPeerColdNote(Note, now());
  for (const limit_note &Note : Digest->Limits)
    Choice.limits().applyPeerLimitNote(Note, now());
  applyPeerLeaves(Digest->Leaves);
  Shares.applyPeer(Digest->Vm, Digest->Shares, now());
  Intake.noteVersion(Sender, Digest->ConfigurationVersion, now());
}

void router::onEndpointLeaving(const endpoint_info &Endpoint) {
  if (!Directory.recordLeave(Endpoint.Id, now()))
    return;
  logs::info("endpoint_leaving",
             {{"endpoint", Endpoint.Id}, {"known_from", "answer"}});
  updateEndpoints(Endpoint.Service);
}

void router::applyPeerLeaves(std::span<const leave_note> Notes) {
  bool IsNews = false;
  for (const leave_note &Note : Notes) {
    if (!Directory.applyPeerLeave(Note, now()))
      continue;
    IsNews = true;
    logs::info("endpoint_leaving",
               {{"endpoint_hash", std::to_string(Note.Endpoint)},
                {"known_from", "peer"}});
  }
  if (IsNews)
    updateAllEndpoints();
}

void router::onRejections(std::string_view Bytes) {
  const auto Notes = decodeRejections(Bytes);
  if (!Notes) {
    logs::warning("rejections_unreadable", {});
    return;
  }
  for (const rejection_note &Note : *Notes)
    Choice.guard().applyPeerRejection(Note, now());
}

// Sent at once, because the endpoint survives only a few more rejections until
// the next digest.
void router::sendRejections() {
  const auto Notes = Choice.guard().takeOutgoing();
  if (Peers && !Notes.empty())
    Peers->broadcast(peer_message::Rejections, encodeRejections(Notes));
}

void router::sendPause(const endpoint_info &Endpoint, std::string_view Peer,
                       duration Pause) {
  if (Peers)
    Peers->sendTo(
        std::string(Peer), peer_message::Pause,
        encodePause({Endpoint.Id,
                     std::chrono::ceil<std::chrono::milliseconds>(Pause)}));
}

void router::onPeerPause(std::string_view Bytes) {
  const auto Note = decodePause(Bytes);
  if (!Note) {
    logs::warning("pause_unreadable", {});
    return;
  }
  Choice.pause(Note->Endpoint, Note->Left, now());
  logs::info("endpoint_paused_for_peer",
             {{"endpoint", Note->Endpoint},
              {"pause_ms", std::to_string(Note->Left.count())}});
}

void router::onPeerReturns(std::string_view Bytes) {
  if (!ReturnNotes.onMessage(Bytes, now()))
    logs::warning("returns_unreadable", {});
}

// --- runs of sessions --------------------------------------------------------

void router::sendRunMessage(const std::string &Address,
                            std::string_view Bytes) {
  if (Peers)
    Peers->sendTo(Address, peer_message::SessionRuns, Bytes);
}

std::optional<session_run> router::lastRun(const session_key &Key,
                                           mono_time Now) const {
  for (const auto &[Service, Shift] : Shifts)
    if (digestHash(Service) == Key.Service)
      return Shift->lastRun(Key.Session, Now);
  return std::nullopt;
}

void router::takeRun(const session_key &Key, const session_run &Run,
                     mono_time Now) {
  for (auto &[Service, Shift] : Shifts)
    if (digestHash(Service) == Key.Service)
      Shift->mergeRun(Run, Now);
}

bool router::coversSessionTtl(mono_time Now) const {
  return Now - RunsCompleteSince >=
         Settings.SessionTtl + config::SessionTtlMargin;
}

void router::onSessionRuns(const std::string &Sender, std::string_view Bytes) {
  const auto Message = decodeRunMessage(Bytes);
  if (!Message) {
    logs::warning("session_runs_unreadable", {{"from", Sender}});
    return;
  }
  Runs.receive(Sender, *Message, now());
}

void router::publishRun(std::string_view Service, const session_run &Run) {
  Runs.replicate({digestHash(Service), Run.Session}, Run);
}

void router::lookUpSession(std::string_view Service, std::uint64_t Session,
                           std::function<void(bool IsAnswered)> Handler) {
  const session_key Key{digestHash(Service), Session};
  Runs.lookUp(Key, now(),
              [this, Key, Handler = std::move(Handler)](
                  const run_registry::lookup_result &Found) {
                if (Found.Run)
                  takeRun(Key, *Found.Run, now());
                Handler(Found.IsAnswered);
              });
  armRunsTimer();
}

// Lookups are resent at shorter intervals than the router's tick.
void router::armRunsTimer() {
  const auto At = Runs.nextExpiry();
  if (!At)
    return;
  RunsTimer.expires_after(
      std::max<duration>(*At - now(), config::MinTimerDelay));
  RunsTimer.async_wait(
      Life.guard([this](const boost::system::error_code &Error) {
        if (Error)
          return;
        Runs.expire(now());
        armRunsTimer();
      }));
}

void router::tickRuns(mono_time Now) {
  if (Now - std::exchange(LastTickAt, Now) >= config::RunStallThreshold)
    RunsCompleteSince = Now;
  if (!Peers)
    return;
  if (Now - RunPeersSetAt >= config::RunPeersRefreshInterval) {
    RunPeersSetAt = Now;
    std::vector<std::string> Heard;
    for (relay_peer &Peer : Peers->livePeers(Now))
      Heard.push_back(std::move(Peer.Address));
    Runs.setPeers(Heard);
  }
  for (const auto &[Service, Shift] : Shifts)
    for (const session_run &Run : Shift->collectRenewals(Now))
      publishRun(Service, Run);
  Runs.expire(Now);
}

void router::tickDigest(mono_time Now) {
  Shares.expire(Now, Peers ? Peers->livenessTimeout() : config::DigestTtl);
  if (Peers) {
    Loads.expire(Now, Peers->livenessTimeout());
    Choice.paths().expire(Now, Peers->livenessTimeout());
  }
  if (!Peers || Now - DigestSentAt < config::DigestInterval)
    return;
  DigestSentAt = Now;
  Peers->send(peer_message::Loads, digest(Now));
}

std::string router::digest(mono_time Now) {
  return encodeDigest(
      {Settings.VmName, Incarnation, ++DigestSequence, Choice.loads(),
       Settings.Cores, Choice.slowStart().ownNotes(Now, ColdNoteDelay),
       Choice.limits().ownNotes(Now), Settings.DataCentre, LostGroups,
       Choice.guard().ownNotes(Now), Directory.leaves().ownNotes(Now),
       Shares.ownNotes(Now), Table ? Table->Version : 0});
}

// --- time --------------------------------------------------------------------

void router::armTick() {
  Tick.expires_after(config::RouterTickInterval);
  Tick.async_wait(Life.guard([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    tick();
    armTick();
  }));
}

void router::tick() {
  const mono_time Now = now();
  const auto TakenBack = Directory.expireEvacuations(Now);
  for (const std::string &Centre : TakenBack)
    onTakenBack(Centre);
  if (Directory.expire(Now) || !TakenBack.empty())
    updateAllEndpoints();
  Choice.eraseRemoved();
  Budget.setLimits(limitsOf(Settings, knownVms()));
  tickReachability(Now);
  tickSharedLimits(Now);
  tickRollouts(Now);
  tickQuarantine(Now);
  tickParts(Now);
  tickDigest(Now);
  tickIntake(Now);
  ReturnNotes.onTick(Now);
  tickRuns(Now);
  logEstimates(Now);
  Relay.expire(Now);
  logUnread(Now);
  updateReadiness();
  if (StoppingAt)
    advanceStop();
}

void router::tickReachability(mono_time Now) {
  for (const endpoint_info &Endpoint : Choice.newlyUnreachable())
    probeThroughPeer(Endpoint, [](std::optional<bool>) {});
  for (const endpoint_info &Endpoint : Choice.probesDue(Now))
    Probes.start({Endpoint.Address}, Choice.connectTimeout(Endpoint),
                 [this, Endpoint, Now](std::optional<connect_failure> Failure) {
                   if (Failure)
                     return;
                   Choice.connected(Endpoint, now() - Now, now());
                   logs::info("endpoint_answers",
                              {{"endpoint", Endpoint.Id},
                               {"data_centre", Endpoint.DataCentre}});
                 });
  // onTick() may end a request and remove it from the set.
  const std::vector<std::shared_ptr<active_request>> Open(
      ActiveRequests.begin(), ActiveRequests.end());
  for (const auto &Request : Open)
    Request->onTick();
  tickLostGroups(Now);
}

// Failure: many VMs of a large fleet lose their links at once. A digest takes
// several turns to reach all, and until then VMs try to tunnel through each
// other. A change is therefore sent to all peers at once.
void router::tickLostGroups(mono_time Now) {
  std::vector<std::uint32_t> Lost = Choice.lostGroups();
  if (Lost == LostGroups)
    return;
  LostGroups = std::move(Lost);
  logs::info("endpoint_groups_unreachable",
             {{"groups", std::to_string(LostGroups.size())},
              {"reached_by_peers", std::to_string(Choice.paths().countLost())},
              {"endpoints", std::to_string(Choice.countUnreachable())}});
  if (Peers)
    Peers->broadcast(peer_message::Loads, digest(Now));
}

// --- tunnels for other VMs ---------------------------------------------------

tunnel_admission router::admitTunnel(std::string_view Sender,
                                     std::string_view Target,
                                     std::size_t OpenTunnels) {
  if (!Peers->isPeerAddress(Sender))
    return tunnel_admission::NotAPeer;
  if (StoppingAt || OpenTunnels > MaxTunnels)
    return tunnel_admission::Busy;
  const endpoint_info *Endpoint = Directory.findByAddress(Target);
  if (!Endpoint || Directory.isLeaving(*Endpoint))
    return tunnel_admission::UnknownEndpoint;
  if (Choice.hasLostGroupOf(*Endpoint))
    return tunnel_admission::NoPath;
  return Choice.isUnreachable(*Endpoint) ||
                 !Choice.takesRequests(*Endpoint, now())
             ? tunnel_admission::EndpointUnreachable
             : tunnel_admission::Allowed;
}

duration router::tunnelConnectTimeout(std::string_view Target) const {
  const endpoint_info *Endpoint = Directory.findByAddress(Target);
  return Endpoint ? Choice.connectTimeout(*Endpoint)
                  : duration(config::EndpointConnectTimeout);
}

void router::onTunnelConnect(std::string_view Target,
                             std::optional<connect_failure> Failure,
                             duration Elapsed) {
  const endpoint_info *Endpoint = Directory.findByAddress(Target);
  if (!Endpoint)
    return;
  if (Failure)
    Choice.connectFailed(*Endpoint, *Failure == connect_failure::Refused,
                         now());
  else
    Choice.connected(*Endpoint, Elapsed, now());
}

void router::tickSharedLimits(mono_time Now) {
  Choice.slowStart().expire(Now);
  Choice.limits().expire(Now);
  Choice.guard().expire(Now);
  for (const std::string &Id : Choice.pauses().expire(Now))
    logs::info("endpoint_pause_ended", {{"endpoint", Id}});
  Choice.guard().setVmCount(knownVms());
  const std::uint64_t Generation = Peers ? Peers->generation() : 0;
  if ((Peers && !ArePeersKnown) || VmsGeneration == Generation)
    return;
  VmsGeneration = Generation;
  const std::uint64_t Own = stableHash(Settings.PeerAddress);
  const auto Others =
      Peers ? Peers->addressHashes() : std::vector<std::uint64_t>{};
  Choice.slowStart().setVms(Own, Others);
  Choice.limits().setVms(Own, Others, Now);
}

void router::logEstimates(mono_time Now) {
  if (Now - EstimatesLoggedAt < config::EstimateLogPeriod)
    return;
  EstimatesLoggedAt = Now;
  for (const auto &[Service, Known] : Pace.all())
    for (const auto &[Model, Its] : Known.Models)
      logs::info(
          "model_pace",
          {{"service", Service},
           {"model", Model},
           {"pace", std::to_string(Its.RelativePace)},
           {"prior", std::to_string(Its.PriorRelativePace)},
           {"waits", std::to_string(Its.SampleCount)},
           {"fixed_ms", std::to_string(1000 * Its.Seconds[0])},
           {"own_ms", std::to_string(1000 * engine_pace::secondsForOwn(Its))},
           {"others_ms",
            std::to_string(1000 * engine_pace::secondsForOthers(Its))}});
  for (const auto &[Model, Its] : Quality.estimates())
    logs::info("model_quality",
               {{"model", Model},
                {"quality", std::to_string(Its.Quality)},
                {"answers", std::to_string(Its.EffectiveAnswers)}});
}

void router::logUnread(mono_time Now) {
  const std::uint64_t Unread = Capacity.unread();
  const std::uint64_t Pauses = Capacity.pauses();
  if ((Unread == UnreadLogged && Pauses == PausesLogged) ||
      Now - UnreadLoggedAt < config::UnreadLogPeriod)
    return;
  logs::warning("connections_left_unread",
                {{"count", std::to_string(Unread - UnreadLogged)},
                 {"pauses", std::to_string(Pauses - PausesLogged)},
                 {"open", std::to_string(Callers->connections())},
                 {"request_bytes",
                  std::to_string(std::lround(Capacity.meanRequestBytes()))}});
  UnreadLogged = Unread;
  PausesLogged = Pauses;
  UnreadLoggedAt = Now;
}

void router::updateReadiness() {
  if (isReady() == WasReady)
    return;
  WasReady = !WasReady;
  logs::info(WasReady ? "ready" : "not_ready",
             {{"lease_age_ms",
               Table ? millisText(Lease.age(now())) : std::string("unknown")},
              {"endpoints", std::to_string(Directory.size())}});
}

// Readers collect the reports of all VMs and write them to the store. If the
// fleet is partitioned, each partition has its own readers.
void router::publishReport(const version_shift &Shift, mono_time Now) {
  if (Relay.isReader(Now))
    Platform.appendReport(Settings.VmName, encodeReport(Shift.summary(Now)));
  sendReport(Shift, Now);
}

// Readers broadcast a verdict to all VMs, since each VM has to stop a roll-out
// within seconds even if the store is unavailable. The counts behind the
// verdict go to readers only; broadcast to hundreds of VMs they would occupy a
// link for seconds.
void router::sendReport(const version_shift &Shift, mono_time Now) {
  if (!Peers)
    return;
  rollout_report Own = Shift.report(Now);
  const std::string Report = encodeReport(Own);
  if (!Shift.verdict().empty() && Relay.isReader(Now)) {
    Own.Tally = {};
    Own.OpenAges = {};
    Peers->broadcast(peer_message::Report, encodeReport(Own));
  }
  for (const std::string &Reader : Relay.readers(Now))
    if (Reader != Relay.ownAddress())
      Peers->sendTo(Reader, peer_message::Report, Report);
}

void router::tickRollouts(mono_time Now) {
  bool IsAnyActive = false;
  bool IsAnyUrgent = false;
  for (const auto &[Service, Shift] : Shifts)
    IsAnyUrgent =
        IsAnyUrgent || (Shift->isActive() && Shift->needsFastReports(Now));
  const bool IsReportDue =
      Now - ReportedAt >= (IsAnyUrgent ? config::RolloutFastReportPeriod
                                       : config::RolloutReportPeriod);
  for (auto &[Service, Shift] : Shifts) {
    if (!Shift->isActive() && !Shift->mustRestoreStatus())
      continue;
    IsAnyActive = true;
    if (Shift->isActive()) {
      Shift->markRunning(Now);
      if (IsReportDue)
        publishReport(*Shift, Now);
      else if (Shift->hasUnreportedFailure(Now))
        sendReport(*Shift, Now);
      Shift->markReported();
    }
    const auto Due = Shift->dueStatus(Now);
    status_times &Times = StatusTimes[Service];
    if (!Due) {
      Times.DueSince.reset();
      continue;
    }
    // Every VM may reach this and write; the conditional write lets only one
    // succeed.
    if (!Times.DueSince)
      Times.DueSince = Now;
    const bool IsOurs =
        Relay.isReader(Now) ||
        Now - *Times.DueSince >= config::RolloutStatusTakeoverDelay;
    if (!IsOurs || Now - Times.WrittenAt < config::RolloutStatusRetryDelay)
      continue;
    Times.WrittenAt = Now;
    const auto Evidence = Shift->collectEvidence(Now);
    logs::info("rollout_decision",
               {{"service", Service},
                {"target", Shift->order()->Target},
                {"state", std::string(nameOf(*Due))},
                {"why", std::string(Shift->verdict())},
                {"elapsed_ms", millisText(Shift->elapsed(Now))},
                {"counts", summaryOf(Evidence.Whole)},
                {"since_final_step", summaryOf(Evidence.SinceFinalStep)},
                {"reports_age_ms", millisText(Evidence.ReportsAge)}});
    Platform.writeStatus(Service, Shift->order()->Target, *Due);
  }
  if (IsReportDue)
    ReportedAt = Now;
  Platform.watchRollouts(IsAnyActive, IsAnyUrgent);
}

// --- requests that crash endpoints -------------------------------------------

// An endpoint that is leaving stops on purpose, so this is no crash. Nor is it
// one if only this VM's links are lost.
void router::onConnectionBroken(const endpoint_info &Endpoint,
                                std::string_view Peer, crash_suspect Suspect) {
  const endpoint_info *Known = Directory.find(Endpoint.Id);
  if (!Known || Directory.isLeaving(*Known) ||
      (Peer.empty() && Choice.paths().isLost(Endpoint)))
    return;
  switch (Crashes.connectionLost(Endpoint, Suspect, now())) {
  case crash_detector::verdict::Probe:
    probeForCrash(Endpoint);
    return;
  case crash_detector::verdict::Crashed:
    onEndpointCrashed(Endpoint, {&Suspect, 1});
    return;
  case crash_detector::verdict::Wait:
    return;
  }
}

void router::probeForCrash(const endpoint_info &Endpoint) {
  const auto Finish = [this, Endpoint](bool IsAlive) {
    const auto Suspects = Crashes.probeFinished(Endpoint.Id, IsAlive, now());
    if (Suspects.empty())
      return;
    Metrics.endpointCrashed();
    onEndpointCrashed(Endpoint, Suspects);
  };
  Probes.start(
      {Endpoint.Address}, Choice.connectTimeout(Endpoint),
      [this, Endpoint, Finish](std::optional<connect_failure> Failure) {
        if (!Failure) {
          Finish(true);
          return;
        }
        Choice.connectFailed(Endpoint, *Failure == connect_failure::Refused,
                             now());
        const bool IsPrompt = *Failure == connect_failure::Refused;
        probeThroughPeer(
            Endpoint, [this, Finish, IsPrompt](std::optional<bool> Is) {
              Finish(Is.value_or(!IsPrompt && Choice.isOwnLinkSlow(now())));
            });
      });
}

void router::probeThroughPeer(const endpoint_info &Endpoint,
                              std::function<void(std::optional<bool>)> OnDone) {
  const auto Peer = Choice.choosePeer(Endpoint, now());
  if (!Peer) {
    OnDone(std::nullopt);
    return;
  }
  Probes.start(
      {Endpoint.Address, *Peer}, Choice.connectTimeout(Endpoint),
      [this, Endpoint, Peer = *Peer,
       Done = std::move(OnDone)](std::optional<connect_failure> Failure) {
        if (!Failure) {
          Choice.connectedThroughPeer(Endpoint, now());
          Done(true);
          return;
        }
        const bool IsPeerGone = *Failure == connect_failure::PeerUnavailable;
        Choice.tunnelFailed(Peer, Endpoint,
                            IsPeerGone ? tunnel_failure::PeerUnavailable
                                       : tunnel_failure::EndpointUnreachable,
                            now());
        Done(IsPeerGone ? std::nullopt : std::optional(false));
      });
}

void router::onEndpointCrashed(const endpoint_info &Endpoint,
                               std::span<const crash_suspect> Suspects) {
  std::vector<std::uint64_t> Digests;
  std::set<std::uint64_t> InFlight;
  for (const crash_suspect &Suspect : Suspects) {
    Digests.push_back(Suspect.Request);
    InFlight.insert(Suspect.Parts.begin(), Suspect.Parts.end());
  }
  logs::info("endpoint_crashed", {{"endpoint", Endpoint.Id},
                                  {"requests", std::to_string(Digests.size())},
                                  {"first", toHex(Digests.front())},
                                  {"parts", std::to_string(InFlight.size())}});
  const std::uint64_t Crash = crashId(Endpoint.Id, Endpoint.Incarnation);
  Quarantine.recordCrash(Crash, Digests, now());
  sendCrashNotes(now());
  Parts.recordCrash(
      Crash, std::vector<std::uint64_t>(InFlight.begin(), InFlight.end()),
      now());
  sendPartNotes(now());
}

void router::onCrashNotes(std::string_view Bytes) {
  const auto Notes = decodeCrashNotes(Bytes);
  if (!Notes) {
    logs::warning("crash_notes_unreadable", {});
    return;
  }
  for (const crash_note &Note : *Notes)
    Quarantine.applyPeerCrashNote(Note, now());
  sendCrashNotes(now());
}

void router::onPartNotes(std::string_view Bytes) {
  const auto Notes = decodePartNotes(Bytes);
  if (!Notes) {
    logs::warning("part_notes_unreadable", {});
    return;
  }
  for (const part_note &Note : *Notes)
    Parts.apply(Note, now());
  sendPartNotes(now());
}

// Whoever deletes a part's record releases the part on all VMs.
bool router::onStoredParts(std::string_view Key,
                           std::optional<std::string_view> Bytes) {
  if (Bytes) {
    const auto Notes = decodePartNotes(*Bytes);
    if (!Notes)
      return false;
    for (const part_note &Note : *Notes)
      Parts.applyStored(Note, now());
  } else if (const auto Part = fromHex(Key)) {
    Parts.release(*Part, now());
    sendPartNotes(now());
  }
  return true;
}

// Readers collect what all VMs learned of parts and tell all VMs; a VM that
// receives no datagrams reads quarantined parts from the store.
void router::sendPartNotes(mono_time Now) {
  if (!Peers)
    return;
  const auto [ForReaders, ForAll] =
      Parts.takeOutgoing(Relay.isReader(Now), Now);
  if (!ForAll.empty())
    Peers->broadcast(peer_message::PartCrashes, encodePartNotes(ForAll));
  if (ForReaders.empty())
    return;
  for (const std::string &Reader : Relay.readers(Now))
    if (Reader != Relay.ownAddress())
      Peers->sendTo(Reader, peer_message::PartCrashes,
                    encodePartNotes(ForReaders));
}

void router::tickParts(mono_time Now) {
  sendPartNotes(Now);
  // Sound requests may have been in flight at several of these crashes.
  if (const auto Explained = Parts.explainedCrashes(); !Explained.empty())
    Quarantine.clearCrashes(Explained);
  const auto Expired = Parts.expire(Now);
  if (!Relay.isReader(Now))
    return;
  for (const std::uint64_t Part : Expired)
    Platform.storeQuarantine(PartKeyPrefix + toHex(Part), {});
  for (const part_note &Note : Parts.takeUnsaved(Now))
    Platform.storeQuarantine(PartKeyPrefix + toHex(Note.Part),
                             encodePartNotes({&Note, 1}));
}

bool router::onQuarantine(std::string_view Key,
                          std::optional<std::string_view> Bytes) {
  if (Key.starts_with(PartKeyPrefix))
    return onStoredParts(Key.substr(PartKeyPrefix.size()), Bytes);
  if (!Bytes) {
    if (const auto Request = fromHex(Key))
      releaseRequest(*Request);
    return true;
  }
  const auto Notes = decodeCrashNotes(*Bytes);
  if (!Notes)
    return false;
  for (const crash_note &Note : *Notes)
    Quarantine.applyStoredNote(Note, ageOf(Note.LastMs), now());
  return true;
}

void router::releaseRequest(std::uint64_t Request) {
  Quarantine.releaseRequest(Request);
  logs::info("request_released", {{"request", toHex(Request)}});
  const crash_note Released{Request, {}};
  if (Peers)
    Peers->broadcast(peer_message::Crashes, encodeCrashNotes({&Released, 1}));
}

duration router::ageOf(std::int64_t WallMs) const {
  const auto Wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock.wallNow().time_since_epoch());
  return std::max(duration::zero(),
                  duration(Wall - std::chrono::milliseconds(WallMs)));
}

// Readers aggregate the crashes seen by all VMs and broadcast quarantined
// requests. A VM that receives no datagrams reads them from the store.
void router::sendCrashNotes(mono_time Now) {
  if (!Peers)
    return;
  const bool IsReader = Relay.isReader(Now);
  const auto [Suspects, Held] = Quarantine.takeOutgoing(IsReader, Now);
  if (!Held.empty())
    Peers->broadcast(peer_message::Crashes, encodeCrashNotes(Held));
  if (Suspects.empty())
    return;
  for (const std::string &Reader : Relay.readers(Now))
    if (Reader != Relay.ownAddress())
      Peers->sendTo(Reader, peer_message::Crashes, encodeCrashNotes(Suspects));
}

void router::storeQuarantined(mono_time Now) {
  const bool IsFirst = Relay.readers(Now).front() == Relay.ownAddress();
  const duration Patience =
      IsFirst ? duration::zero() : duration(config::QuarantineBackupSaveDelay);
  const std::int64_t WallMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock.wallNow().time_since_epoch())
          .count();
  for (crash_note &Note : Quarantine.takeUnsaved(Patience, Now)) {
    Note.LastMs = WallMs;
    Platform.storeQuarantine(toHex(Note.Request), encodeCrashNotes({&Note, 1}));
  }
}

void router::tickQuarantine(mono_time Now) {
  Crashes.expire(Now);
  const bool IsReader = Relay.isReader(Now);
  // A VM that knows readers but gets no replies from them watches the store
  // itself.
  Platform.watchQuarantine(IsReader || !Relay.hasRecentReply(Now));
  sendCrashNotes(Now);
  for (const std::uint64_t Request : Quarantine.expire(Now))
    if (IsReader)
      Platform.storeQuarantine(toHex(Request), {});
  if (IsReader)
    storeQuarantined(Now);
}

// --- graceful shutdown -------------------------------------------------------

void router::stop() {
  if (StoppingAt)
    return;
  StoppingAt = now();
  logs::info("stopping",
             {{"open_requests", std::to_string(ActiveRequests.size())}});
  Callers->announceClose();
  updateReadiness();
}

// Load: a VM under full traffic is replaced. Harm prevented: a connection is
// closed on a request that has just arrived, or a stream is cut off. Idle
// connections stay open until the load balancer has noticed that this VM is
// leaving, and every response announces that its connection closes; after that
// no new connections arrive.
void router::advanceStop() {
  const duration Elapsed = now() - *StoppingAt;
  const stop_schedule Schedule = stopSchedule(Settings.StopGrace);
  if (!HasClosedIdle && Elapsed >= Schedule.RefuseAfter) {
    HasClosedIdle = true;
    Callers->closeIdle();
  }
  const bool IsQuiet = HasClosedIdle && Callers->busyConnections() == 0 &&
                       (!Tunnels || Tunnels->openTunnels() == 0);
  if (HasClosedIdle)
    Callers->closeIdle();
  if (!IsQuiet && Elapsed < Schedule.EndAfter)
    return;
  // What is left is answered, and the answers leave before the next tick.
  if (!std::exchange(HasEndedRequests, true) && !ActiveRequests.empty()) {
    logs::info("stop_ends_requests",
               {{"open_requests", std::to_string(ActiveRequests.size())}});
    const auto Left = ActiveRequests;
    for (const auto &Request : Left)
      Request->endForStop();
    return;
  }
  logs::info("stopped", {});
  Platform.stop();
  Context.stop();
}

} // namespace clementinelane
