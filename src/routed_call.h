#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "endpoint_directory.h"
#include "http_framing.h"
#include "route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinelane {

/// One part of a prompt; requests may share leading parts.
struct prompt_part {
  std::string Id;
  unsigned Tokens = 0;
};

/// Decoded request headers of a caller.
struct call_metadata {
  std::string Id;  ///< identifies this attempt of the caller
  std::string Key; ///< the customer's secret; never logged or forwarded
  std::string Session;
  std::string Model;                       ///< "*" if the router chooses
  std::optional<duration> Remaining;       ///< time until the caller's deadline
  bool IsDeadlineUnsound = false;          ///< states none that can be kept
  std::optional<std::uint64_t> ResumeFrom; ///< last event that the caller has
  std::vector<prompt_part> Parts;
  unsigned PromptTokens = 0;
  unsigned AnswerTokens = 0; ///< upper limit of the answer's length
  unsigned LengthHint = 0;   ///< the caller's estimate of it; 0: none
};

/// A caller's request with its route, service and customer.
struct routed_call {
  http_head Head;
  /// Held once for all attempts; null if empty, or once none may follow.
  std::shared_ptr<const std::string> Body;
  call_metadata Metadata;
  std::uint64_t Digest = 0; ///< see requestDigest()
  route_table_ptr Table;    ///< configuration in force when the request arrived
  const route_rule *Route = nullptr;
  std::string Service;
  customer_rule Customer;
  mono_time ArrivedAt{};
};

/// Decoded response head of an endpoint.
struct endpoint_response {
  unsigned Status = 0;
  std::vector<http_field> Fields;      ///< forwarded to the caller
  std::optional<std::uint64_t> Length; ///< stated bytes of the body
  bool IsNotExecuted =
      false; ///< the endpoint states that the request didn't run
  bool IsMisdirected = false; ///< another endpoint now has that address
  bool HasSignature = false;  ///< carries the endpoint's signature header
  bool IsEncoded = false;     ///< has a content encoding that wasn't requested
  /// Rate limit of the endpoint, in requests per second from all VMs together;
  /// holds for as long as its responses state it.
  std::optional<double> RequestsPerSecond;
  /// Rejections per second that the endpoint survives; a limit on all VMs
  /// together, for as long as the responses of its service state it.
  std::optional<double> RejectionsPerSecond;
  std::optional<double> Confidence; ///< of the model, 0 to 100
  bool IsLeaving = false; ///< the endpoint will exit once it has drained
  /// How long the endpoint, which is unavailable, wants no requests from this
  /// VM.
  std::optional<double> RetryAfterSeconds;

  bool isSuccess() const { return Status >= 200 && Status < 300; }
};

/// Parameters of one attempt at an endpoint.
struct attempt_spec {
  endpoint_info Endpoint;
  std::string Model; ///< empty: as sent by the caller
  std::optional<std::uint64_t> ResumeFrom;
  duration Remaining{}; ///< time left until the deadline
  unsigned Urgency = 0; ///< 0 is the most urgent
  unsigned Number = 0;  ///< from 1
  std::string Peer;     ///< router to connect through; empty: direct
  duration ConnectTimeout{};
};

/// An error response of the router itself.
struct refusal {
  error_kind Kind = error_kind::Internal;
  run_state Ran = run_state::NotRun;
  duration RetryAfter{}; ///< 0: none
};

} // namespace clementinelane
