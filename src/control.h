#pragma once

#include "change.h"
#include "clock.h"
#include "gossip_runner.h"
#include "http_server.h"
#include "link.h"
#include "log_client.h"
#include "settings.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace clementinelane {

/// The control process of one VM: follows the log, keeps the configuration in
/// force and hands it to entry.
class control {
public:
  control(const settings &Settings, const runtime_clock &Clock);
  ~control();
  control(const control &) = delete;
  control &operator=(const control &) = delete;

  void open();
  /// A planned stop: peers are told first.
  void leave();

private:
  void followLog();
  void applyBatch(const log_batch &Batch);
  void onLink(std::string_view Path, std::string_view Body,
              const link_reply &Reply);
  void replyState(std::uint64_t Known, const link_reply &Reply);
  void fetchFrom(const std::string &Peer, std::uint64_t Offset);
  void adopt(const std::string &Peer, std::string_view Bytes);
  void answerStatus(const std::shared_ptr<http_call> &Call);
  void answerFiles(const std::shared_ptr<http_call> &Call);
  void answerVerdict(const std::shared_ptr<http_call> &Call);

  settings Settings;
  const runtime_clock &Clock;
  http_append_log Log;
  std::mutex Mutex;
  std::condition_variable Changed;
  config_replica Replica;
  std::map<std::string, change_verdict> Verdicts; ///< by change id
  std::deque<std::string> VerdictOrder;
  bool LogReachable = false;
  bool Stopping = false;
  std::thread Follower;
  gossip_runner Gossip;
  link_client Peers;
  http_server Operators;
  std::unique_ptr<link_server> Link;
};

} // namespace clementinelane
