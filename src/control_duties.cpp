#include "control_duties.h"

#include "codec.h"
#include "config.h"
#include "http_fetch.h"
#include "logs.h"
#include "operator_client.h"
#include "request.h"

#include <algorithm>
#include <cpprest/json.h>
#include <pplx/pplxtasks.h>
#include <xxhash.h>

namespace clementinelane {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

/// POST /orders {"engine_order", "version", "fence"}: 200 done, 409 fenced;
/// anything else is unknown.
order_result sendOrder(const reconcile_action::send_order &Order) {
  auto Body = web::json::value::object();
  Body["engine_order"] =
      web::json::value::string(std::string(nameOf(Order.Kind)));
  Body["version"] = web::json::value::string(Order.Version);
  Body["fence"] = web::json::value::number(Order.Fence);
  const auto Answer = fetch({Order.Address,
                             "POST",
                             "/orders",
                             {{"Content-Type", "application/json"}},
                             Body.serialize(),
                             config::OrderTimeout});
  if (!Answer)
    return order_result::Unknown;
  if (Answer->Head.Status == StatusOk)
    return order_result::Done;
  return Answer->Head.Status == StatusConflict ? order_result::Fenced
                                               : order_result::Unknown;
}

/// GET /orders: {"loaded": ["m@1"]}.
std::optional<std::set<std::string>> readLoaded(const std::string &Address) {
  const auto Answer =
      fetch({Address, "GET", "/orders", {}, {}, config::OrderTimeout});
  if (!Answer || Answer->Head.Status != StatusOk)
    return std::nullopt;
  try {
    std::set<std::string> Loaded;
    const auto Body = web::json::value::parse(Answer->Body);
    for (const auto &Version : Body.at("loaded").as_array())
      Loaded.insert(Version.as_string());
    return Loaded;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

constexpr std::array<std::string_view, 3> EndNames{"done", "fenced", "unknown"};

} // namespace

control_duties::control_duties(const settings &Settings,
                               const runtime_clock &Clock, append_log &Log,
                               config_feed &Feed, const peer_source &Peers)
    : Settings(Settings), Clock(Clock), Log(Log), Feed(Feed),
      Peers(Peers), Leases{lease("engines/" + Settings.DataCentre,
                                 Settings.VmName + "/" + makeRequestId()),
                           lease("rollouts",
                                 Settings.VmName + "/" + makeRequestId())} {}

control_duties::~control_duties() { stop(); }

void control_duties::start() {
  Reader = std::thread([this] { readLeases(); });
  Ticker = std::thread([this] { tick(); });
}

void control_duties::stop() {
  {
    const std::scoped_lock Lock(Mutex);
    if (Stopping)
      return;
    Stopping = true;
  }
  Changed.notify_all();
  if (Reader.joinable())
    Reader.join();
  if (Ticker.joinable())
    Ticker.join();
  Tasks.wait();
  // The next holder then need not wait for the leases to expire.
  for (lease &Lease : Leases)
    if (const auto Record = Lease.release(Clock.now()))
      appendLease(*Record);
}

bool control_duties::pause(std::chrono::milliseconds For) {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, For, [this] { return Stopping; });
  return !Stopping;
}

void control_duties::readLeases() {
  while (pause(std::chrono::milliseconds(0))) {
    const auto Batch = Log.read(LeaseStream, Next, config::LogPollWait);
    if (Batch) {
      readBatch(Batch.value());
      continue;
    }
    if (Batch.error() == error_kind::LogExpired)
      if (const auto Bounds = Log.bounds(LeaseStream))
        Next = Bounds.value().First;
    pause(config::ReconnectDelay);
  }
}

void control_duties::readBatch(const log_batch &Batch) {
  const std::scoped_lock Lock(Mutex);
  // A truncated log is read again from its new end; leases recorded before the
  // truncation expire by themselves.
  Next = std::min(Next, Batch.Next);
  for (const log_record &Record : Batch.Records) {
    Next = Record.Offset + 1;
    const auto Decoded = decodeLease(Record.Bytes);
    if (!Decoded)
      continue;
    for (lease &Lease : Leases)
      if (Lease.name() == Decoded.value().Name)
        Lease.recordRead(Record.Offset, Decoded.value(), Clock.now());
  }
  if (Next == Batch.Next)
    CaughtUpAt = Clock.now();
}

/// Our rank in the rendezvous order of the VMs that may claim `Lease`.
std::size_t control_duties::claimRank(std::string_view Lease,
                                      bool OwnDataCentre) const {
  const auto Weight = [&](std::string_view Vm) {
    return XXH3_64bits_withSeed(Vm.data(), Vm.size(),
                                XXH3_64bits(Lease.data(), Lease.size()));
  };
  const auto Own = Weight(Settings.VmName);
  const std::vector<peer_info> All = Peers.peers();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const peer_info &Peer) {
        return (!OwnDataCentre || Peer.DataCentre == Settings.DataCentre) &&
               Weight(Peer.Vm) > Own;
      }));
}

void control_duties::appendLease(const lease_record &Record) {
  // The outcome is read from the stream.
  if (!Log.append(LeaseStream, encodeLease(Record)))
    logs::info("lease_append_unknown", {{"lease", Record.Name}});
}

