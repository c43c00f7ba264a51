#include "config_feed.h"

#include "codec.h"
#include "config.h"
#include "logs.h"

#include <charconv>
#include <future>
#include <pplx/pplxtasks.h>

namespace clementinelane {

namespace {

std::uint64_t toNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

result<peer_offset> decodeOffset(std::string_view Bytes) {
  return unpack<peer_offset>(Bytes, error_kind::PeerIncompatible);
}

follower_settings followerSettings(const settings &Settings) {
  return {Settings.VmName, Settings.DataCentre, Settings.LogRetentionRecords,
          std::chrono::hours(Settings.LogRetentionHours)};
}

} // namespace

config_feed::config_feed(const settings &Settings, const runtime_clock &Clock,
                         append_log &Log, link_client &Link,
                         const peer_source &Peers,
                         std::function<void(std::uint64_t)> OnPublished)
    : Settings(Settings), Clock(Clock), Log(Log), Link(Link), Peers(Peers),
      OnPublished(std::move(OnPublished)),
      Follower(followerSettings(Settings), Clock.now()) {}

config_feed::~config_feed() { stop(); }

void config_feed::stop() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  if (Reader.joinable())
    Reader.join();
  if (Ticker.joinable())
    Ticker.join();
  Tasks.wait();
}

void config_feed::start() {
  Reader = std::thread([this] { readLog(); });
  Ticker = std::thread([this] { tick(); });
}

void config_feed::pause() {
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, config::ReconnectDelay, [this] { return Stopping; });
}

void config_feed::readLog() {
  for (;;) {
    log_request Request;
    {
      const std::scoped_lock Lock(Mutex);
      if (Stopping)
        return;
      Request = Follower.nextRequest(Clock.now());
    }
    if (Request.Kind == log_request::kind::Wait) {
      pause();
      continue;
    }
    if (Request.Kind == log_request::kind::Bounds) {
      if (const auto Bounds = Log.bounds(ConfigStream))
        handle(follower_event::log_bounds_read{Bounds.value()});
      else
        handle(follower_event::log_failed{0, kindOf(Bounds.error())});
      pause();
      continue;
    }
    auto Batch = Log.read(ConfigStream, Request.From,
                          Request.MayPoll ? config::LogPollWait
                                          : std::chrono::milliseconds(0));
    const bool Failed = !Batch;
    if (Failed)
      handle(follower_event::log_failed{Request.From, kindOf(Batch.error())});
    else
      handle(follower_event::log_read{Request.From, std::move(Batch).value()});
    if (Failed || !Request.MayPoll)
      pause();
  }
}

void config_feed::tick() {
  for (;;) {
    {
      std::unique_lock Lock(Mutex);
      Changed.wait_for(Lock, config::ControlTickInterval,
                       [this] { return Stopping; });
      if (Stopping)
        return;
    }
    handle(follower_event::peers_updated{Peers.peers()});
    const auto Wall = Clock.wallNow().time_since_epoch();
    handle(follower_event::tick{
        std::chrono::duration_cast<std::chrono::seconds>(Wall).count()});
  }
}

void config_feed::handle(const follower_input &Input) {
  std::vector<follower_output> Out;
  {
    const std::scoped_lock Lock(Mutex);
    if (Stopping)
      return;
    Out = Follower.handle(Input, Clock.now());
  }
  for (const follower_output &Output : Out)
    std::visit([this](const auto &Action) { perform(Action); }, Output);
}

void config_feed::perform(const follower_action::query_offset &Action) {
  const std::string &Address = Action.Address;
  Link.call(Address, "/offset", pack(ownOffset()), config::LinkCallTimeout,
            [this, Address](result<std::string> Reply) {
              auto Offset =
                  Reply ? decodeOffset(Reply.value())
                        : result<peer_offset>(error_kind::PeerUnavailable);
              if (!Offset)
                return handle(follower_event::peer_failed{Address});
              Offset.value().Address = Address;
              handle(follower_event::peer_offset_received{Offset.value()});
            });
}

void config_feed::perform(const follower_action::fetch_state &Action) {
  const std::string &Address = Action.Address;
  Link.call(Address, "/state", "0", config::LinkCallTimeout,
            [this, Address](result<std::string> Reply) {
              auto State =
                  Reply ? decodeState(Reply.value())
                        : result<config_state>(error_kind::PeerUnavailable);
              if (!State)
                return handle(follower_event::peer_failed{Address});
              handle(follower_event::state_received{Address,
                                                    std::move(State).value()});
            });
}

void config_feed::perform(const follower_action::append_snapshot &Action) {
  Tasks.run([this, Bytes = Action.Bytes] {
    // An error doesn't mean that the append failed; the log reader sees the
    // record if it took effect.
    const auto Offset = Log.append(ConfigStream, Bytes);
    logs::info("snapshot", {{"bytes", std::to_string(Bytes.size())},
                            {"appended", Offset ? "yes" : "unknown"}});
  });
}

