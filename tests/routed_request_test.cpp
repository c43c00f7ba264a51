#define BOOST_TEST_MODULE routed_request
#include "config.h"
#include "hashing.h"
#include "routed_fixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_CASE(plain_call_gets_full_response, routed_fixture) {
  auto Request = lookup();
  BOOST_REQUIRE(Out.Attempts.size() == 1U);
  Request->onHead(answer(200), Now);
  Request->onBody("hel", Now);
  Request->onBody("lo", Now);
  BOOST_TEST(!Out.Whole.has_value());
  Request->onEnd(Now);
  BOOST_REQUIRE(Out.Whole.has_value());
  BOOST_TEST(Out.WholeBody == "hello");
  BOOST_TEST(Request->isOver());
}

// A roll-out starts right after another has completed, so a session that ran
// before has no active version. Guards against running it on another version:
// the caller must get a Retry-After, or wait here if it can be served in time.
BOOST_FIXTURE_TEST_CASE(
    session_without_active_version_waits_or_gets_retry_after, routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  Shift.setSessionTtl(5s);
  Shift.setOrder({"engine", "v1", 20s, 5}, Now);
  Shift.updateStatus("v1", rollout_state::InProgress, Now);
  routed_call Call = call(0);
  Call.Metadata.Session = "s";
  Shift.mergeRun({sessionHash(Call.Metadata), versionHash("v0"), Now}, Now);
  Shift.updateStatus("v1", rollout_state::Completed, Now);
  Now += 1s;
  Call.ArrivedAt = Now;
  Shift.setOrder({"engine", "v2", 20s, 6}, Now);
  routed_call Waiting = Call;
  routed_call Hasty = Call;
  const duration Target = Call.Route->TargetLatency;
  Hasty.Metadata.Remaining = 4s + Target - 1ms;
  Waiting.Metadata.Remaining = std::min<duration>(4s + Target, 11900ms);
  Call.Metadata.Remaining = 12s;
  for (const routed_call &Each : {Call, Hasty}) {
    begin(Each)->onSessionLookedUp(true, Now);
    BOOST_TEST(Out.Attempts.empty());
    BOOST_REQUIRE(Out.Refused.has_value());
    BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
    BOOST_TEST((Out.Refused->RetryAfter == 4s));
  }
  const auto Waits = begin(Waiting);
  Waits->onSessionLookedUp(true, Now);
  BOOST_TEST(Out.Attempts.empty());
  BOOST_TEST(!Out.Refused.has_value());
  BOOST_REQUIRE(Waits->nextTimer().has_value());
  BOOST_TEST((*Waits->nextTimer() == Now + 4s));
  Now += 4s;
  Waits->onTimer(Now);
  BOOST_REQUIRE(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.Attempts[0].Endpoint.Version == "v1");
}

// The VM that gets a session's next request doesn't know the session, whose
// version is gone. Guards against treating it as new: its owners are asked
// first, and without their reply nothing runs.
BOOST_FIXTURE_TEST_CASE(unknown_session_runs_only_after_owner_lookup,
                        routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  Shift.setSessionTtl(5s);
  Shift.setOrder({"engine", "v1", 20s, 5}, Now);
  Shift.updateStatus("v1", rollout_state::Completed, Now);
  Now += 1s;
  Shift.setOrder({"engine", "v2", 20s, 6}, Now);
  routed_call Call = call(0);
  Call.Metadata.Session = "s";
  const auto New = begin(Call);
  BOOST_TEST(Out.Lookups == 1U);
  BOOST_TEST(Out.Attempts.empty());
  New->onSessionLookedUp(true, Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  const auto Unanswered = begin(Call);
  Unanswered->onSessionLookedUp(false, Now);
  BOOST_TEST(Out.Attempts.empty());
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Kind == error_kind::SessionStateUnavailable));
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST((Out.Refused->RetryAfter > 0s));
  const auto Known = begin(Call);
  Shift.mergeRun({sessionHash(Call.Metadata), versionHash("v0"), Now}, Now);
  Known->onSessionLookedUp(true, Now);
  BOOST_TEST(Out.Attempts.empty());
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->RetryAfter == 5s));
}