void control_duties::renewLeases() {
  const std::size_t Ranks[] = {claimRank(Leases[EnginesLease].name(), true),
                               claimRank(Leases[RolloutsLease].name(), false)};
  const bool IsReady = Feed.status().IsReady;
  std::vector<lease_record> Records;
  {
    const std::scoped_lock Lock(Mutex);
    const mono_time Now = Clock.now();
    const bool MayClaim =
        IsReady && CaughtUpAt && Now - *CaughtUpAt < 2 * config::LogPollWait;
    for (std::size_t Index = 0; Index < Leases.size(); ++Index)
      if (auto Record = Leases[Index].tick(Now, MayClaim, Ranks[Index]))
        Records.push_back(std::move(*Record));
  }
  for (lease_record &Record : Records)
    Tasks.run([this, Record = std::move(Record)] { appendLease(Record); });
}

void control_duties::applyConfig() {
  const configuration_ptr Config = Feed.config();
  if (!Config || Config->Offset == ConfigOffset)
    return;
  ConfigOffset = Config->Offset;
  dispatch(Orders, reconcile_event::targets{
                       engineTargets(*Config, Settings.DataCentre)});
  dispatch(Driver, driver_event::config_changed{Config});
}

template <typename Machine, typename Input>
void control_duties::dispatch(Machine &StateMachine, const Input &Event) {
  decltype(StateMachine.handle(Event, Clock.now())) Out;
  {
    const std::scoped_lock Lock(Mutex);
    Out = StateMachine.handle(Event, Clock.now());
  }
  for (const auto &Output : Out)
    std::visit([this](const auto &Action) { perform(Action); }, Output);
}

void control_duties::tick() {
  while (pause(config::ControlTickInterval)) {
    applyConfig();
    renewLeases();
    const follower_status Status = Feed.status();
    std::optional<std::uint64_t> Fence;
    bool TookOver = false;
    bool MayPropose = false;
    {
      const std::scoped_lock Lock(Mutex);
      const mono_time Now = Clock.now();
      Fence = Leases[EnginesLease].fencingNumber(Now, config::OrderTimeout);
      TookOver = Leases[EnginesLease].tookOver();
      // Nothing is proposed while the log is unreachable or this VM is behind.
      MayPropose =
          Status.IsReady && Status.IsLogReachable && !Status.IsLogSuspect &&
          !Status.IsBehind &&
          Leases[RolloutsLease].fencingNumber(Now, config::LogCallTimeout);
    }
    dispatch(Orders, reconcile_event::tick{Fence, TookOver});
    dispatch(Driver, driver_event::tick{MayPropose});
  }
}

void control_duties::perform(const reconcile_action::read_state &Action) {
  Tasks.run([this, Action] {
    dispatch(Orders, reconcile_event::state_read{Action.Endpoint,
                                                 readLoaded(Action.Address)});
  });
}

void control_duties::perform(const reconcile_action::send_order &Action) {
  Tasks.run([this, Action] {
    bool MaySend = false;
    {
      // Checked again, since the task may have been queued for long or the
      // process may be stopping.
      const std::scoped_lock Lock(Mutex);
      MaySend = Leases[EnginesLease].fencingNumber(
                    Clock.now(), config::OrderTimeout) == Action.Fence;
    }
    const order_result End =
        MaySend ? sendOrder(Action) : order_result::Unknown;
    logs::decision(
        "engine_order",
        {{"endpoint", Action.Endpoint},
         {"order", std::string(nameOf(Action.Kind))},
         {"version", Action.Version},
         {"fence", std::to_string(Action.Fence)},
         {"sent", MaySend ? "yes" : "lease_lost"},
         {"end", std::string(EndNames[static_cast<std::size_t>(End)])}});
    dispatch(Orders, reconcile_event::order_ended{Action.Endpoint, End});
  });
}

void control_duties::perform(const driver_action::halt &Action) {
  logs::warning("brake", {{"version", Action.Version}});
}

void control_duties::perform(const driver_action::release_halt &Action) {
  logs::info("brake_released", {{"version", Action.Version}});
}

void control_duties::perform(const driver_action::propose &Action) {
  Tasks.run([this, Action] {
    const config_state State = Feed.state();
    if (State.Accepted != Action.Offset)
      return; // the decision was based on a superseded state
    remote_folder Folder;
    Folder.Files = State.Files;
    change_record Change = makeChange(Folder, {Action.File}, false);
    for (const std::string &Name :
         filesDefiningRollout(filesOf(State), Action.Rollout))
      Change.Bases[Name] = State.Files.at(Name).Offset;
    Change.Author = Settings.VmName;
    const auto Offset = Log.append(ConfigStream, encodeChange(Change));
    logs::decision("rollout_step", {{"rollout", Action.Rollout},
                                    {"reason", Action.Reason},
                                    {"file", Action.File.Name},
                                    {"id", Change.Id},
                                    {"appended", Offset ? "yes" : "unknown"}});
  });
}

bool control_duties::onLink(std::string_view Path, std::string_view Body,
                            const link_reply &Reply) {
  if (Path != "/verdict")
    return false;
  const auto Decoded =
      unpack<verdict_message>(Body, error_kind::PeerIncompatible);
  if (!Decoded) {
    Reply(Decoded.error());
    return true;
  }
  const verdict_message &Message = Decoded.value();
  const auto Verdict = std::min<std::uint8_t>(
      Message.Verdict, static_cast<std::uint8_t>(candidate_verdict::Bad));
  dispatch(Driver, driver_event::verdict_received{
                       Message.Rollout, Message.Step,
                       static_cast<candidate_verdict>(Verdict)});
  std::vector<std::string> Braked;
  {
    const std::scoped_lock Lock(Mutex);
    Braked.assign(Driver.haltedVersions().begin(),
                  Driver.haltedVersions().end());
  }
  Reply(pack(Braked));
  return true;
}

} // namespace clementinelane
