#pragma once

#include "clock.h"
#include "config_source.h"
#include "endpoint_client.h"
#include "http_server.h"
#include "link.h"
#include "log_intents.h"
#include "log_usage.h"
#include "pool_admission.h"
#include "request_runner.h"
#include "retry_budget.h"
#include "settings.h"

#include <atomic>
#include <thread>

namespace clementinelane {

/// The data path of one VM: callers' HTTP in, endpoints out.
class entry {
public:
  entry(const settings &Settings, const runtime_clock &Clock);
  ~entry();
  entry(const entry &) = delete;
  entry &operator=(const entry &) = delete;

  void open();
  /// Takes no new requests, waits for those under way, then closes.
  void drain();

private:
  std::vector<http_route> routes();
  void answerChat(const std::shared_ptr<http_call> &Call);
  void answerService(const std::shared_ptr<http_call> &Call);
  void answerModels(const std::shared_ptr<http_call> &Call);
  void answerReady(const std::shared_ptr<http_call> &Call);
  void answerMetrics(const std::shared_ptr<http_call> &Call);
  void run(const std::shared_ptr<http_call> &Call,
           result<caller_request> Request);
  void followControl();
  /// Calls itself again every config::AdmissionTick and QuotaExchange.
  void tickAdmission();
  void exchangeQuota();

  settings Settings;
  const runtime_clock &Clock;
  config_source Config;
  quality_table Quality;
  rater_client Rater;
  session_token_codec Tokens;
  placer Placer;
  pool_admission Admission;
  retry_budget Retries;
  http_append_log Log;
  log_intent_service Intents;
  log_usage_service Usage;
  timer_service Timers;
  http_endpoint_transport Transport;
  std::atomic<std::uint64_t> Open{0};
  std::atomic<std::uint64_t> Taken{0};
  std::atomic<bool> Draining{false};
  link_client Link;
  http_server Server;
  std::thread Follower;
};

} // namespace clementinelane
