#include "control.h"

#include "config.h"
#include "logs.h"
#include "metrics.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>

namespace clementinelane {

namespace {

using web::json::value;

/// Other VMs from the configured seeds, used until gossip knows the members.
std::vector<peer_info> seedPeers(const settings &Settings) {
  std::vector<peer_info> Peers;
  const std::string Own =
      Settings.Address + ":" + std::to_string(Settings.LinkPort);
  for (const std::string &Seed : Settings.Seeds) {
    if (Seed == Own)
      continue;
    peer_info Peer;
    Peer.ControlLink = Seed;
    Peers.push_back(std::move(Peer));
  }
  return Peers;
}

struct count_metric {
  std::string_view Name;
  std::string_view Help;
  std::uint64_t follower_counts::*Count;
};

constexpr std::array<count_metric, 10> CountMetrics{{
    {"clementine_config_changes_accepted_total", "changes accepted",
     &follower_counts::Accepted},
    {"clementine_config_changes_rejected_total", "changes not accepted",
     &follower_counts::Rejected},
    {"clementine_config_records_unreadable_total",
     "log records that are corrupt, truncated or of an unknown kind",
     &follower_counts::Unreadable},
    {"clementine_config_snapshots_asked_total",
     "snapshots that this VM appended", &follower_counts::SnapshotsRequested},
    {"clementine_config_snapshots_differing_total",
     "snapshots whose digest does not match ours",
     &follower_counts::SnapshotsMismatched},
    {"clementine_config_states_taken_total",
     "states adopted from peers or snapshots", &follower_counts::StatesAdopted},
    {"clementine_config_states_refused_total",
     "states rejected as older or not readable",
     &follower_counts::StatesRejected},
    {"clementine_config_log_errors_total", "failed reads of the log",
     &follower_counts::LogErrors},
    {"clementine_config_log_regressions_total",
     "times that the log was truncated or had records replaced",
     &follower_counts::LogRegressions},
    {"clementine_config_peers_unreachable_total",
     "queries to peers without an answer", &follower_counts::PeersUnreachable},
}};

struct status_metric {
  std::string_view Name;
  std::string_view Help;
  double (*Read)(const follower_status &);
};

constexpr std::array<status_metric, 5> StatusMetrics{{
    {"clementine_config_offset", "offset of the configuration in force",
     [](const follower_status &S) { return double(S.Accepted); }},
    {"clementine_config_offset_heard", "highest offset that a peer told",
     [](const follower_status &S) { return double(S.HighestPeerOffset); }},
    {"clementine_config_log_reachable", "1 if the log answers",
     [](const follower_status &S) { return S.IsLogReachable ? 1.0 : 0.0; }},
    {"clementine_config_log_suspect",
     "1 if the log was truncated or had records replaced",
     [](const follower_status &S) { return S.IsLogSuspect ? 1.0 : 0.0; }},
    {"clementine_config_schema_too_new",
     "1 if this program is too old to evaluate changes",
     [](const follower_status &S) { return S.IsSchemaTooNew ? 1.0 : 0.0; }},
}};

} // namespace

control::control(const settings &Settings, const runtime_clock &Clock)
    : Settings(Settings), Clock(Clock), Log(Settings.LogAddress),
      Gossip(Settings, Clock,
             [this](const std::string &Peer, std::uint64_t Offset) {
               Feed.onGossipOffset(Peer, Offset);
             }),
      Peers(Gossip, seedPeers(Settings)),
      Feed(this->Settings, Clock, Log, LinkClient, Peers,
           [this](std::uint64_t Offset) { Gossip.setOffset(Offset); }),
      Duties(this->Settings, Clock, Log, Feed, Peers),
      Resources(server_resources::of(Settings)),
      OperatorServer(Settings.Address + ":" +
                         std::to_string(Settings.OperatorPort),
                     routes(), Resources) {}

control::~control() {
  Link.reset();
  Gossip.close();
  Duties.stop();
  Feed.stop();
}

// Guard: anyone who reaches the operator port could drain VMs or read
// customers' plans. If the settings hold a key hash, every call must carry the
// key as a bearer token. Constant-time comparison prevents a timing leak.
bool control::isAuthorized(const http_call &Call) const {
  if (Settings.OperatorKeySha256.empty())
    return true;
  constexpr std::string_view Bearer = "Bearer ";
  const std::string Header = Call.header("Authorization");
  if (Header.compare(0, Bearer.size(), Bearer) != 0)
    return false;
  const std::string Hash = sha256Hex(Header.substr(Bearer.size()));
  return Hash.size() == Settings.OperatorKeySha256.size() &&
         CRYPTO_memcmp(Hash.data(), Settings.OperatorKeySha256.data(),
                       Hash.size()) == 0;
}

std::vector<http_route> control::routes() {
  const auto Authorized = [this](void (control::*Answer)(const call &)) {
    return [this, Answer](const call &Call) {
      if (!isAuthorized(*Call))
        return Call->fail(error_kind::KeyWrong);
      (this->*Answer)(Call);
    };
  };
  return {
      {"GET", {"v1", "status"}, Authorized(&control::answerStatus)},
      {"GET", {"v1", "files"}, Authorized(&control::answerFiles)},
      {"GET", {"v1", "verdicts", "*"}, Authorized(&control::answerVerdict)},
      {"GET", {"v1", "members"}, Authorized(&control::answerMembers)},
      {"GET", {"v1", "offsets"}, Authorized(&control::answerOffsets)},
      {"GET", {"metrics"}, [this](const call &Call) { answerMetrics(Call); }},
      {"GET", {"readyz"}, [this](const call &Call) { answerReady(Call); }},
      {"GET", {"healthz"}, [](const call &Call) { Call->text("ok\n"); }},
  };
}

void control::open() {
  Link = std::make_unique<link_server>(
      Settings.Address + ":" + std::to_string(Settings.LinkPort),
      [this](std::string_view Path, const std::string &Body,
             const link_reply &Reply) { onLink(Path, Body, Reply); },
      Resources.Memory);
  OperatorServer.open();
  Gossip.open();
  Feed.start();
  Duties.start();
}

void control::leave() { Gossip.leave(); }

void control::onLink(std::string_view Path, std::string_view Body,
                     const link_reply &Reply) {
  if (Path == "/gossip")
    return Gossip.onMessage(Body, Reply);
  if (Path == "/peers")
    return Gossip.isJoined() ? Reply(encodePeers(Gossip.peers()))
                             : Reply(error_kind::NotReady);
  if (!Feed.onLink(Path, Body, Reply) && !Duties.onLink(Path, Body, Reply))
    Reply(error_kind::PeerIncompatible);
}

void control::answerStatus(const call &Call) {
  const follower_status Status = Feed.status();
  auto Body = value::object();
  Body["vm"] = value::string(Settings.VmName);
  Body["data_centre"] = value::string(Settings.DataCentre);
  Body["offset"] = value::number(Status.Accepted);
  Body["next"] = value::number(Status.Next);
  Body["heard"] = value::number(Status.HighestPeerOffset);
  Body["ready"] = value::boolean(Status.IsReady);
  Body["behind"] = value::boolean(Status.IsBehind);
  Body["log_reachable"] = value::boolean(Status.IsLogReachable);
  Body["log_suspect"] = value::boolean(Status.IsLogSuspect);
  Body["log_expired"] = value::boolean(Status.IsScanning);
  Body["schema_too_new"] = value::boolean(Status.IsSchemaTooNew);
  Call->json(Body);
}

void control::answerReady(const call &Call) {
  const follower_status Status = Feed.status();
  if (!Status.IsReady)
    return Call->fail(error_kind::NotReady);
  Call->text("ready offset=" + std::to_string(Status.Accepted) +
             " behind=" + (Status.IsBehind ? "yes" : "no") + "\n");
}

void control::answerFiles(const call &Call) {
  const config_state State = Feed.state();
  auto Files = value::object();
  for (const auto &[Name, File] : State.Files) {
    auto Item = value::object();
    Item["text"] = value::string(File.Text);
    Item["offset"] = value::number(File.Offset);
    Files[Name] = Item;
  }
  auto Body = value::object();
  Body["files"] = Files;
  Body["next"] = value::number(State.Next);
  Body["offset"] = value::number(State.Accepted);
  Call->json(Body);
}

void control::answerVerdict(const call &Call) {
  const auto Verdict = Feed.verdictOf(Call->Path.back());
  auto Body = value::object();
  Body["known"] = value::boolean(Verdict.has_value());
  if (Verdict) {
    Body["offset"] = value::number(Verdict->Offset);
    Body["accepted"] = value::boolean(!Verdict->Error);
    Body["error"] =
        value::string(std::string(answerOf(kindOf(Verdict->Error)).Name));
    Body["detail"] = value::string(Verdict->Detail);
  }
  Call->json(Body);
}

void control::answerMembers(const call &Call) {
  Call->json(Gossip.membersJson());
}

void control::answerOffsets(const call &Call) {
  auto Members = value::array();
  for (const member_offset &Member : Feed.offsets()) {
    auto Item = value::object();
    Item["vm"] = value::string(Member.Vm);
    Item["data_centre"] = value::string(Member.DataCentre);
    Item["address"] = value::string(Member.Address);
    Item["offset"] = value::number(Member.Offset);
    Item["reachable"] = value::boolean(Member.IsReachable);
    Members[Members.size()] = Item;
  }
  auto Body = value::object();
  Body["members"] = Members;
  Call->json(Body);
}

void control::answerMetrics(const call &Call) {
  const follower_counts Counts = Feed.counts();
  const follower_status Status = Feed.status();
  std::vector<prometheus::MetricFamily> Families;
  Families.reserve(CountMetrics.size() + StatusMetrics.size());
  for (const count_metric &Each : CountMetrics)
    addValue(Families.emplace_back(makeFamily(Each.Name, Each.Help,
                                              prometheus::MetricType::Counter)),
             double(Counts.*Each.Count));
  for (const status_metric &Each : StatusMetrics)
    addValue(Families.emplace_back(makeFamily(Each.Name, Each.Help,
                                              prometheus::MetricType::Gauge)),
             Each.Read(Status));
  Call->text(metricsText(Families) + Gossip.metricsText(),
             std::string(MetricsType));
}

} // namespace clementinelane