// The connection breaks after a booking was sent. The endpoint may have run it,
// so it must not be retried or reported as not run.
BOOST_FIXTURE_TEST_CASE(
    non_idempotent_call_is_not_retried_after_lost_connection, routed_fixture) {
  auto Request = booking();
  Request->onFailure(exchange_failure::NoAnswer, Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
}

// An endpoint is gone and the connect fails. Nothing was sent, so even a
// non-idempotent call is retried elsewhere, free of the retry budget.
BOOST_FIXTURE_TEST_CASE(failed_connect_is_retried_without_budget,
                        routed_fixture) {
  auto Request = booking();
  const double Left = Budget.available("portal", Now);
  Request->onFailure(exchange_failure::NotConnected, Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Endpoint.Id != Out.Attempts[0].Endpoint.Id);
  BOOST_TEST(Budget.available("portal", Now) == Left);
}

// The endpoint is full and states that the booking didn't run. The route allows
// one attempt, so the caller gets "not run" and a Retry-After.
BOOST_FIXTURE_TEST_CASE(full_endpoint_is_reported_as_not_run, routed_fixture) {
  auto Request = booking();
  Request->onHead(notExecuted(), Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST((Out.Refused->RetryAfter > 0s));
}

// A call fails at one endpoint and the next is full. The first one ran it, so
// the caller must not be told "not run".
BOOST_FIXTURE_TEST_CASE(not_run_is_never_reported_after_a_run, routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("portal", Now);
  auto Request = lookup();
  Request->onHead(answer(500), Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  Request->onHead(notExecuted(), Now);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
}

// Both attempts of a call fail. The caller gets the endpoint's complete error
// response, not one of the router.
BOOST_FIXTURE_TEST_CASE(last_endpoint_failure_is_forwarded, routed_fixture) {
  auto Request = lookup();
  Request->onHead(answer(500), Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  Request->onHead(answer(500), Now);
  Request->onBody("why", Now);
  Request->onEnd(Now);
  BOOST_REQUIRE(Out.Whole.has_value());
  BOOST_TEST(Out.Whole->Status == 500U);
  BOOST_TEST(Out.WholeBody == "why");
}

// A 200 without the endpoint's signature, or with a content encoding that
// wasn't requested, comes from something else and must not reach the caller.
BOOST_FIXTURE_TEST_CASE(unsigned_success_is_not_forwarded, routed_fixture) {
  for (const bool IsEncoded : {false, true}) {
    auto Request = booking();
    endpoint_response Answer = answer(200);
    Answer.HasSignature = IsEncoded;
    Answer.IsEncoded = IsEncoded;
    Request->onHead(Answer, Now);
    BOOST_TEST(!Out.Whole.has_value());
    BOOST_REQUIRE(Out.Refused.has_value());
    BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
  }
}

// An endpoint hangs although it reports healthy. An idempotent call past its
// attempt timeout is cancelled there and retried elsewhere.
BOOST_FIXTURE_TEST_CASE(hanging_idempotent_call_is_retried_elsewhere,
                        routed_fixture) {
  auto Request = lookup();
  const auto At = Request->nextTimer();
  BOOST_REQUIRE(At.has_value());
  Now = *At;
  Request->onTimer(Now);
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_TEST(Out.Attempts.size() == 2U);
  // The second attempt is the last allowed, so it has no attempt timeout.
  BOOST_TEST((*Request->nextTimer() > Now + 500ms));
}

// No retry budget is left when a call hangs: it stays at its endpoint, and the
// timer must not fire in a busy loop.
BOOST_FIXTURE_TEST_CASE(hanging_call_without_retry_budget_waits,
                        routed_fixture) {
  Budget.setLimits({0, 10s, 0});
  auto Request = lookup();
  Now = *Request->nextTimer();
  Request->onTimer(Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_TEST((*Request->nextTimer() > Now));
}

// The route's timeout passes while the endpoint still works: the caller gets
// its final response at once, and the endpoint's connection is closed.
BOOST_FIXTURE_TEST_CASE(timeout_ends_request_immediately, routed_fixture) {
  auto Request = booking();
  Request->onSent(Now);
  Now += 1200ms;
  BOOST_TEST((*Request->nextTimer() == Now));
  Request->onTimer(Now);
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Kind == error_kind::DeadlinePassed));
}

// Data centres are unreachable and no connection was established before the
// timeout. Nothing ran, and the caller is told so and may retry.
BOOST_FIXTURE_TEST_CASE(timeout_without_connection_is_not_run, routed_fixture) {
  auto Request = booking();
  Now += 1200ms;
  Request->onTimer(Now);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
}

// The VM that tunnels an attempt dies. The endpoint isn't blamed, what may be
// repeated is, and a booking may have run.
BOOST_FIXTURE_TEST_CASE(broken_tunnel_is_no_failure_of_the_endpoint,
                        routed_fixture) {
  auto Stream = stream();
  Stream->onSent(Now);
  Stream->onHead(answerWithConfidence(90), Now);
  Stream->onBody(event(1) + event(2), Now);
  Stream->onFailure(exchange_failure::TunnelBroken, Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(*Out.Attempts[1].ResumeFrom == 2U);
  BOOST_TEST(!Out.HasEnded);
  BOOST_TEST(BrokenConnections.empty());
  auto Booking = booking();
  Booking->onSent(Now);
  Booking->onFailure(exchange_failure::TunnelBroken, Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
  BOOST_TEST(BrokenConnections.empty());
}

// Each attempt gets the caller's remaining time, not the initial deadline.
BOOST_FIXTURE_TEST_CASE(deadline_shrinks_with_each_attempt, routed_fixture) {
  auto Request = lookup();
  BOOST_TEST((Out.Attempts[0].Remaining == 1200ms));
  Now += 200ms;
  Request->onFailure(exchange_failure::NoAnswer, Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST((Out.Attempts[1].Remaining == 1000ms));
}

BOOST_FIXTURE_TEST_CASE(caller_disconnect_cancels_attempt, routed_fixture) {
  auto Request = stream();
  Request->onCallerGone(Now);
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_TEST(Request->isOver());
  BOOST_TEST(!Request->nextTimer().has_value());
}

// An engine crashes within an event. The caller gets complete events only, and
// the stream resumes elsewhere after the last of them, under the first
// response head.
BOOST_FIXTURE_TEST_CASE(stream_resumes_after_last_event, routed_fixture) {
  auto Request = stream();
  Request->onHead(answerWithConfidence(90), Now);
  BOOST_TEST(!Out.HasBegun); // no complete event yet
  Request->onBody(event(1) + event(2) + "id: 3\nda", Now);
  BOOST_TEST(Out.Bytes == event(1) + event(2));
  Request->onFailure(exchange_failure::BrokenAnswer, Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(*Out.Attempts[1].ResumeFrom == 2U);
  BOOST_TEST(Out.Attempts[1].Model == Out.Attempts[0].Model);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(2) + event(3), Now); // the first was sent before
  Request->onEnd(Now);
  BOOST_TEST(Out.Bytes == event(1) + event(2) + event(3));
  BOOST_TEST(Out.HasEnded);
}

// A stream that closes cleanly within an event is not complete.
BOOST_FIXTURE_TEST_CASE(end_within_event_is_a_failure, routed_fixture) {
  auto Request = stream();
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1) + "id: 2\n", Now);
  Request->onEnd(Now);
  BOOST_TEST(!Out.HasEnded);
  BOOST_TEST(Out.Attempts.size() == 2U);
}

// Failure: an event that never ends. The stream resumes elsewhere after the
// last whole event.
BOOST_FIXTURE_TEST_CASE(endless_event_is_tried_elsewhere, routed_fixture) {
  auto Request = stream();
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1) + "data: ", Now);
  const std::string Part(4096, 'x');
  std::size_t Sent = 0;
  for (; Out.Attempts.size() == 1 && Sent < 1U << 20U; Sent += Part.size())
    Request->onBody(Part, Now);
  BOOST_TEST(Sent <= config::MaxAnswerBufferBytes + Part.size());
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Endpoint.Id != Out.Attempts[0].Endpoint.Id);
  BOOST_TEST(*Out.Attempts[1].ResumeFrom == 1U);
  BOOST_TEST(Out.Cancelled == 1U);
}

// Failure: an endpoint's plain answers never end. Each is cut visibly by the
// request's time, and the endpoint soon gets no more of them.
BOOST_FIXTURE_TEST_CASE(endless_plain_answers_end_with_the_time,
                        routed_fixture) {
  const std::string Part(64U << 10U, 'x');
  unsigned Endless = 0;
  for (int Each = 0; Each < 30; ++Each) {
    Out = {};
    const auto Request = lookup();
    BOOST_REQUIRE(Out.Attempts.size() == 1U);
    Request->onSent(Now);
    Request->onHead(answer(200), Now);
    if (Out.Attempts[0].Endpoint.Id != "p1") {
      Request->onBody("ok", Now);
      Request->onEnd(Now);
      BOOST_TEST(Out.WholeBody == "ok");
      continue;
    }
    ++Endless;
    for (int Parts = 0; Parts < 10; ++Parts)
      Request->onBody(Part, Now);
    BOOST_TEST(Out.Bytes.size() == 10 * Part.size()); // nothing is held
    Now = *Request->nextTimer();
    Request->onTimer(Now);
    BOOST_TEST(Request->isOver());
    BOOST_TEST(Out.IsAborted);
    BOOST_TEST(!Out.HasEnded);
    BOOST_TEST(Out.Cancelled == 1U);
    BOOST_TEST(Out.Attempts.size() == 1U);
  }
  BOOST_TEST(Endless >= 1U);
  BOOST_TEST(Endless <= 3U);
}

// A long answer is forwarded as it comes, once, with its head unchanged.
BOOST_FIXTURE_TEST_CASE(long_answer_of_non_idempotent_call_is_forwarded,
                        routed_fixture) {
  for (const unsigned Status : {200U, 500U}) {
    Out = {};
    auto Request = booking();
    Request->onSent(Now);
    endpoint_response Response = answer(Status);
    Response.Fields = {{"X-Instance-Signature", "s"}};
    Response.Length = 3 * config::MaxAnswerBufferBytes;
    Request->onHead(Response, Now);
    const std::string Part(config::MaxAnswerBufferBytes / 4, 'x');
    for (int Each = 0; Each < 4; ++Each)
      Request->onBody(Part, Now);
    BOOST_TEST(!Out.Begun.has_value()); // it still fits
    for (int Each = 4; Each < 12; ++Each) {
      Request->onBody(Part, Now);
      BOOST_TEST(Out.Bytes.size() == (Each + 1) * Part.size());
    }
    Request->onEnd(Now);
    BOOST_TEST(Out.Attempts.size() == 1U);
    BOOST_REQUIRE(Out.Begun.has_value());
    BOOST_TEST(Out.Begun->Status == Status);
    BOOST_TEST(Out.Begun->Fields.size() == 1U);
    BOOST_TEST(Out.Begun->Length.value_or(0) == Out.Bytes.size());
    BOOST_TEST(Out.HasEnded);
    BOOST_TEST(!Out.IsAborted);
    BOOST_TEST(!Out.Whole.has_value());
    BOOST_TEST(!Out.Refused.has_value());
    BOOST_TEST(Request->isOver());
  }
}

// Failure: a long answer breaks after its begin was forwarded. The caller must
// see the truncation, and nothing of another answer may follow.
BOOST_FIXTURE_TEST_CASE(broken_long_answer_is_truncated, routed_fixture) {
  for (const bool IsIdempotent : {true, false}) {
    Out = {};
    auto Request = IsIdempotent ? lookup() : booking();
    Request->onSent(Now);
    Request->onHead(answer(200), Now);
    Request->onBody(std::string(config::MaxAnswerBufferBytes + 1, 'x'), Now);
    Request->onFailure(exchange_failure::BrokenAnswer, Now);
    BOOST_TEST(Request->isOver());
    BOOST_TEST(Out.IsAborted);
    BOOST_TEST(!Out.HasEnded);
    BOOST_TEST(!Out.Refused.has_value());
    BOOST_TEST(Out.Attempts.size() == 1U);
  }
}

// Failure: the body of an error that isn't the endpoint's never ends. The
// caller gets an error without it.
BOOST_FIXTURE_TEST_CASE(endless_unsigned_error_is_answered_without_body,
                        routed_fixture) {
  auto Request = booking();
  Request->onSent(Now);
  endpoint_response Response = answer(500);
  Response.HasSignature = false;
  Request->onHead(Response, Now);
  Request->onBody(std::string(config::MaxAnswerBufferBytes + 1, 'x'), Now);
  BOOST_TEST(Request->isOver());
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_TEST(!Out.Whole.has_value());
  BOOST_TEST(Out.Bytes.empty());
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Kind == error_kind::EndpointFailed));
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
}

