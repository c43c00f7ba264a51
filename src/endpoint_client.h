#pragma once

#include "capacity/memory_account.h"
#include "http_fetch.h"
#include "progress.h"
#include "request.h"
#include "request_machine.h"
#include "timers.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace clementinelane {

/// Parameters of one attempt at an endpoint.
struct endpoint_call {
  std::string Address;
  std::string Version; ///< or the service's name
  unsigned Attempt = 0;
  std::uint64_t ResumeFrom = 0;
  std::string PriorText;
  bool AtMostOnce = false; ///< has a longer timeout
  std::string Endpoint;    ///< endpoint name, for its leaving notices
};

/// Receives the events of one attempt, from any thread.
using attempt_callback = std::function<void(request_input)>;

/// Transport for attempts at endpoints.
class endpoint_transport {
public:
  virtual ~endpoint_transport() = default;
  virtual void start(const caller_request &Request, const endpoint_call &Call,
                     attempt_callback OnEvent) = 0;
  /// Stops the events of this attempt and tells the endpoint to stop it.
  virtual void cancel(std::string_view RequestId, unsigned Attempt) = 0;
};

/// Called when an endpoint's answer states whether it is leaving the pool; from
/// any thread.
using leaving_callback =
    std::function<void(const std::string &Endpoint, bool IsLeaving)>;

/// Transport over HTTP. Engines stream server-sent events of the chat API, with
/// a `token_index` in each; services answer in one body, which is charged to
/// `Memory`, if given, until it is whole.
class http_endpoint_transport final : public endpoint_transport {
public:
  http_endpoint_transport(http_client_thread &Http, timer_service &Timers,
                          const runtime_clock &Clock,
                          leaving_callback OnLeaving,
                          progress_timeouts Limits = {},
                          memory_account_ptr Memory = nullptr);
  ~http_endpoint_transport() override;

  void start(const caller_request &Request, const endpoint_call &Call,
             attempt_callback OnEvent) override;
  void cancel(std::string_view RequestId, unsigned Attempt) override;

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace clementinelane
