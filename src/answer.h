#pragma once

#include "request_machine.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinelane {

/// A response header: name and value.
using answer_header = std::pair<std::string, std::string>;

/// Writes one answer to the caller's connection.
class answer_writer {
public:
  virtual ~answer_writer() = default;
  virtual void sendComplete(std::uint32_t Status,
                            std::span<const answer_header> Headers,
                            std::string Body) = 0;
  virtual void begin(std::uint32_t Status,
                     std::span<const answer_header> Headers) = 0;
  virtual void write(std::string_view Bytes) = 0;
  virtual void end() = 0;
  /// `Callback` is called once if the caller disconnects. Set before the first
  /// byte is written.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

/// Facts of the request that its answer includes.
struct answer_context {
  std::string RequestId;
  std::string SessionToken;
  std::int64_t CreatedAt = 0; ///< wall time, seconds
  bool Streamed = false;
  bool IsService = false;
};

/// Formats the answer of one request as chat JSON, server-sent events, or the
/// bytes of a service.
class answer_formatter {
public:
  answer_formatter(answer_context Context,
                   std::shared_ptr<answer_writer> Writer)
      : Context(std::move(Context)), Writer(std::move(Writer)) {}

  void head(const request_action::send_head &Head);
  void tokens(std::span<const answer_token> Tokens);
  void end(const request_action::send_end &End);
  void error(const request_action::send_error &Error);
  void replay(const kept_answer &Answer);

private:
  std::vector<answer_header> headers(std::string ContentType) const;
  void writeEvent(std::string_view DeltaJson, std::string_view FinishReason,
                  std::string_view Usage);

  answer_context Context;
  std::shared_ptr<answer_writer> Writer;
  request_action::send_head Head{};
  std::string Text;
  bool IsStreamStarted = false;
};

/// The error body in the chat API's usual format.
std::string errorBody(error_kind Kind, run_state Ran,
                      std::string_view RequestId);
/// Retry-After in whole seconds, rounded up: `BaseDelay` (0: the default of
/// `Kind`) plus `JitterFraction` (0 to 1) of it. Empty if a retry can't
/// succeed.
std::string retryAfterSeconds(error_kind Kind,
                              std::chrono::milliseconds BaseDelay,
                              double JitterFraction);
/// Headers of an error response.
std::vector<answer_header>
errorHeaders(error_kind Kind, run_state Ran,
             std::chrono::milliseconds RetryAfter = {});

} // namespace clementinelane
