#pragma once

#include "clock.h"
#include "endpoint_connector.h"
#include "http_framing.h"

#include <functional>
#include <memory>
#include <string>

namespace clementinelane {

/// How far an exchange got before it failed.
enum class exchange_failure : std::uint8_t {
  NotConnected,    ///< refused; nothing was sent, so it didn't run
  Unanswered,      ///< the connect timed out; nothing was sent
  PeerUnavailable, ///< the peer opened no tunnel; nothing was sent
  NoAnswer,        ///< sent, then closed, reset or timed out
  BrokenAnswer,    ///< the response is incomplete, or isn't HTTP
  TunnelBroken     ///< sent, then the tunnel ended without the endpoint's end
};

/// Callbacks of an exchange; none is called after OnEnd or OnFailure.
struct http_exchange_events {
  /// The connection is established and the request is being sent.
  std::function<void()> OnSent;
  std::function<void(const http_head &Head)> OnHead;
  std::function<void(std::string Bytes)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(exchange_failure)> OnFailure;
  /// Whether a response belongs to this request. One that doesn't is skipped,
  /// and the next one on the connection is read.
  std::function<bool(const http_head &Head)> MatchesRequest;
};

struct exchange_request {
  endpoint_path Path;
  std::string Method; ///< same as in Bytes; HEAD has no response body
  std::string Bytes;  ///< the serialized request
  duration ConnectTimeout;
  /// Sent after Bytes and released then; null: nothing.
  std::shared_ptr<const std::string> Body = nullptr;
};

/// One HTTP request on its own connection, which is closed afterwards.
/// A new connection for each request costs a round trip but rules out three
/// failures of reused connections: the peer closes it while the request is in
/// transit, a response belongs to the previous request, or the connection was
/// lost while it was idle.
class http_exchange {
public:
  virtual ~http_exchange() = default;
  /// Closes the connection; no callback follows.
  virtual void cancel() = 0;
  /// Stops reading the answer until resumeReading(); what was read already is
  /// still reported.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

/// Starts an exchange. Its callbacks run on the connector's thread, never
/// within this call.
std::shared_ptr<http_exchange> startExchange(endpoint_connector &Connector,
                                             exchange_request Request,
                                             http_exchange_events Events);

} // namespace clementinelane
