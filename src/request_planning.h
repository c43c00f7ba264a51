#pragma once

#include "clock.h"
#include "configuration.h"
#include "request.h"
#include "request_machine.h"
#include "session_token.h"
#include "version_choice.h"

#include <optional>
#include <string>

namespace clementinelane {

/// Inputs of planning besides the configuration.
struct planning_context {
  const runtime_clock &Clock;
  const quality_source &Quality;
  const session_token_codec &Tokens;
};

/// A request's plan and the reason for its version, for the decision log.
struct planned_request {
  request_plan Plan;
  double QualityTarget = 0;
  session_binding Binding; ///< signed into the answer's session token
  std::string Reason;
  std::string RunnerUp;
};

/// Plans `Request` for the customer that its key identifies, or returns the
/// error to refuse it with. `Customer` is set as soon as the key is known.
/// `StoredBinding` is the session's binding if it was looked up by id; a token
/// in the request takes precedence.
result<planned_request>
planRequest(const planning_context &Context, const configuration &Config,
            const caller_request &Request,
            const std::optional<session_binding> &StoredBinding,
            const customer_spec *&Customer);

/// Hash of the request's method, model or service, path and body. The same
/// idempotency key with another hash is another call.
std::string requestHash(const caller_request &Request);

} // namespace clementinelane
