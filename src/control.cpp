#include "control.h"

#include "config.h"
#include "logs.h"

#include <charconv>

namespace clementinelane {

namespace {

/// Verdicts kept for `publish` to ask for; a day of changes is 25,000.
constexpr std::size_t MaxVerdicts = 2000;

std::uint64_t toNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

control::control(const settings &Settings, const runtime_clock &Clock)
    : Settings(Settings), Clock(Clock), Log(Settings.LogAddress),
      Gossip(Settings, Clock,
             [this](const std::string &Peer, std::uint64_t Offset) {
               fetchFrom(Peer, Offset);
             }),
      Operators(
          Settings.Address + ":" + std::to_string(Settings.OperatorPort),
          {{"GET",
            {"v1", "status"},
            [this](const auto &Call) { answerStatus(Call); }},
           {"GET",
            {"v1", "files"},
            [this](const auto &Call) { answerFiles(Call); }},
           {"GET",
            {"v1", "verdicts", "*"},
            [this](const auto &Call) { answerVerdict(Call); }},
           {"GET",
            {"v1", "members"},
            [this](const auto &Call) { Call->json(Gossip.membersJson()); }},
           {"GET",
            {"metrics"},
            [this](const auto &Call) { Call->text(Gossip.metricsText()); }},
           {"GET", {"healthz"}, [](const auto &Call) {
              Call->text("ok\n");
            }}}) {}

control::~control() {
  {
    const std::scoped_lock Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Gossip.close();
  if (Follower.joinable())
    Follower.join();
}

void control::open() {
  Link = std::make_unique<link_server>(
      Settings.Address + ":" + std::to_string(Settings.LinkPort),
      [this](std::string_view Path, const std::string &Body,
             const link_reply &Reply) { onLink(Path, Body, Reply); });
  Operators.open();
  Gossip.open();
  Follower = std::thread([this] { followLog(); });
}

void control::leave() { Gossip.leave(); }

// Guard: a VM cut off from the log, or a new one while the log is away, would
// stay behind. It shows as an old offset in force here. Peers that read the log
// hand over their state; the replica takes only what is further on.
void control::fetchFrom(const std::string &Peer, std::uint64_t Offset) {
  {
    const std::scoped_lock Lock(Mutex);
    if (LogReachable || Stopping || Replica.state().Accepted >= Offset)
      return;
  }
  Peers.call(Peer, "/state", "0", config::LinkCallTimeout,
             [this, Peer](const result<std::string> &Reply) {
               if (Reply)
                 adopt(Peer, Reply.value());
             });
}

void control::adopt(const std::string &Peer, std::string_view Bytes) {
  const auto Newer = decodeState(Bytes);
  const std::scoped_lock Lock(Mutex);
  if (!Newer || !Replica.adopt(Newer.value()))
    return;
  logs::info(
      "state_from_peer",
      {{"peer", Peer}, {"offset", std::to_string(Replica.state().Accepted)}});
  Gossip.setOffset(Replica.state().Accepted);
  Changed.notify_all();
}

void control::followLog() {
  for (;;) {
    std::uint64_t From = 0;
    {
      const std::scoped_lock Lock(Mutex);
      if (Stopping)
        return;
      From = Replica.state().Next;
    }
    const auto Batch = Log.read(ConfigStream, From, config::LogPollWait);
    {
      const std::scoped_lock Lock(Mutex);
      LogReachable = Batch.has_value();
    }
    if (Batch)
      applyBatch(Batch.value());
    else
      std::this_thread::sleep_for(config::ReconnectDelay);
  }
}

void control::applyBatch(const log_batch &Batch) {
  for (const log_record &Record : Batch.Records) {
    const std::scoped_lock Lock(Mutex);
    if (Record.Offset < Replica.state().Next)
      continue; // came with a peer's state meanwhile
    change_verdict Verdict = Replica.apply(Record.Offset, Record.Bytes);
    logs::info("change", {{"offset", std::to_string(Verdict.Offset)},
                          {"id", Verdict.Id},
                          {"verdict", Verdict.Error ? Verdict.Error.message()
                                                    : "accepted"},
                          {"detail", Verdict.Detail}});
    VerdictOrder.push_back(Verdict.Id);
    Verdicts[Verdict.Id] = std::move(Verdict);
    if (VerdictOrder.size() > MaxVerdicts) {
      Verdicts.erase(VerdictOrder.front());
      VerdictOrder.pop_front();
    }
  }
  {
    const std::scoped_lock Lock(Mutex);
    Gossip.setOffset(Replica.state().Accepted);
  }
  Changed.notify_all();
}

void control::onLink(std::string_view Path, std::string_view Body,
                     const link_reply &Reply) {
  if (Path == "/state")
    return replyState(toNumber(Body), Reply);
  if (Path == "/gossip")
    return Gossip.onMessage(Body, Reply);
  if (Path == "/peers")
    return Reply(encodePeers(Gossip.peers()));
  Reply(error_kind::PeerIncompatible);
}

void control::replyState(std::uint64_t Known, const link_reply &Reply) {
  // The wait must not hold the link's only thread.
  pplx::create_task([this, Known, Reply] {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, config::SnapshotPollWait, [&] {
      return Stopping || Replica.state().Accepted > Known;
    });
    Reply(encodeState(Replica.state()));
  });
}

void control::answerStatus(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Body = web::json::value::object();
  Body["vm"] = web::json::value::string(Settings.VmName);
  Body["data_centre"] = web::json::value::string(Settings.DataCentre);
  Body["offset"] = web::json::value::number(Replica.state().Accepted);
  Body["next"] = web::json::value::number(Replica.state().Next);
  Body["log_reachable"] = web::json::value::boolean(LogReachable);
  Call->json(Body);
}

void control::answerFiles(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  auto Files = web::json::value::object();
  for (const auto &[Name, File] : Replica.state().Files) {
    auto Item = web::json::value::object();
    Item["text"] = web::json::value::string(File.Text);
    Item["offset"] = web::json::value::number(File.Offset);
    Files[Name] = Item;
  }
  auto Body = web::json::value::object();
  Body["files"] = Files;
  Body["next"] = web::json::value::number(Replica.state().Next);
  Body["offset"] = web::json::value::number(Replica.state().Accepted);
  Call->json(Body);
}

void control::answerVerdict(const std::shared_ptr<http_call> &Call) {
  const std::scoped_lock Lock(Mutex);
  const auto Found = Verdicts.find(Call->Path.back());
  auto Body = web::json::value::object();
  Body["known"] = web::json::value::boolean(Found != Verdicts.end());
  if (Found != Verdicts.end()) {
    const change_verdict &Verdict = Found->second;
    Body["offset"] = web::json::value::number(Verdict.Offset);
    Body["accepted"] = web::json::value::boolean(!Verdict.Error);
    Body["error"] = web::json::value::string(
        std::string(answerOf(kindOf(Verdict.Error)).Name));
    Body["detail"] = web::json::value::string(Verdict.Detail);
  }
  Call->json(Body);
}

} // namespace clementinelane