// Failure: the body of an error never ends. The caller gets it until its time
// is up, and sees that it is cut.
BOOST_FIXTURE_TEST_CASE(endless_error_ends_with_the_time, routed_fixture) {
  auto Request = booking();
  Request->onSent(Now);
  Request->onHead(answer(500), Now);
  Request->onBody(std::string(config::MaxAnswerBufferBytes + 1, 'x'), Now);
  BOOST_REQUIRE(Out.Begun.has_value());
  BOOST_TEST(Out.Begun->Status == 500U);
  Now = *Request->nextTimer();
  Request->onTimer(Now);
  BOOST_TEST(Request->isOver());
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_TEST(Out.IsAborted);
}

// Guards against bodies that are cut although they can be delivered.
BOOST_FIXTURE_TEST_CASE(longest_plain_answer_is_whole, routed_fixture) {
  for (const unsigned Status : {200U, 500U}) {
    auto Request = booking();
    Request->onSent(Now);
    Request->onHead(answer(Status), Now);
    Request->onBody(std::string(config::MaxAnswerBufferBytes, 'x'), Now);
    Request->onEnd(Now);
    BOOST_REQUIRE(Out.Whole.has_value());
    BOOST_TEST(Out.WholeBody.size() == config::MaxAnswerBufferBytes);
  }
}

// All attempts of a stream were cut off: the caller must see that the response
// is truncated.
BOOST_FIXTURE_TEST_CASE(stream_without_attempts_left_is_aborted,
                        routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  auto Request = stream();
  for (int Each = 0; Each < 3; ++Each) {
    Request->onHead(answerWithConfidence(90), Now);
    Request->onBody(event(static_cast<unsigned>(Each) + 1), Now);
    Request->onFailure(exchange_failure::BrokenAnswer, Now);
  }
  BOOST_TEST(Out.Attempts.size() == 3U);
  BOOST_TEST(Out.IsAborted);
  BOOST_TEST(!Out.HasEnded);
}

BOOST_FIXTURE_TEST_CASE(low_confidence_escalates_to_largest_model,
                        routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  auto Request = stream();
  BOOST_TEST(Out.Attempts[0].Model == "small");
  Request->onHead(answerWithConfidence(10), Now);
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Model == "large");
  BOOST_TEST(!Out.HasBegun);
  Request->onHead(answerWithConfidence(10), Now);
  Request->onBody(event(1), Now);
  BOOST_TEST(Out.HasBegun);
}

