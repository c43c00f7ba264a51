#pragma once

#include "clementinelane/error.h"
#include "clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace clementinelane {

/// Who waits for the answer; a table in config.h gives each its share.
enum class priority : std::uint8_t { Counter, Normal, Overnight };

/// A caller's request after its headers and body were checked.
struct caller_request {
  std::string Id;    ///< ours; names the request in usage and in the log
  std::string Key;   ///< the customer key; never logged
  std::string Model; ///< work, model, or model@version; or the service
  std::string Body;  ///< JSON for models, anything for services
  std::string Path;  ///< rest of the path, for services
  std::string Method = "POST";
  std::string ContentType;
  std::string SessionId;
  std::string SessionToken;
  std::string IdempotencyKey;
  std::string Traceparent;
  bool IsService = false;
  bool Streamed = false;
  bool NonIdempotent = false; ///< asked for by the caller's header
  priority Priority = priority::Normal;
  std::uint64_t PromptTokens = 0; ///< estimate
  std::uint64_t MaxTokens = 0;    ///< limit of the answer
  std::chrono::milliseconds TimeLeft{0};
};

/// Looks up a header; empty when it was not sent.
using header_lookup = std::function<std::string(std::string_view Name)>;

/// Checks headers and body of a chat request.
result<caller_request> parseChatRequest(const header_lookup &Header,
                                        std::string Body);
/// Checks the headers of a call to a plain service.
result<caller_request> parseServiceRequest(const header_lookup &Header,
                                           std::string_view Service,
                                           std::string_view Path,
                                           std::string_view Method,
                                           std::string Body);

/// A new request id, unique over all VMs.
std::string makeRequestId();

std::string_view nameOf(priority Priority);

} // namespace clementinelane
