#pragma once

#include "caller_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinelane::standin {

/// How an endpoint behaves; the faults stay in force until changed.
struct endpoint_behaviour {
  std::string Id;
  unsigned Events = 0;               ///< events of a stream; 0: a plain service
  std::chrono::milliseconds Work{5}; ///< response and event delay
  double Confidence = 100;
  /// Confidence in the answers of single models, in place of `Confidence`.
  std::map<std::string, double, std::less<>> ConfidenceOfModel;
  bool Fails = false;        ///< responds with 500
  bool IsFull = false;       ///< rejects requests without running them
  bool NeverAnswers = false; ///< accepts requests but never responds
  unsigned CutAfter = 0;     ///< closes the connection after this many events
  /// A request with this body crashes the endpoint: all its connections are
  /// reset, and new ones are refused for `DownFor`.
  std::string CrashBody;
  std::string CrashCustomer; ///< crash only for this customer; empty: for any
  /// A request whose prompt has this part crashes the endpoint too.
  std::string CrashPart;
  unsigned CrashAfter = 0; ///< last event of the answer before this crash
  std::chrono::milliseconds DownFor{100};
  /// Rate limit in requests a second from all callers, sent in its response
  /// headers; empty: none.
  std::string Limit;
  /// Rejections a second that it survives, sent in its response headers; empty:
  /// none.
  std::string RejectionLimit;
  bool IsLeaving = false; ///< all its answers announce that it leaves
  /// Seconds, sent with a rejection of a full endpoint; empty: none.
  std::string RetryAfter;
};

/// A simulated model engine or plain service of the platform. Besides requests
/// it accepts:
///   POST /standin/set?fails=1&full=1&mute=1&cut_after=N&retry_after=SECONDS
///   GET /standin/runs   the runs by request id, a line each
class platform_endpoint {
public:
  platform_endpoint(boost::asio::io_context &Context, std::string_view Address,
                    endpoint_behaviour Behaviour);

  endpoint_behaviour &behaviour() { return Behaviour; }
  /// Called when it starts again after a crash, under a new id.
  void onRestart(
      std::function<void(const std::string &OldId, const std::string &NewId)>
          Handler) {
    RestartHandler = std::move(Handler);
  }
  /// Number of runs of each request.
  const std::map<std::string, unsigned> &runs() const { return Runs; }
  /// Bodies of all runs, in order.
  const std::vector<std::string> &bodies() const { return Bodies; }
  unsigned crashes() const { return Crashes; }
  /// Arrival times of requests whose prompt has the part CrashPart.
  const std::vector<std::chrono::steady_clock::time_point> &
  partArrivals() const {
    return PartArrivals;
  }
  /// Times of its crashes.
  const std::vector<std::chrono::steady_clock::time_point> &crashTimes() const {
    return CrashTimes;
  }
  /// Arrival times of all requests.
  const std::vector<std::chrono::steady_clock::time_point> &arrivals() const {
    return Arrivals;
  }
  /// Number of pending requests whose caller disconnected.
  unsigned cancelled() const { return Cancelled; }

private:
  struct run;
  using exchange_ptr = std::shared_ptr<caller_exchange>;
  void handleRequest(const exchange_ptr &Exchange);
  bool handleControl(caller_exchange &Exchange);
  void work(const std::shared_ptr<run> &Run);
  void step(const std::shared_ptr<run> &Run);
  bool crashes(const caller_exchange &Exchange) const;
  bool hasCrashPart(const caller_exchange &Exchange) const;
  void crash();
  void listen();
  std::vector<http_field> fieldsFor(const caller_exchange &Exchange) const;
  double confidenceFor(const caller_exchange &Exchange) const;

  boost::asio::io_context &Context;
  endpoint_behaviour Behaviour;
  std::map<std::string, unsigned> Runs;
  std::vector<std::string> Bodies;
  unsigned Cancelled = 0;
  unsigned Crashes = 0;
  std::vector<std::chrono::steady_clock::time_point> Arrivals;
  std::vector<std::chrono::steady_clock::time_point> PartArrivals;
  std::vector<std::chrono::steady_clock::time_point> CrashTimes;
  std::vector<exchange_ptr> Unanswered;
  std::string Address;
  std::function<void(const std::string &, const std::string &)> RestartHandler;
  boost::asio::steady_timer Down;
  std::unique_ptr<caller_server> Server; ///< null while the endpoint is down
};

} // namespace clementinelane::standin