// A stream that may run once has an answer of low confidence. Guards against a
// second run, at another model and without the request's body.
BOOST_FIXTURE_TEST_CASE(low_confidence_is_kept_if_stream_may_run_once,
                        routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  auto Request = singleStream();
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(1), Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.Cancelled == 0U);
  Request->onBody(event(1), Now);
  Request->onEnd(Now);
  BOOST_TEST(Out.HasEnded);
  BOOST_TEST(Out.Bytes == event(1));
}

// Guards against starting with a small model in the expectation of a second
// answer that the request can't get.
BOOST_FIXTURE_TEST_CASE(stream_that_may_run_once_starts_with_a_better_model,
                        routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  const auto Repeatable = stream();
  BOOST_TEST(Out.Attempts.at(0).Model == "small");
  const auto Single = singleStream();
  BOOST_TEST(Out.Attempts.at(0).Model != "small");
}

// Guards against releasing the body while another model may still be asked.
BOOST_FIXTURE_TEST_CASE(escalated_attempt_has_the_body, routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  auto Request = stream();
  Request->onHead(answerWithConfidence(10), Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_REQUIRE(Request->call().Body);
  BOOST_TEST(*Request->call().Body == "body");
}

// A session's version is gone, and its request runs on another one before the
// next roll-out starts. Its low-confidence answer arrives after the start.
// Guards against escalating on that version during the roll-out.
BOOST_FIXTURE_TEST_CASE(low_confidence_from_before_rollout_is_kept,
                        routed_fixture) {
  for (int Each = 0; Each < 5; ++Each)
    Budget.recordRequest("engine", Now);
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  Shift.setSessionTtl(5s);
  Shift.setOrder({"engine", "v1", 20s, 5}, Now);
  Shift.updateStatus("v1", rollout_state::Completed, Now);
  routed_call Call = call(0);
  Call.Metadata.Session = "s";
  const auto Before = begin(Call);
  Before->onSent(Now);
  Now += 100ms;
  Shift.setOrder({"engine", "v2", 20s, 6}, Now);
  Before->onHead(answerWithConfidence(5), Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.Notes.back() == "kept_weak_answer:session_before_order");
  Call.Metadata.Session = "t";
  const auto After = begin(Call);
  After->onSessionLookedUp(true, Now);
  After->onSent(Now);
  After->onHead(answerWithConfidence(5), Now);
  BOOST_TEST(Out.Attempts.size() == 2U);
}

// Without retry budget a low-confidence answer is kept, so the budget is left
// for failures.
BOOST_FIXTURE_TEST_CASE(low_confidence_is_kept_without_retry_budget,
                        routed_fixture) {
  Budget.setLimits({0, 10s, 0});
  auto Request = stream();
  Request->onHead(answerWithConfidence(10), Now);
  Request->onBody(event(1), Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.HasBegun);
}

// The VM was suspended while a customer's key was revoked. No attempt may
// start; a request that didn't run is reported so.
BOOST_FIXTURE_TEST_CASE(expired_key_lease_blocks_every_attempt,
                        routed_fixture) {
  AreKeysGood = false;
  auto Request = booking();
  BOOST_TEST(Out.Attempts.empty());
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  AreKeysGood = true;
  Request = lookup();
  AreKeysGood = false;
  Request->onFailure(exchange_failure::NoAnswer, Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
}

// The address of an endpoint that is gone now belongs to another service, which
// answers 421.
BOOST_FIXTURE_TEST_CASE(misdirected_request_is_retried_elsewhere,
                        routed_fixture) {
  auto Request = lookup();
  Request->onHead(notExecuted(true), Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Endpoint.Id != Out.Attempts[0].Endpoint.Id);
}

namespace {

struct step {
  int Event;
  int Value;
};

/// What endpoints saw of a request.
struct seen_runs {
  unsigned Runs = 0;     ///< executions
  unsigned Bodiless = 0; ///< attempts that started after the body's release
};

/// Applies random events to a request.
void runSteps(routed_fixture &Fixture, routed_request &Request,
              const std::vector<step> &Steps, seen_runs &Seen) {
  std::size_t Begun = 0;
  bool HasHead = false;
  for (const auto &[Event, Value] : Steps) {
    if (Fixture.Out.Attempts.size() != Begun) {
      Begun = Fixture.Out.Attempts.size();
      HasHead = false;
      Seen.Bodiless += Request.call().Body ? 0 : 1;
    }
    if (Request.isOver())
      return;
    switch (Event) {
    case 0:
      if (HasHead)
        break;
      Request.onSent(Fixture.Now);
      HasHead = true;
      if (Value % 3 == 0) {
        Request.onHead(routed_fixture::notExecuted(Value % 2 == 0),
                       Fixture.Now);
        break;
      }
      ++Seen.Runs;
      Request.onHead(Value % 3 == 1
                         ? routed_fixture::answerWithConfidence(Value % 100)
                         : routed_fixture::answer(500),
                     Fixture.Now);
      break;
    case 1:
      if (HasHead)
        Request.onBody(routed_fixture::event(static_cast<unsigned>(Value)),
                       Fixture.Now);
      break;
    case 2:
      if (HasHead)
        Request.onEnd(Fixture.Now);
      break;
    case 3:
      if (!HasHead && Value % 2 == 1) {
        Request.onSent(Fixture.Now);
        ++Seen.Runs; // it may have run without a response
      }
      Request.onFailure(HasHead          ? exchange_failure::BrokenAnswer
                        : Value % 2 == 1 ? exchange_failure::NoAnswer
                                         : exchange_failure::NotConnected,
                        Fixture.Now);
      break;
    default:
      Fixture.Now += std::chrono::milliseconds(Value);
      Request.onTimer(Fixture.Now);
    }
  }
}

void checkInvariants(std::size_t Route) {
  const auto Raw = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 400)));
  std::vector<step> Steps;
  Steps.reserve(Raw.size());
  for (const auto &[Event, Value] : Raw)
    Steps.push_back({Event, Value});
  routed_fixture Fixture;
  for (int Each = 0; Each < 10; ++Each)
    Fixture.Budget.recordRequest(Fixture.call(Route).Service, Fixture.Now);
  auto Request = Fixture.begin(Fixture.call(Route));
  seen_runs Seen;
  runSteps(Fixture, *Request, Steps, Seen);
  const recorded_outputs &Out = Fixture.Out;
  RC_ASSERT(Seen.Bodiless == 0U);
  if (!Fixture.Table->Routes[Route].isRetryable())
    RC_ASSERT(Seen.Runs <= 1U);
  if (Out.Refused && Out.Refused->Ran == run_state::NotRun)
    RC_ASSERT(Seen.Runs == 0U);
  const int Ends = int(Out.Refused.has_value()) + int(Out.Whole.has_value()) +
                   int(Out.HasEnded) + int(Out.IsAborted);
  RC_ASSERT(Ends == int(Request->isOver()));
  RC_ASSERT(Out.Attempts.size() <= Fixture.Table->Routes[Route].MaxAttempts +
                                       config::MaxConnectFailures);
}

} // namespace

