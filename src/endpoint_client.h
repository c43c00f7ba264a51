#pragma once

#include "request.h"
#include "request_machine.h"
#include "timers.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelane {

/// One attempt at an endpoint.
struct endpoint_call {
  std::string Address;
  std::string Version; ///< or the service
  unsigned Attempt = 0;
  std::uint64_t ResumeFrom = 0;
  std::string SoFar;
};

/// Takes the events of one attempt, from any thread.
using exchange_events = std::function<void(request_input)>;

/// Carries attempts to endpoints.
class endpoint_transport {
public:
  virtual ~endpoint_transport() = default;
  virtual void start(const caller_request &Request, const endpoint_call &Call,
                     exchange_events Events) = 0;
  /// No more events of this attempt; the endpoint is told to stop.
  virtual void cancel(std::string_view RequestId, unsigned Attempt) = 0;
  /// Closes every pooled connection to `Address`.
  virtual void dropConnections(std::string_view Address) = 0;
};

/// Endpoints over HTTP by cpprestsdk: engines stream server-sent events of the
/// chat API, with `token_index` in each; services answer whole.
class http_endpoint_transport final : public endpoint_transport {
public:
  explicit http_endpoint_transport(timer_service &Timers);
  ~http_endpoint_transport() override;

  void start(const caller_request &Request, const endpoint_call &Call,
             exchange_events Events) override;
  void cancel(std::string_view RequestId, unsigned Attempt) override;
  void dropConnections(std::string_view Address) override;

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace clementinelane
