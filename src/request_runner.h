#pragma once

#include "admission.h"
#include "answer.h"
#include "clock.h"
#include "config_source.h"
#include "endpoint_client.h"
#include "intents.h"
#include "placement.h"
#include "rater.h"
#include "request.h"
#include "retry_budget.h"
#include "session_service.h"
#include "session_token.h"
#include "timers.h"
#include "usage.h"
#include "version_choice.h"

#include <atomic>
#include <memory>
#include <string>

namespace clementinelane {

/// The services of the VM that requests use.
struct request_services {
  const runtime_clock &Clock;
  const config_source &Config;
  const quality_source &Quality;
  const session_token_codec &Tokens;
  admission_controller &Admission;
  placer &Placer;
  intent_service &Intents;
  usage_service &Usage;
  rater_client &Rater;
  session_service &Sessions;
  endpoint_transport &Transport;
  timer_service &Timers;
  std::string VmName;
  std::atomic<std::uint64_t> &OpenRequests; ///< number of requests in progress
  retry_budget &Retries;
};

/// Plans `Request`, then runs its state machine and carries out the machine's
/// actions until it is done.
void runRequest(const request_services &Services, caller_request Request,
                const std::shared_ptr<answer_writer> &Writer);

} // namespace clementinelane