// For any sequence of events a request that isn't retryable runs at most once,
// each attempt has the request's body, "not run" is correct, and a request ends
// in exactly one way.
BOOST_AUTO_TEST_CASE(invariants_hold_for_any_event_sequence) {
  const std::size_t Routes = routed_fixture().Table->Routes.size();
  for (std::size_t Route = 0; Route < Routes; ++Route)
    BOOST_TEST(rc::check([Route] { checkInvariants(Route); }));
}

// A stream takes longer than the session TTL, and the session's next request
// follows a second after its end, during a roll-out. Guards against treating
// the second request as a new session that may run on the new version.
BOOST_FIXTURE_TEST_CASE(session_ttl_counts_from_stream_end, routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  Shift.setSessionTtl(5s);
  Shift.setExposureBound(1, 0); // two thirds of all new sessions are moved
  for (int Each = 1; Each <= 4; ++Each)
    add("n" + std::to_string(Each), "engine", "v2");
  const auto Listed = Directory.usable("engine");
  Shift.updateEndpoints(Listed);
  Shift.setOrder({"engine", "v2", 60s, 1}, Now);
  Shift.updateEndpoints(Listed);
  Shift.markReportsRead(Now);
  // Pick a session that would be moved if it were new.
  std::string Name = "review-1";
  while (Shift.sideFor(Name, stableHash(Name), Now + 31s) == version_side::Old)
    Name += "1";
  routed_call First = call(0);
  First.Metadata.Session = Name;
  const std::uint64_t Hash = sessionHash(First.Metadata);
  Shift.mergeRun({Hash, versionHash("v1"), Now}, Now);
  const auto Stream = begin(std::move(First));
  BOOST_TEST(Out.Attempts.at(0).Endpoint.Version == "v1");
  Stream->onSent(Now);
  Stream->onHead(answer(200), Now);
  Now += 8s;
  Stream->onBody("id: 1\ndata: x\n\n", Now);
  Stream->onEnd(Now);
  Now += 1s;
  routed_call Second = call(0);
  Second.Metadata.Session = Name;
  begin(std::move(Second));
  BOOST_TEST(Out.Attempts.at(0).Endpoint.Version == "v1");
  BOOST_TEST((Shift.sideFor(Name, Hash, Now) == version_side::Old));
}

// A long stream ends before a roll-out starts, and the session's next request
// comes after that, here or at another VM. Guards against a TTL that counts
// from the stream's start, with which the session would get the canary.
BOOST_FIXTURE_TEST_CASE(session_of_stream_before_rollout_keeps_version,
                        routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  version_shift Elsewhere{"vm2", 2};
  for (version_shift *Each : {&Shift, &Elsewhere}) {
    Each->setSessionTtl(5s);
    Each->setExposureBound(1, 0);
  }
  std::string Name = "review-1";
  for (version_shift Ordered = Shift;; Name += "1") {
    Ordered.setOrder({"engine", "v2", 60s, 1}, Now);
    if (Ordered.sideFor(Name, stableHash(Name), Now + 31s) == version_side::New)
      break;
  }
  routed_call First = call(0);
  First.Metadata.Session = Name;
  const std::uint64_t Hash = sessionHash(First.Metadata);
  const auto Stream = begin(std::move(First));
  Stream->onSent(Now);
  Stream->onHead(answer(200), Now);
  Now += 8s;
  Stream->onBody("id: 1\ndata: x\n\n", Now);
  Stream->onEnd(Now);
  BOOST_TEST(Runs.empty()); // no roll-out yet, so nothing to publish
  Now += 1s;
  for (version_shift *Each : {&Shift, &Elsewhere}) {
    Each->setOrder({"engine", "v2", 60s, 1}, Now);
    Each->markReportsRead(Now);
  }
  Now += 2s;
  BOOST_TEST((Shift.sideFor(Name, Hash, Now) == version_side::Old));
  BOOST_TEST((Elsewhere.sideFor(Name, Hash, Now) == version_side::Old));
}

// The canary endpoints are unavailable to a request whose session has moved. It
// runs on another endpoint of the target, not on the old version.
BOOST_FIXTURE_TEST_CASE(moved_session_stays_on_target_beyond_canary,
                        routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  for (int Each = 1; Each <= 4; ++Each)
    add("n" + std::to_string(Each), "engine", "v2");
  const auto Listed = Directory.usable("engine");
  Shift.updateEndpoints(Listed);
  Shift.setOrder({"engine", "v2", 60s, 1}, Now);
  Shift.updateEndpoints(Listed);
  Shift.markReportsRead(Now);
  Now += 31s;
  routed_call Call = call(0);
  Call.ArrivedAt = Now;
  Call.Metadata.Session = "s";
  Shift.mergeRun({sessionHash(Call.Metadata), versionHash("v2"), Now}, Now);
  std::vector<std::string> InTrial;
  for (const endpoint_info *Info : Listed)
    if (Info->Version == "v2" && Shift.allowsEndpoint(Info->Id, Now))
      InTrial.push_back(Info->Id);
  BOOST_REQUIRE(InTrial.size() == config::RolloutMinEndpoints);
  for (const std::string &Id : InTrial)
    Directory.apply(Id, std::nullopt, Now);
  const auto Request = begin(Call);
  BOOST_REQUIRE(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.Attempts[0].Endpoint.Version == "v2");
}

