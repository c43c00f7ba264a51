#pragma once

#include <boost/outcome/std_result.hpp>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace clementinelane {

/// The closed list of everything that can go wrong for a caller, an operator
/// or a peer. Each kind has one row in the answer table (error.cpp).
enum class error_kind : std::uint8_t {
  Ok = 0,
  // The request itself.
  BadRequest,
  BrokenJson,
  BodyTooLarge,
  BodyTooSlow,
  BadHeader,
  UnknownRoute,
  MethodNotAllowed,
  // Who asks, and for what.
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
  // Version choice.
  NoVersionMeetsTarget,
  NoVersionActive,
  // Load.
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  QuotaExceeded,
  RetryBudgetSpent,
  RequestQuarantined,
  UsageStoreFull,
  Draining,
  NotReady,
  // Endpoints.
  NoEndpoint,
  EndpointRefused,
  EndpointFailed,
  EndpointSilent,
  // At most once.
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
  // Our own processes.
  PeerUnavailable,
  PeerIncompatible,
  SettingsInvalid,
  LeaseLost,
  Fenced,
  Cancelled,
  Internal,
  Count
};

/// What became of the work of a request that got an error.
/// `NotRun` is a promise about the future too: nothing done later may run it.
enum class run_state : std::uint8_t { NotRun, MayHaveRun, Ran };

/// One row of the answer table.
struct error_answer {
  error_kind Kind;
  std::string_view Name;    ///< stable wire name, snake case
  std::uint16_t HttpStatus; ///< status told to the caller
  run_state Ran;            ///< default; a dispatched request may raise it
  bool Retryable;           ///< whether asking again can help
  std::chrono::milliseconds RetryAfter; ///< base before jitter; 0: none sent
  std::string_view Message;             ///< one sentence for a person
};

/// The row of `Kind`.
const error_answer &answerOf(error_kind Kind);

/// The wire name of `State`: not_run, may_have_run or ran.
std::string_view nameOf(run_state State);

/// The category of all error codes of this project.
const std::error_category &errorCategory();

inline std::error_code make_error_code(error_kind Kind) {
  return {static_cast<int>(Kind), errorCategory()};
}

/// The kind behind `Code`; codes of other categories are `Internal`.
error_kind kindOf(const std::error_code &Code);

/// A value or an error code.
template <typename T> using result = boost::outcome_v2::std_result<T>;

} // namespace clementinelane

template <>
struct std::is_error_code_enum<clementinelane::error_kind> : std::true_type {};
