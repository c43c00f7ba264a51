#include "gossip_runner.h"

#include "config.h"
#include "logs.h"
#include "operator_client.h"

#include <algorithm>
#include <chrono>
#include <prometheus/text_serializer.h>
#include <random>

namespace clementinelane {

namespace {

std::string linkOf(std::string_view Address, std::uint64_t Port) {
  return std::string(Address) + ":" + std::to_string(Port);
}

local_member selfOf(const settings &Settings, const runtime_clock &Clock) {
  local_member Self;
  Self.Link = linkOf(Settings.Address, Settings.LinkPort);
  Self.Vm = Settings.VmName;
  Self.DataCentre = Settings.DataCentre;
  Self.Region = Settings.Region;
  Self.EntryLink = linkOf(Settings.Address, Settings.EntryLinkPort);
  Self.Incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Clock.wallNow().time_since_epoch())
          .count());
  Self.Seeds = Settings.Seeds;
  return Self;
}

prometheus::Counter &addCounter(prometheus::Registry &Registry,
                                const std::string &Name,
                                const std::string &Help,
                                const prometheus::Labels &Labels = {}) {
  return prometheus::BuildCounter()
      .Name("clementine_gossip_" + Name)
      .Help(Help)
      .Register(Registry)
      .Add(Labels);
}

prometheus::Gauge &addGauge(prometheus::Registry &Registry,
                            const std::string &Name, const std::string &Help) {
  return prometheus::BuildGauge()
      .Name("clementine_gossip_" + Name)
      .Help(Help)
      .Register(Registry)
      .Add({});
}

bool hasBootstrapPeers(const settings &Settings) {
  const std::string Own = linkOf(Settings.Address, Settings.LinkPort);
  return !Settings.VmListAddress.empty() ||
         std::any_of(Settings.Seeds.begin(), Settings.Seeds.end(),
                     [&](const std::string &Seed) { return Seed != Own; });
}

} // namespace

bool gossip_runner::isJoined() const {
  const std::scoped_lock Lock(Mutex);
  return Gate.isOpen(Clock.now());
}

gossip_runner::gossip_runner(const settings &Given, const runtime_clock &Clock,
                             newer_offset_handler OnNewer)
    : Settings(Given), Clock(Clock), OnNewer(std::move(OnNewer)),
      BytesIn(addCounter(Registry, "bytes_total", "Bytes of messages",
                         {{"direction", "in"}})),
      BytesOut(addCounter(Registry, "bytes_total", "Bytes of messages",
                          {{"direction", "out"}})),
      Messages(addCounter(Registry, "messages_total", "Messages sent")),
      Incompatible(addCounter(Registry, "incompatible_total",
                              "Messages refused for another protocol")),
      Alive(addGauge(Registry, "peers", "Peers available now")),
      Entries(addGauge(Registry, "entries", "Entries known")),
      Machine(selfOf(Given, Clock), std::random_device{}(), Clock.now()),
      Gate(hasBootstrapPeers(Given), Clock.now()) {}

gossip_runner::~gossip_runner() { close(); }