// A moved session finds no usable endpoint of the target version. It must not
// fall back to the old version; the caller gets a Retry-After.
BOOST_FIXTURE_TEST_CASE(moved_session_is_refused_rather_than_moved_back,
                        routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  add("n1", "engine", "v2");
  const auto Listed = Directory.usable("engine");
  Shift.setOrder({"engine", "v2", 60s, 1}, Now);
  Shift.updateEndpoints(Listed);
  Shift.markReportsRead(Now);
  Now += 31s;
  Directory.apply("n1", std::nullopt, Now); // the shift doesn't know yet
  for (const std::string Session : {"moved", "other"}) {
    routed_call Call = call(0);
    Call.ArrivedAt = Now;
    Call.Metadata.Session = Session;
    if (Session == "moved")
      Shift.mergeRun({sessionHash(Call.Metadata), versionHash("v2"), Now}, Now);
    begin(Call);
    if (Session == "moved") {
      BOOST_TEST(Out.Attempts.empty());
      BOOST_REQUIRE(Out.Refused.has_value());
      BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
      BOOST_TEST((Out.Refused->RetryAfter > 0s));
    } else {
      BOOST_REQUIRE(Out.Attempts.size() == 1U);
      BOOST_TEST(Out.Attempts[0].Endpoint.Version == "v1");
    }
  }
}

// An endpoint refuses a request whose session has moved at another VM
// meanwhile. The next attempt uses the session's new version.
BOOST_FIXTURE_TEST_CASE(retry_follows_moved_session, routed_fixture) {
  version_shift &Shift = Shifts.try_emplace("engine", "vm1", 1).first->second;
  add("n1", "engine", "v2");
  const auto Listed = Directory.usable("engine");
  Shift.setOrder({"engine", "v2", 60s, 1}, Now);
  Shift.updateEndpoints(Listed);
  Now += 20s;
  routed_call Call = call(0);
  Call.ArrivedAt = Now;
  Call.Metadata.Session = "s";
  const auto Request = begin(Call);
  BOOST_REQUIRE(Out.Attempts.size() == 1U);
  BOOST_TEST(Out.Attempts[0].Endpoint.Version == "v1");
  Request->onSent(Now);
  Shift.mergeRun({sessionHash(Call.Metadata), versionHash("v2"), Now}, Now);
  endpoint_response Full = answer(503);
  Full.IsNotExecuted = true;
  Request->onHead(Full, Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Endpoint.Version == "v2");
}

// A data centre is unreachable: two of its endpoints don't answer. Guards
// against requests that try its other endpoints until they are refused, while
// the local data centre is idle.
BOOST_FIXTURE_TEST_CASE(unreachable_data_centre_gets_no_requests,
                        routed_fixture) {
  for (const char *Id : {"f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"})
    add(Id, "engine", "v1", "hall-b");
  stream();
  for (const char *Id : {"f1", "f2"})
    Choice.attemptEnded(Id, 0, attempt_result::Unreachable, std::nullopt, Now);
  for (int Each = 0; Each < 50; ++Each) {
    auto Request = stream();
    BOOST_REQUIRE(Out.Attempts.size() == 1U);
    BOOST_TEST(Out.Attempts[0].Endpoint.DataCentre == "hall-a");
    Request->onSent(Now);
  }
  const auto Probes = Choice.probesDue(Now + 1s);
  BOOST_TEST(Probes.size() >= 2U);
  Choice.connected(*Directory.find("f5"), 1ms, Now);
  BOOST_TEST(!Choice.isUnreachable(*Directory.find("f6")));
}

// An endpoint becomes unreachable during a stream: the connection reports no
// error, new ones go unanswered. Guards against a stall of seconds until TCP
// keep-alive fails. A stream that still delivers events is not moved.
BOOST_FIXTURE_TEST_CASE(stream_moves_off_unreachable_endpoint, routed_fixture) {
  auto Request = stream();
  const std::string First = Out.Attempts[0].Endpoint.Id;
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1), Now);
  Request->onTick(Now + 1s);
  BOOST_TEST(Out.Attempts.size() == 1U); // other connections are answered there
  Choice.attemptEnded(First, 0, attempt_result::Unreachable, std::nullopt, Now);
  Now += config::UnreachableStreamTimeout / 2;
  Request->onBody(event(2), Now);
  Now += config::UnreachableStreamTimeout / 2;
  Request->onTick(Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  Now += config::UnreachableStreamTimeout / 2;
  Request->onTick(Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  BOOST_TEST(Out.Attempts[1].Endpoint.Id != First);
  BOOST_TEST(*Out.Attempts[1].ResumeFrom == 2U);
}

// The VM's own link is full, so connections to all data centres go unanswered.
// Guards against streams that are given up although they still run.
BOOST_FIXTURE_TEST_CASE(stream_stays_while_the_own_link_is_full,
                        routed_fixture) {
  add("f1", "engine", "v1", "hall-b");
  auto Request = stream();
  const std::string First = Out.Attempts[0].Endpoint.Id;
  const std::string Other = First == "f1" ? "e1" : "f1";
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1), Now);
  for (const std::string &Id : {First, Other})
    Choice.attemptEnded(Id, 0, attempt_result::Unreachable, std::nullopt, Now);
  Now += config::UnreachableStreamTimeout;
  Request->onTick(Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  Choice.connected(*Directory.find("p1"), 1ms, Now); // the link is free again
  Request->onTick(Now);
  BOOST_TEST(Out.Attempts.size() == 1U); // the failures were the link's
  Choice.attemptEnded(First, 0, attempt_result::Unreachable, std::nullopt, Now);
  Request->onTick(Now);
  BOOST_TEST(Out.Attempts.size() == 1U); // the link may be full again
  Now += 2s;
  Choice.attemptEnded(First, 0, attempt_result::Unreachable, std::nullopt, Now);
  Request->onTick(Now);
  BOOST_TEST(Out.Attempts.size() == 2U);
}

// A booking waits at an endpoint that becomes unreachable. It may be running
// there, so it is not moved.
BOOST_FIXTURE_TEST_CASE(non_idempotent_call_stays_at_unreachable_endpoint,
                        routed_fixture) {
  auto Request = booking();
  Request->onSent(Now);
  Choice.attemptEnded(Out.Attempts[0].Endpoint.Id, 0,
                      attempt_result::Unreachable, std::nullopt, Now);
  Request->onTick(Now + 1s);
  BOOST_TEST(Out.Attempts.size() == 1U);
}

