#pragma once

#include "clock.h"
#include "config_feed.h"
#include "control_duties.h"
#include "gossip_runner.h"
#include "http_server.h"
#include "link.h"
#include "log_client.h"
#include "peers.h"
#include "settings.h"

namespace clementinelane {

/// Peers from gossip membership, or the configured seeds while it has none.
class gossip_peers final : public peer_source {
public:
  gossip_peers(const gossip_runner &Gossip, std::vector<peer_info> Seeds)
      : Gossip(Gossip), Seeds(std::move(Seeds)) {}
  std::vector<peer_info> peers() const override {
    std::vector<peer_info> Known = Gossip.peers();
    return Known.empty() ? Seeds : Known;
  }

private:
  const gossip_runner &Gossip;
  const std::vector<peer_info> Seeds;
};

/// The control process of one VM: follows the log, keeps the configuration in
/// force and serves it to entry.
class control {
public:
  control(const settings &Settings, const runtime_clock &Clock);
  ~control();
  control(const control &) = delete;
  control &operator=(const control &) = delete;

  void open();
  /// Announces a planned stop to the peers.
  void leave();

private:
  using call = std::shared_ptr<http_call>;

  std::vector<http_route> routes();
  bool isAuthorized(const http_call &Call) const;
  void onLink(std::string_view Path, std::string_view Body,
              const link_reply &Reply);
  void answerStatus(const call &Call);
  void answerReady(const call &Call);
  void answerFiles(const call &Call);
  void answerVerdict(const call &Call);
  void answerMembers(const call &Call);
  void answerOffsets(const call &Call);
  void answerMetrics(const call &Call);

  settings Settings;
  const runtime_clock &Clock;
  http_append_log Log;
  gossip_runner Gossip;
  gossip_peers Peers;
  config_feed Feed;
  control_duties Duties;
  link_client LinkClient; ///< destroyed before Feed, which its callbacks use
  server_resources Resources;
  http_server OperatorServer;
  std::unique_ptr<link_server> Link;
};

} // namespace clementinelane