void gossip_runner::close() {
  {
    const std::scoped_lock Lock(StopMutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  if (Ticker.joinable())
    Ticker.join();
  if (ListReader.joinable())
    ListReader.join();
}

void gossip_runner::open() {
  Ticker = std::thread([this] { tickLoop(); });
  if (!Settings.VmListAddress.empty())
    ListReader = std::thread([this] { pollVmListLoop(); });
}

bool gossip_runner::waitUnlessStopped(duration For) {
  std::unique_lock Lock(StopMutex);
  return !StopChanged.wait_for(Lock, For, [this] { return IsStopping; });
}

// Guard: if a tick blocks, all peers suspect this member. So this thread only
// ticks and never waits for a reply.
void gossip_runner::tickLoop() {
  do {
    std::pair<std::string, std::uint64_t> Newer;
    std::uint64_t Own = 0;
    {
      const std::scoped_lock Lock(Mutex);
      run(Machine.tick(Clock.now()));
      Newer = Machine.newerOffset();
      Own = Machine.store().size();
      const std::size_t Peers = Machine.peers(Clock.now()).size();
      Alive.Set(static_cast<double>(Peers));
      Gate.updatePeerCount(Peers, Clock.now());
    }
    Entries.Set(static_cast<double>(Own));
    if (!Newer.first.empty())
      OnNewer(Newer.first, Newer.second);
  } while (waitUnlessStopped(config::GossipPeriod));
}

void gossip_runner::pollVmListLoop() {
  do
    fetchVmList();
  while (waitUnlessStopped(config::VmListPollInterval));
}

void gossip_runner::fetchVmList() {
  const auto Body = operator_client(Settings.VmListAddress).get("/v1/vms");
  if (!Body) {
    logs::warning("vm_list_unreachable", {{"from", Settings.VmListAddress}});
    return;
  }
  std::vector<listed_vm> List;
  try {
    for (const auto &Item : Body.value().at("vms").as_array()) {
      const std::string Address = Item.at("address").as_string();
      const bool HasPort = Address.find(':') != std::string::npos;
      List.push_back({HasPort ? Address : linkOf(Address, Settings.LinkPort),
                      Item.at("state").as_string() == "leaving"});
    }
  } catch (const web::json::json_exception &Error) {
    logs::warning("vm_list_unreadable", {{"what", Error.what()}});
    return;
  }
  const std::scoped_lock Lock(Mutex);
  Machine.setListedVms(List);
}

/// Requires `Mutex` to be held.
void gossip_runner::run(const membership_output &Out) {
  for (const membership_notice &Notice : Out.Notices)
    logs::info(Notice.Event,
               {{"link", Notice.Link},
                {"member", Notice.Vm},
                {"data_centre", Notice.DataCentre},
                {"incarnation", std::to_string(Notice.Incarnation)}});
  for (const gossip_call &Call : Out.Calls) {
    std::string Bytes = encodeGossip(Call.Message);
    Messages.Increment();
    BytesOut.Increment(static_cast<double>(Bytes.size()));
    Link.call(Call.To, "/gossip", std::move(Bytes), config::ProbeTimeout,
              [this, Token = Call.Token](const result<std::string> &Reply) {
                onReply(Token, Reply);
              });
  }
}

void gossip_runner::onReply(std::uint64_t Token,
                            const result<std::string> &Reply) {
  if (Reply)
    BytesIn.Increment(static_cast<double>(Reply.value().size()));
  const result<gossip_message> Message =
      Reply ? decodeGossip(Reply.value())
            : result<gossip_message>(Reply.error());
  if (!Message && kindOf(Message.error()) == error_kind::PeerIncompatible)
    Incompatible.Increment();
  const std::scoped_lock Lock(Mutex);
  run(Message ? Machine.handleReply(Token, Message.value(), Clock.now())
              : Machine.handleFailure(Token, Clock.now()));
}

// Guard: a message of another protocol version could be misread as members with
// garbled names. It is refused with an error kind of its own and counted.
void gossip_runner::onMessage(std::string_view Body, const link_reply &Reply) {
  BytesIn.Increment(static_cast<double>(Body.size()));
  const result<gossip_message> Message = decodeGossip(Body);
  if (!Message) {
    Incompatible.Increment();
    return Reply(Message.error());
  }
  gossip_message Answer;
  {
    const std::scoped_lock Lock(Mutex);
    run(Machine.handleMessage(Message.value(), Clock.now(), Answer));
  }
  std::string Bytes = encodeGossip(Answer);
  Messages.Increment();
  BytesOut.Increment(static_cast<double>(Bytes.size()));
  Reply(std::move(Bytes));
}

void gossip_runner::leave() {
  {
    const std::scoped_lock Lock(Mutex);
    run(Machine.leave(Clock.now()));
  }
  waitUnlessStopped(config::LeavePropagationTime);
}

void gossip_runner::setOffset(std::uint64_t Offset) {
  const std::scoped_lock Lock(Mutex);
  Machine.setOffset(Offset);
}

bool gossip_runner::publish(entry_kind Kind, std::string Key,
                            std::uint64_t Version, std::string Value) {
  const std::scoped_lock Lock(Mutex);
  return Machine.publish(Kind, std::move(Key), Version, std::move(Value),
                         Clock.now());
}

std::vector<gossip_entry> gossip_runner::entries(entry_kind Kind) const {
  std::vector<gossip_entry> Out;
  const std::scoped_lock Lock(Mutex);
  Machine.store().forEach(
      Kind, [&Out](const gossip_entry &Entry) { Out.push_back(Entry); });
  return Out;
}

std::vector<peer_info> gossip_runner::peers() const {
  const std::scoped_lock Lock(Mutex);
  return Machine.peers(Clock.now());
}

web::json::value gossip_runner::membersJson() const {
  using web::json::value;
  const std::scoped_lock Lock(Mutex);
  auto List = value::array();
  for (const member_info &Each : Machine.members(Clock.now())) {
    auto Item = value::object();
    Item["vm"] = value::string(Each.Peer.Vm);
    Item["data_centre"] = value::string(Each.Peer.DataCentre);
    Item["region"] = value::string(Each.Peer.Region);
    Item["link"] = value::string(Each.Peer.ControlLink);
    Item["state"] = value::string(std::string(Each.State));
    Item["reachable"] = value::boolean(Each.IsReachable);
    Item["incarnation"] = value::number(Each.Peer.Incarnation);
    Item["offset"] = value::number(Each.Offset);
    List[List.size()] = Item;
  }
  auto Centres = value::object();
  Machine.store().forEach(
      entry_kind::CentreOffset, [&Centres](const gossip_entry &Entry) {
        Centres[Entry.Source] = value::number(Entry.Version);
      });
  auto Body = value::object();
  Body["members"] = List;
  Body["data_centre_offsets"] = Centres;
  Body["is_relay"] = value::boolean(Machine.isRelay());
  return Body;
}

std::string gossip_runner::metricsText() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace clementinelane
