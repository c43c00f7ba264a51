#pragma once

#include "clock.h"
#include "intent_writer.h"
#include "intents.h"
#include "link.h"
#include "log_client.h"
#include "peers.h"
#include "timers.h"

#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <string>

namespace clementinelane {

/// Metrics of intents on this VM.
struct intent_counters {
  std::uint64_t Appends = 0;
  std::uint64_t Requests = 0; ///< tracked in the tables
  std::uint64_t Bytes = 0;    ///< of tracked keys and request ids
  std::uint64_t Unavailable = 0;
  std::uint64_t PendingOutcomes = 0; ///< not yet in the log
};

/// Services that log_intent_service uses.
struct intent_dependencies {
  append_log &Log;
  boost::asio::thread_pool &LogCalls;
  const runtime_clock &Clock;
  timer_service &Timers;
  link_client &Link;
  const peer_source &Peers;
};

/// Places intents through the writers of their stream. It also runs a writer of
/// each stream, for other VMs and for its own requests when no other answers.
class log_intent_service final : public intent_service {
public:
  log_intent_service(const intent_dependencies &Links, peer_info Self);
  ~log_intent_service() override;

  void place(const intent_key &Key,
             std::function<void(intent_verdict)> Done) override;
  void record(const intent_outcome &Outcome,
              std::function<void(std::error_code)> Done) override;
  /// Handles another VM's call to IntentPath.
  void serve(std::string_view Body, link_reply Reply);
  intent_counters counters() const;

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

/// Link path for calls to writers.
constexpr std::string_view IntentPath = "/intent";

} // namespace clementinelane