void config_feed::perform(const follower_action::publish_config &Action) {
  {
    const std::scoped_lock Lock(Mutex);
    Source.set(Follower.replica().config());
    Encoded = std::make_shared<const std::string>(
        encodeState(Follower.replica().state()));
    EncodedOffset = Follower.replica().state().Accepted;
  }
  Changed.notify_all();
  OnPublished(Action.Offset);
  logs::info("configuration", {{"offset", std::to_string(Action.Offset)}});
}

void config_feed::perform(const follower_action::verdict &Action) {
  const change_verdict &Verdict = Action.Verdict;
  logs::info(Verdict.IsSnapshot ? "snapshot_read" : "change",
             {{"offset", std::to_string(Verdict.Offset)},
              {"id", Verdict.Id},
              {"verdict", Verdict.Error ? Verdict.Error.message() : "accepted"},
              {"detail", Verdict.Detail}});
  const std::scoped_lock Lock(Mutex);
  VerdictOrder.push_back(Verdict.Id);
  Verdicts[Verdict.Id] = Verdict;
  if (VerdictOrder.size() > config::MaxVerdicts) {
    Verdicts.erase(VerdictOrder.front());
    VerdictOrder.pop_front();
  }
}

void config_feed::perform(const follower_action::alarm &Action) {
  logs::warning(Action.Event, {{"detail", Action.Detail}});
}

bool config_feed::onLink(std::string_view Path, std::string_view Body,
                         const link_reply &Reply) {
  if (Path == "/state") {
    replyState(toNumber(Body), Reply);
    return true;
  }
  if (Path != "/offset")
    return false;
  // A query carries the sender's own offset, so changes spread both ways.
  if (const auto Offset = decodeOffset(Body);
      Offset && !Offset.value().Address.empty())
    handle(follower_event::peer_offset_received{Offset.value()});
  Reply(pack(ownOffset()));
  return true;
}

void config_feed::onGossipOffset(const std::string &Address,
                                 std::uint64_t Accepted) {
  handle(follower_event::gossip_offset_received{Address, Accepted});
}

void config_feed::replyState(std::uint64_t Known, const link_reply &Reply) {
  // The long poll must not block the link's only thread.
  Tasks.run([this, Known, Reply] {
    std::shared_ptr<const std::string> State;
    {
      std::unique_lock Lock(Mutex);
      Changed.wait_for(Lock, config::ConfigPollWait,
                       [&] { return Stopping || EncodedOffset > Known; });
      if (EncodedOffset > Known)
        State = Encoded;
    }
    // Without a newer state the reply is an empty one, which receivers ignore.
    Reply(State ? *State : encodeState({}));
  });
}

peer_offset config_feed::ownOffset() const {
  const follower_status Status = status();
  // An offset that is not yet served here is not reported, since fetching its
  // state would fail.
  return {Settings.Address + ":" + std::to_string(Settings.LinkPort),
          Settings.VmName, Settings.DataCentre,
          Status.IsReady ? Status.Accepted : 0,
          Status.IsReady ? Status.Next : 0};
}

follower_status config_feed::status() const {
  const std::scoped_lock Lock(Mutex);
  return Follower.status();
}

follower_counts config_feed::counts() const {
  const std::scoped_lock Lock(Mutex);
  return Follower.counts();
}

config_state config_feed::state() const {
  const std::scoped_lock Lock(Mutex);
  return Follower.replica().state();
}

std::optional<change_verdict>
config_feed::verdictOf(const std::string &Id) const {
  const std::scoped_lock Lock(Mutex);
  const auto Found = Verdicts.find(Id);
  return Found == Verdicts.end() ? std::nullopt : std::optional(Found->second);
}

std::vector<member_offset> config_feed::offsets() const {
  std::vector<std::pair<std::string, std::future<result<std::string>>>> Asked;
  for (const peer_info &Peer : Peers.peers()) {
    auto Promise = std::make_shared<std::promise<result<std::string>>>();
    Asked.emplace_back(Peer.ControlLink, Promise->get_future());
    Link.call(Peer.ControlLink, "/offset", "", config::LinkCallTimeout,
              [Promise](result<std::string> Reply) {
                Promise->set_value(std::move(Reply));
              });
  }
  const peer_offset Own = ownOffset();
  std::vector<member_offset> Members{
      {Own.Vm, Own.DataCentre, Own.Accepted, true, Own.Address}};
  for (auto &[Address, Future] : Asked) {
    const result<std::string> Reply = Future.get();
    const auto Offset = Reply ? decodeOffset(Reply.value())
                              : result<peer_offset>(Reply.error());
    if (Offset)
      Members.push_back({Offset.value().Vm, Offset.value().DataCentre,
                         Offset.value().Accepted, true, Address});
    else
      Members.push_back({"", "", 0, false, Address});
  }
  return Members;
}

} // namespace clementinelane
