#pragma once

#include "clock.h"
#include "config.h"
#include "config_source.h"
#include "endpoint_client.h"
#include "graceful_shutdown.h"
#include "http_server.h"
#include "leaving_probe.h"
#include "link.h"
#include "log_intents.h"
#include "log_usage.h"
#include "peers.h"
#include "pool_admission.h"
#include "request_runner.h"
#include "retry_budget.h"
#include "session_service.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace clementinelane {

/// The data path of one VM: accepts callers' HTTP requests and forwards them to
/// endpoints.
class entry {
public:
  entry(const settings &Settings, const runtime_clock &Clock);
  ~entry();
  entry(const entry &) = delete;
  entry &operator=(const entry &) = delete;

  void open();
  /// Graceful shutdown: reports not ready at once, refuses new requests after a
  /// grace period, lets open requests finish and closes. `IsForceRequested` is
  /// polled meanwhile; true forces the end.
  void drain(const std::function<bool()> &IsForceRequested);

private:
  std::vector<http_route> routes();
  void handleChat(const std::shared_ptr<http_call> &Call);
  void handleService(const std::shared_ptr<http_call> &Call);
  void handleModels(const std::shared_ptr<http_call> &Call);
  void handleReady(const std::shared_ptr<http_call> &Call);
  void handleMetrics(const std::shared_ptr<http_call> &Call);
  void run(const std::shared_ptr<http_call> &Call,
           result<caller_request> Request);
  void pollControl();
  stop_phase advanceStop(bool IsRequested);
  void fetchPeers(const std::string &Control);
  void applyPeers(std::vector<peer_info> List);
  void reportCandidates(const std::string &Control);
  void onLink(std::string_view Path, std::string_view Body, link_reply Reply);
  void flushPending();
  void receiveDemand(std::string_view Body, const link_reply &Reply);
  /// This and exchangeQuota() reschedule themselves every config::AdmissionTick
  /// and config::QuotaExchangeInterval.
  void tickAdmission();
  void exchangeQuota();

  settings Settings;
  const runtime_clock &Clock;
  config_source Config;
  quality_table Quality;
  rater_client Rater;
  session_token_codec Tokens;
  placer Placer;
  peer_list Peers; ///< other entry VMs, from the membership list
  std::atomic<bool> HasPeerList{false};
  vm_topology
      KnownVms; ///< last view given to Placer; used by ControlThread only
  pool_admission Admission;
  retry_budget Retries;
  http_append_log Log;
  timer_service Timers;
  link_client Link;
  // Declared after the objects that its calls use and before those that post
  // to it, as members are destroyed in reverse order.
  boost::asio::thread_pool LogCalls{config::LogCallThreads};
  log_intent_service Intents;
  log_usage_service Usage;
  session_service Sessions;
  server_resources Resources;
  http_client_thread Http;
  std::shared_ptr<leaving_probe> LeavingProbe;
  http_endpoint_transport Transport;
  std::atomic<std::uint64_t> Open{0};
  std::atomic<std::uint64_t> Received{0};
  std::mutex StopMutex;
  graceful_shutdown Stop;
  std::atomic<stop_phase> Phase{stop_phase::Serving};
  std::atomic<bool> IsStopping{false}; ///< ends ControlThread
  std::unique_ptr<link_server> LinkServer;
  http_server Server;
  std::thread ControlThread;
};

} // namespace clementinelane
