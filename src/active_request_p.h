#pragma once

#include "logs.h"
#include "router.h"

#include <boost/asio/steady_timer.hpp>

namespace clementinelane {

/// One request in flight; carries out the decisions of routed_request.
class router::active_request final
    : public request_outputs,
      public std::enable_shared_from_this<active_request> {
public:
  active_request(router &Router, std::shared_ptr<caller_exchange> Exchange,
                 routed_call Call);

  void begin();
  const std::string &service() const { return Request.call().Service; }
  /// Called with each tick of the router.
  void onTick();
  /// Ends the request because the time to stop has run out.
  void endForStop();

  void startAttempt(const attempt_spec &Spec) override;
  void cancelAttempt() override;
  void beginStream(const endpoint_response &Response) override;
  void beginAnswer(const endpoint_response &Response) override;
  void writeStream(std::string_view Bytes) override;
  void endStream() override;
  void abortStream() override;
  void sendResponse(const endpoint_response &Response,
                    std::string_view Body) override;
  void refuse(const refusal &Refusal) override;
  void lookUpSession() override;
  void logPlacement(const session_placement &Placing) override;
  void logDecision(std::string_view Decision, std::string_view Reason,
                   std::string_view Subject) override;
  void logGate(const gate_decision &Decision, unsigned Priority) override;

private:
  const routed_call &call() const { return Request.call(); }
  http_exchange_events attemptEvents();
  template <typename Step> void runStep(Step &&Do);
  void armTimer();
  void pauseAboveBound();
  void resumeReading();
  void finish(std::string_view Outcome);
  void countSent(double Bytes);
  void countReceived(double Bytes);
  /// What the request has used of the VM's link, in the busier direction.
  double linkBytes() const;
  void chargeLink();

  router &Router;
  std::shared_ptr<caller_exchange> Exchange;
  routed_request Request;
  std::shared_ptr<http_exchange> Attempt;
  mono_time AttemptAt{};
  double SentBytes = 0;     ///< to the caller and to endpoints
  double ReceivedBytes = 0; ///< from the caller and from endpoints
  double AttemptBytes = 0;  ///< of the attempt in flight
  double ChargedBytes;      ///< to the VM's capacity
  memory_charge HeldAnswer;
  boost::asio::steady_timer Timer;
  bool IsPaused = false; ///< the answer isn't read while the caller is behind
  bool IsEnded = false;
};

} // namespace clementinelane