// A roll-out completes: all endpoints of the old version stop and refuse
// connections before this VM has read that. Guards against a truncated stream:
// it waits briefly, free of the retry budget, and resumes once an endpoint is
// listed.
BOOST_FIXTURE_TEST_CASE(stream_waits_for_an_endpoint, routed_fixture) {
  auto Request = stream();
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1), Now);
  Request->onFailure(exchange_failure::BrokenAnswer, Now);
  for (unsigned Each = 0; Each < config::MaxConnectFailures; ++Each)
    Request->onFailure(exchange_failure::NotConnected, Now);
  BOOST_TEST(!Out.IsAborted);
  const std::size_t Tried = Out.Attempts.size();
  const double Left = Budget.available("engine", Now);
  for (const char *Id : {"e1", "e2", "e3", "e4"})
    Directory.apply(Id, std::nullopt, Now);
  Now += config::StreamRetryInterval;
  Request->onTimer(Now);
  BOOST_TEST(!Out.IsAborted);
  BOOST_TEST(Out.Attempts.size() == Tried);
  add("e9", "engine");
  Now += config::StreamRetryInterval;
  Request->onTimer(Now);
  BOOST_REQUIRE(Out.Attempts.size() == Tried + 1);
  BOOST_TEST(Out.Attempts.back().Endpoint.Id == "e9");
  BOOST_TEST(*Out.Attempts.back().ResumeFrom == 1U);
  BOOST_TEST(Budget.available("engine", Now) == Left);
}

// No endpoint comes back: the stream is aborted before the caller would
// disconnect.
BOOST_FIXTURE_TEST_CASE(stream_wait_ends_before_caller_gives_up,
                        routed_fixture) {
  auto Request = stream();
  Request->onSent(Now);
  Request->onHead(answerWithConfidence(90), Now);
  Request->onBody(event(1), Now);
  for (const char *Id : {"e1", "e2", "e3", "e4"})
    Directory.apply(Id, std::nullopt, Now);
  Request->onFailure(exchange_failure::BrokenAnswer, Now);
  const mono_time Begun = Now;
  while (!Out.IsAborted && Request->nextTimer()) {
    Now = *Request->nextTimer();
    Request->onTimer(Now);
  }
  BOOST_TEST(Out.IsAborted);
  BOOST_TEST((Now - Begun < 2s));
}

// Guards against a request that runs outside the regions of its route or
// customer.
BOOST_FIXTURE_TEST_CASE(regions_of_route_and_customer_both_apply,
                        routed_fixture) {
  const auto AddIn = [this](const std::string &Id, const std::string &Region) {
    endpoint_info Info = *Directory.find("e1");
    Info.Id = Id;
    Info.Region = Region;
    Directory.apply(Id, Info, Now);
  };
  AddIn("n1", "north");
  AddIn("s1", "south");
  const auto Begin = [this](const std::vector<std::string> &OfRoute,
                            const std::vector<std::string> &OfCustomer) {
    Table->Routes[0].Regions = OfRoute;
    routed_call Call = call(0);
    Call.Customer.Regions = OfCustomer;
    return begin(std::move(Call));
  };
  for (int Each = 0; Each < 10; ++Each) {
    auto Request = Begin({"north"}, {});
    BOOST_TEST(Out.Attempts[0].Endpoint.Id == "n1");
    // The only endpoint in its region fails: it isn't retried elsewhere.
    Request->onFailure(exchange_failure::NotConnected, Now);
    for (const attempt_spec &Spec : Out.Attempts)
      BOOST_TEST(Spec.Endpoint.Id == "n1");
  }
  const auto Of = Begin({"north", "south"}, {"south"});
  BOOST_TEST(Out.Attempts[0].Endpoint.Id == "s1");
  const auto None = Begin({"north"}, {"south"});
  BOOST_REQUIRE(Out.Refused);
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST((Out.Refused->RetryAfter > 0s));
}

