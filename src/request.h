#pragma once

#include "clementinelane/error.h"
#include "clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// How urgent the answer is: someone waits at a counter, normal, or an
/// overnight batch. config.h has the share of each.
enum class priority : std::uint8_t { Counter, Normal, Overnight };

/// A caller's request after validation of its headers and body.
struct caller_request {
  std::string Id;    ///< generated; identifies the request in usage and logs
  std::string Key;   ///< the customer's API key; never logged
  std::string Model; ///< work, model, or model@version; or the service
  std::string Body;  ///< JSON for models, anything for services
  std::string Path;  ///< path after the service's name
  std::string Method = "POST";
  std::string ContentType;
  std::string SessionId;
  std::string SessionToken;
  std::string IdempotencyKey;
  std::string Traceparent;
  bool IsService = false;
  bool Streamed = false;
  bool NonIdempotent = false; ///< set by the caller's X-Idempotent header
  priority Priority = priority::Normal;
  std::uint64_t PromptTokens = 0; ///< estimate
  std::uint64_t MaxTokens = 0;    ///< limit on the answer's tokens
  std::chrono::milliseconds TimeLeft{0};
};

/// Looks up a header; empty if absent.
using header_lookup = std::function<std::string(std::string_view Name)>;

/// Validates the headers and body of a chat request.
result<caller_request> parseChatRequest(const header_lookup &Header,
                                        std::string Body);
/// Validates the headers of a call to a plain service.
result<caller_request> parseServiceRequest(const header_lookup &Header,
                                           std::string_view Service,
                                           std::string_view Path,
                                           std::string_view Method,
                                           std::string Body);

/// Generates a request id, unique across all VMs.
std::string makeRequestId();

std::string_view nameOf(priority Priority);

} // namespace clementinelane
