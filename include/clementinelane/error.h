#pragma once

#include <boost/outcome/std_result.hpp>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace clementinelane {

/// All errors that a caller, an operator or a peer can get. Each kind has one
/// row in the answer table (error.cpp).
enum class error_kind : std::uint8_t {
  Ok = 0,
  // Request syntax and routing.
  BadRequest,
  BrokenJson,
  BodyTooLarge,
  BodyTooSlow,
  BadHeader,
  UnknownRoute,
  MethodNotAllowed,
  // Authentication and authorization.
  KeyMissing,
  KeyWrong,
  ModelUnknown,
  VersionNotAllowed,
  ServiceUnknown,
  ServiceNotAllowed,
  TooManyConnections,
  // Sessions.
  SessionTokenInvalid,
  SessionVersionWithdrawn,
  SessionStateUnavailable,
  // Version selection.
  NoVersionMeetsTarget,
  NoVersionActive,
  // Load.
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  QuotaExceeded,
  RetryBudgetSpent,
  RequestQuarantined,
  MemoryShort,
  UsageStoreFull,
  Draining,
  NotReady,
  // Endpoints.
  NoEndpoint,
  EndpointRefused,
  EndpointFailed,
  EndpointSilent,
  // Idempotency.
  IdempotencyKeyMissing,
  IdempotencyKeyReused,
  IdempotencyInProgress,
  OutcomeUnknown,
  AnswerNotKept,
  // The platform's log and configuration.
  LogUnavailable,
  LogExpired,
  ConfigInvalid,
  ConfigConflict,
  SchemaTooNew,
  RecordCorrupt,
  // Processes of this project.
  PeerUnavailable,
  PeerIncompatible,
  SettingsInvalid,
  LeaseLost,
  Fenced,
  Cancelled,
  Internal,
  Count
};

/// Whether the work of a failed request was executed. `NotRun` also guarantees
/// that it will not be executed later.
enum class run_state : std::uint8_t { NotRun, MayHaveRun, Ran };

/// One row of the answer table.
struct error_answer {
  error_kind Kind;
  std::string_view Name;    ///< stable wire name, snake case
  std::uint16_t HttpStatus; ///< status sent to the caller
  run_state Ran;            ///< default; may be raised for a dispatched request
  bool Retryable;           ///< whether a retry can succeed
  std::chrono::milliseconds RetryAfter; ///< before jitter; 0: header not sent
  std::string_view Message;             ///< human-readable sentence
};

/// The answer table's row for `Kind`.
const error_answer &answerOf(error_kind Kind);

/// The wire name of `State`: not_run, may_have_run or ran.
std::string_view nameOf(run_state State);

/// The category of all error codes of this project.
const std::error_category &errorCategory();

inline std::error_code make_error_code(error_kind Kind) {
  return {static_cast<int>(Kind), errorCategory()};
}

/// The error_kind of `Code`; `Internal` for codes of other categories.
error_kind kindOf(const std::error_code &Code);

/// A value or an error code.
template <typename T> using result = boost::outcome_v2::std_result<T>;

} // namespace clementinelane

template <>
struct std::is_error_code_enum<clementinelane::error_kind> : std::true_type {};