// Guards against refusing a request although a cold endpoint can take it very
// soon, and against a wait that the caller would notice.
BOOST_FIXTURE_TEST_CASE(request_waits_briefly_for_cold_endpoint,
                        routed_fixture) {
  Choice.slowStart().setRule("engine", {5s, 4});
  Choice.slowStart().setVms(1, {});
  Choice.markDataCentreCold("hall-a", Now);
  for (int Each = 0; Each < 4; ++Each) {
    stream();
    BOOST_TEST(Out.Attempts.size() == 1U);
  }
  const auto Waiting = stream();
  BOOST_TEST(Out.Attempts.empty());
  BOOST_TEST(!Out.Refused.has_value());
  BOOST_REQUIRE(Waiting->nextTimer());
  BOOST_TEST(
      (*Waiting->nextTimer() <= Now + Table->Routes[0].TargetLatency / 8));
  Now = *Waiting->nextTimer();
  Waiting->onTimer(Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  // With a lower rate the next slot is too far away.
  Now += 1s;
  Choice.slowStart().setRule("engine", {5s, 0.2});
  for (int Each = 0; Each < 4; ++Each)
    stream();
  stream();
  BOOST_REQUIRE(Out.Refused);
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST((Out.Refused->RetryAfter > 0s));
}

// A quarantined request is sent again: no endpoint may get it, and the caller
// gets the remaining quarantine as Retry-After at once.
BOOST_FIXTURE_TEST_CASE(quarantined_request_reaches_no_endpoint,
                        routed_fixture) {
  routed_call Call = call(0);
  Call.Digest = 7;
  Quarantine.applyStoredNote({7, {1, 2, 3}}, std::chrono::hours(1), Now);
  begin(std::move(Call));
  BOOST_TEST(Out.Attempts.empty());
  BOOST_REQUIRE(Out.Refused);
  BOOST_TEST((Out.Refused->Kind == error_kind::RequestQuarantined));
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST((Out.Refused->RetryAfter == std::chrono::hours(23)));
}

// A request is quarantined during its first attempt: it must not be retried.
BOOST_FIXTURE_TEST_CASE(request_quarantined_during_attempt_is_not_retried,
                        routed_fixture) {
  routed_call Call = call(0);
  Call.Digest = 7;
  const auto Request = begin(std::move(Call));
  Request->onSent(Now);
  Quarantine.applyStoredNote({7, {1, 2, 3}}, {}, Now);
  Request->onFailure(exchange_failure::NoAnswer, Now);
  BOOST_TEST(Out.Attempts.size() == 1U);
  BOOST_TEST(BrokenConnections.size() == 1U);
  BOOST_REQUIRE(Out.Refused);
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
}

// A failed connect must not be counted as a crash caused by the request.
BOOST_FIXTURE_TEST_CASE(failed_connect_does_not_count_as_crash,
                        routed_fixture) {
  const auto Request = stream();
  Request->onFailure(exchange_failure::NotConnected, Now);
  BOOST_TEST(BrokenConnections.empty());
}

namespace {

/// A peer has this many requests at each endpoint of the portal service.
void occupyPortal(routed_fixture &Fixture, unsigned Running) {
  load_digest Digest;
  Digest.Vm = "busy";
  Digest.Sequence = 1;
  for (const char *Id : {"p1", "p2", "p3"})
    Digest.Loads.push_back({digestHash(Id), double(Running), Running});
  Fixture.Peers.applyDigest(Digest, Fixture.Now);
}

/// Peers report that the portal service is short of capacity.
void makePortalShort(routed_fixture &Fixture, unsigned Running = 6) {
  occupyPortal(Fixture, Running);
  const std::uint32_t Portal = digestHash("portal");
  const share_key Key{Portal, digestHash("big"), 0};
  Fixture.Shares.applyPeer("peer", {{{Key, 300}}, {{Portal, 30, 300}}},
                           Fixture.Now);
  Fixture.Shares.expire(Fixture.Now + 200ms, 1h);
  Fixture.Now += 200ms;
}

routed_call callOf(routed_fixture &Fixture, std::string Customer) {
  routed_call Call = Fixture.call(1);
  Call.Customer.Name = std::move(Customer);
  return Call;
}

} // namespace

// Failure: one customer sends far more than its share. Its requests are refused
// at once and don't reach an endpoint; its caller may retry them.
BOOST_FIXTURE_TEST_CASE(request_beyond_share_is_refused_at_once,
                        routed_fixture) {
  makePortalShort(*this);
  unsigned Refused = 0;
  for (int Each = 0; Each < 40; ++Each) {
    const auto Request = begin(callOf(*this, "big"));
    if (!Out.Refused)
      continue;
    ++Refused;
    BOOST_TEST(Out.Attempts.empty());
    BOOST_TEST(Request->isOver());
    BOOST_TEST((Out.Refused->Kind == error_kind::QuotaExceeded));
    BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
    BOOST_TEST((Out.Refused->RetryAfter > 0s));
    BOOST_TEST(Out.Notes.back() == "gate:beyond_share");
  }
  BOOST_TEST(Refused > 20U);
}

BOOST_FIXTURE_TEST_CASE(request_without_customer_passes_a_short_service,
                        routed_fixture) {
  makePortalShort(*this);
  for (int Each = 0; Each < 10; ++Each) {
    const auto Request = lookup();
    BOOST_TEST(Out.Attempts.size() == 1U);
  }
}

// Load: one endpoint rejects requests while the others have free slots. Guards
// against a refusal while there is room.
BOOST_FIXTURE_TEST_CASE(rejections_beside_free_slots_hold_nothing_back,
                        routed_fixture) {
  makePortalShort(*this, 4);
  for (int Each = 0; Each < 40; ++Each) {
    const auto Request = begin(callOf(*this, "big"));
    BOOST_TEST(!Out.Refused);
    BOOST_TEST(Out.Attempts.size() == 1U);
    Request->onCallerGone(Now);
  }
}

// Load: long requests of a low priority beside short ones of a high one.
BOOST_FIXTURE_TEST_CASE(engines_are_asked_by_rank, routed_fixture) {
  const auto UrgencyOf = [this](unsigned Priority) {
    routed_call Call = call(0);
    Call.Customer.Priority = Priority;
    const auto Request = begin(std::move(Call));
    BOOST_REQUIRE(Out.Attempts.size() == 1U);
    return Out.Attempts[0].Urgency;
  };
  const unsigned Urgent = UrgencyOf(0);
  BOOST_TEST(UrgencyOf(3) > Urgent);
  BOOST_TEST(UrgencyOf(0) == Urgent);
}

// A request whose turn comes soon waits here and is then sent.
BOOST_FIXTURE_TEST_CASE(request_waits_for_its_share, routed_fixture) {
  makePortalShort(*this);
  Table->Routes[1].TargetLatency = 16s;
  Table->Routes[1].Timeout = 20s;
  unsigned Waited = 0;
  for (int Each = 0; Each < 60; ++Each, Now += 20ms) {
    const auto Request = begin(callOf(*this, "big"));
    if (Out.Notes.empty() || Out.Notes.back() != "gate:share_comes_soon")
      continue;
    ++Waited;
    BOOST_TEST(Out.Attempts.empty());
    BOOST_REQUIRE(Request->nextTimer());
    BOOST_TEST((*Request->nextTimer() - Now <= 2s));
    Request->onTimer(*Request->nextTimer());
    BOOST_TEST(Out.Attempts.size() == 1U);
  }
  BOOST_TEST(Waited > 0U);
}

// Runs and rejections of attempts are what shares are computed from.
BOOST_FIXTURE_TEST_CASE(outcomes_of_attempts_are_recorded, routed_fixture) {
  const auto Request = lookup();
  Request->onSent(Now);
  Request->onHead(notExecuted(), Now);
  BOOST_REQUIRE(Out.Attempts.size() == 2U);
  Request->onSent(Now);
  Request->onHead(answer(200), Now);
  const share_notes Notes = Shares.ownNotes(Now);
  BOOST_REQUIRE(Notes.Outcomes.size() == 1U);
  BOOST_TEST(Notes.Outcomes[0].Ran > 0);
  BOOST_TEST(Notes.Outcomes[0].Rejected > 0);
}

// Failure: a VM exits with requests open, and their callers don't learn whether
// they ran.
BOOST_FIXTURE_TEST_CASE(open_requests_are_answered_at_a_stop, routed_fixture) {
  auto Sent = booking();
  Sent->onSent(Now);
  Sent->onStop(Now);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Ran == run_state::MayHaveRun));
  BOOST_TEST(Out.Cancelled == 1U);
  BOOST_TEST(Sent->isOver());
  auto Connecting = booking();
  Connecting->onStop(Now);
  BOOST_REQUIRE(Out.Refused.has_value());
  BOOST_TEST((Out.Refused->Kind == error_kind::Draining));
  BOOST_TEST((Out.Refused->Ran == run_state::NotRun));
  BOOST_TEST(!Out.IsAborted);
}

// An answer that has begun can't be completed; its caller must see that.
BOOST_FIXTURE_TEST_CASE(begun_answer_is_broken_off_at_a_stop, routed_fixture) {
  auto Request = stream();
  Request->onSent(Now);
  Request->onHead(answer(200), Now);
  Request->onBody(event(1), Now);
  BOOST_TEST(Out.HasBegun);
  Request->onStop(Now);
  BOOST_TEST(Out.IsAborted);
  BOOST_TEST(!Out.HasEnded);
  BOOST_TEST(!Out.Refused.has_value());
}
