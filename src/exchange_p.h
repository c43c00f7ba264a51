#pragma once

#include "capacity/memory_account.h"
#include "endpoint_client.h"
#include "http_exchange.h"
#include "http_fetch.h"

#include <atomic>
#include <mutex>

namespace clementinelane {

/// State that all exchanges of a transport share.
struct exchange_context {
  timer_service &Timers;
  const runtime_clock &Clock;
  leaving_callback OnLeaving;
  progress_timeouts Limits;
  memory_account_ptr Memory;
  http_client_thread &Http;
};

/// One attempt at an endpoint, on a connection of its own: reads the answer as
/// it arrives and enforces the progress limits. Answers are read on the thread
/// of the context's exchanges.
class exchange : public std::enable_shared_from_this<exchange> {
public:
  exchange(std::shared_ptr<exchange_context> Context,
           const caller_request &Request, const endpoint_call &Call,
           attempt_callback OnEvent, std::function<void()> OnEnd);

  void run(const caller_request &Request);
  /// Closes the connection; no event follows. An engine also gets a cancel
  /// call.
  void cancel();

private:
  template <typename F> void runGuarded(F Run);
  fetch_request makeRequest(const caller_request &Request) const;
  void start(const fetch_request &Request);
  http_exchange_events events();
  /// Closes the connection, on its thread.
  void close();
  void onHead(const http_head &Head);
  bool isRefusal(const http_head &Head) const;
  void onBody(std::string_view Bytes);
  void readEvents();
  void readEvent(std::string_view Data, std::vector<answer_token> &Tokens);
  void onAnswerEnd();
  void onFailure(exchange_failure Failure);
  void recordProgress();
  void armTimer();
  void onTimer();
  void cancelAtEngine();
  void fail(error_kind Kind, run_state Ran);
  void end(request_input Event);

  std::shared_ptr<exchange_context> Context;
  endpoint_call Call;
  std::string Id;
  bool IsService;
  attempt_callback OnEvent;
  std::function<void()> OnEnd;
  std::shared_ptr<http_exchange> Http; ///< used on the exchanges' thread
  std::string Pending;       ///< of an event, or the body of a service's answer
  std::size_t BodyBytes = 0; ///< received
  memory_charge Charge;
  request_event::finished FinishEvent{};
  bool IsStreamDone = false;
  bool HasProgress = false;
  progress_watchdog Watch;
  std::mutex TimerMutex;
  timer_service::handle Timer;
  std::atomic<bool> Ended{false};
};

} // namespace clementinelane
