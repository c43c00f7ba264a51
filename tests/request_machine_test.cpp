#define BOOST_TEST_MODULE request_machine
#include "request_machine.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
namespace event = request_event;
namespace action = request_action;

namespace {

request_plan makePlan(bool Idempotent) {
  request_plan Plan;
  Plan.RequestId = "r1";
  Plan.Customer = "c";
  Plan.Versions = {"m@1"};
  Plan.CostsPer1kTokens = {1};
  Plan.Idempotent = Idempotent;
  return Plan;
}

template <typename T> const T *find(const std::vector<request_output> &Out) {
  for (const request_output &Each : Out)
    if (const T *Found = std::get_if<T>(&Each))
      return Found;
  return nullptr;
}

request_machine dispatched(bool Idempotent) {
  request_machine Machine(makePlan(Idempotent));
  Machine.handle(event::started{});
  Machine.handle(event::admitted{});
  if (!Idempotent)
    Machine.handle(event::intent_decided{{intent_status::Won, {}}});
  Machine.handle(event::placed{"e1"});
  return Machine;
}

} // namespace

// An engine fails mid-stream. The next one resumes after the last token and
// repeats one; the caller gets each token once, in order.
BOOST_AUTO_TEST_CASE(stream_resumes_after_the_last_token) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::head{1, 200, ""});
  Machine.handle(event::tokens{1, {{0, "a"}, {1, "b"}}});
  const auto Failed = Machine.handle(
      event::failed{1, error_kind::EndpointFailed, run_state::MayHaveRun});
  BOOST_REQUIRE(find<action::place>(Failed));
  BOOST_TEST(find<action::place>(Failed)->ExcludedEndpoints.at(0) == "e1");
  const auto Placed = Machine.handle(event::placed{"e2"});
  BOOST_REQUIRE(find<action::dispatch>(Placed));
  BOOST_TEST(find<action::dispatch>(Placed)->ResumeFrom == 2U);
  BOOST_TEST(find<action::dispatch>(Placed)->PriorText == "ab");
  // Late tokens of the first attempt are ignored.
  BOOST_TEST(Machine.handle(event::tokens{1, {{2, "x"}}}).empty());
  const auto Sent = Machine.handle(event::tokens{2, {{1, "b"}, {2, "c"}}});
  BOOST_REQUIRE(find<action::send_tokens>(Sent));
  BOOST_TEST(find<action::send_tokens>(Sent)->Tokens.size() == 1U);
  BOOST_TEST(find<action::send_tokens>(Sent)->Tokens[0].Text == "c");
}

// The connection breaks after a booking was sent. It may have been booked and a
// retry could book twice, so the caller gets an error and no attempt follows.
BOOST_AUTO_TEST_CASE(non_idempotent_work_is_not_retried) {
  request_machine Machine = dispatched(false);
  const auto Failed = Machine.handle(
      event::failed{1, error_kind::EndpointFailed, run_state::MayHaveRun});
  BOOST_TEST(!find<action::place>(Failed));
  BOOST_REQUIRE(find<action::send_error>(Failed));
  BOOST_TEST((find<action::send_error>(Failed)->Ran == run_state::MayHaveRun));
  BOOST_REQUIRE(find<action::record_outcome>(Failed));
  BOOST_TEST((find<action::record_outcome>(Failed)->Outcome.End ==
              intent_end::Unknown));
}

// The caller disconnects during a booking. The booking completes, is billed and
// recorded, so that a repeat with the same key gets its answer.
BOOST_AUTO_TEST_CASE(
    non_idempotent_work_completes_after_the_caller_disconnects) {
  request_machine Machine = dispatched(false);
  BOOST_TEST(Machine.handle(event::caller_disconnected{}).empty());
  Machine.handle(event::tokens{1, {{0, "booked"}}});
  BOOST_TEST(find<action::store_usage>(
      Machine.handle(event::finished{1, 0, 0, "stop"})));
  const auto Kept = Machine.handle(event::usage_stored{{}});
  BOOST_REQUIRE(find<action::record_outcome>(Kept));
  BOOST_TEST(find<action::record_outcome>(Kept)->Outcome.Answer.Body ==
             "booked");
}

// Usage can't be stored. Sending the end of the answer would leave the request
// unbilled, so the caller gets an error.
BOOST_AUTO_TEST_CASE(answer_end_requires_stored_usage) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::tokens{1, {{0, "a"}}});
  const auto Done = Machine.handle(event::finished{1, 1, 1, "stop"});
  BOOST_TEST(!find<action::send_end>(Done));
  const auto Lost =
      Machine.handle(event::usage_stored{error_kind::LogUnavailable});
  BOOST_TEST(!find<action::send_end>(Lost));
  BOOST_TEST(find<action::send_error>(Lost));
}

// An intermediary dropped the connection's state and it went silent. The same
// endpoint is retried once on a new one.
BOOST_AUTO_TEST_CASE(silent_connection_is_retried_on_a_new_one) {
  request_machine Machine = dispatched(true);
  const auto Silent = Machine.handle(event::silent{1});
  BOOST_TEST(find<action::report_silence>(Silent));
  BOOST_REQUIRE(find<action::place>(Silent));
  BOOST_TEST(find<action::place>(Silent)->RequiredEndpoint == "e1");
  Machine.handle(event::placed{"e1"});
  const auto Again = Machine.handle(event::silent{2});
  BOOST_REQUIRE(find<action::place>(Again));
  BOOST_TEST(find<action::place>(Again)->RequiredEndpoint.empty());
  BOOST_TEST(find<action::place>(Again)->ExcludedEndpoints.at(0) == "e1");
}

// The final error is sent with the event that decides it, not at the deadline.
BOOST_AUTO_TEST_CASE(final_error_is_sent_immediately) {
  request_machine Machine(makePlan(true));
  Machine.handle(event::started{});
  Machine.handle(event::admitted{});
  const auto Out = Machine.handle(event::not_placed{error_kind::NoEndpoint});
  BOOST_REQUIRE(find<action::send_error>(Out));
  BOOST_TEST((find<action::send_error>(Out)->Ran == run_state::NotRun));
  BOOST_TEST(Machine.isDone());
}

// One read has tokens 0, 1 and 3; token 2 was lost. The resume starts at 2, so
// 0 and 1 must be forwarded from this read.
BOOST_AUTO_TEST_CASE(tokens_before_a_gap_reach_the_caller) {
  request_machine Machine = dispatched(true);
  const auto Out =
      Machine.handle(event::tokens{1, {{0, "a"}, {1, "b"}, {3, "x"}}});
  BOOST_REQUIRE(find<action::send_tokens>(Out));
  BOOST_TEST(find<action::send_tokens>(Out)->Tokens.size() == 2U);
  BOOST_TEST(find<action::cancel>(Out));
  const auto Placed = Machine.handle(event::placed{"e2"});
  BOOST_TEST(find<action::dispatch>(Placed)->ResumeFrom == 2U);
}

// The engine reports the end after 3 tokens and one of them was lost. Without a
// check the caller would get a truncated answer as complete.
BOOST_AUTO_TEST_CASE(token_count_mismatch_resumes) {
  for (const event::finished &Short :
       {event::finished{1, 4, 3, "stop"},
        event::finished{1, 4, 0, "stop", true}, event::finished{1, 4, 2, ""}}) {
    request_machine Machine = dispatched(true);
    Machine.handle(event::tokens{1, {{0, "a"}, {1, "b"}}});
    const auto Out = Machine.handle(Short);
    BOOST_TEST(!find<action::store_usage>(Out));
    BOOST_TEST(find<action::place>(Out));
  }
}

// A booking service starts its answer and then refuses with "not run". The work
// has started; a retry would book at a second endpoint.
BOOST_AUTO_TEST_CASE(refusal_after_the_answer_began_is_not_retried) {
  request_machine Machine = dispatched(false);
  Machine.handle(event::head{1, 200, "text/plain"});
  const auto Out = Machine.handle(
      event::failed{1, error_kind::EndpointRefused, run_state::NotRun});
  BOOST_TEST(!find<action::place>(Out));
  BOOST_REQUIRE(find<action::send_error>(Out));
  BOOST_TEST((find<action::send_error>(Out)->Ran == run_state::MayHaveRun));
}

// The caller disconnects between placement and the placed event. Unless the
// placement is released, the endpoint's in-flight count stays too high.
BOOST_AUTO_TEST_CASE(late_placement_is_released) {
  request_machine Machine(makePlan(true));
  Machine.handle(event::started{});
  Machine.handle(event::admitted{});
  Machine.handle(event::caller_disconnected{});
  BOOST_TEST(Machine.isDone());
  const auto Out = Machine.handle(event::placed{"e1"});
  BOOST_REQUIRE(find<action::release>(Out));
  BOOST_TEST(!find<action::dispatch>(Out));
}

// A connection goes silent and its endpoint starts to leave, so it can't be
// retried on a new connection. Another endpoint finishes the answer.
BOOST_AUTO_TEST_CASE(silent_endpoint_that_leaves_is_replaced) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::silent{1});
  const auto Out = Machine.handle(event::not_placed{error_kind::NoEndpoint});
  BOOST_REQUIRE(find<action::place>(Out));
  BOOST_TEST(find<action::place>(Out)->RequiredEndpoint.empty());
}

// A version is withdrawn for wrong answers while one of its streams breaks. A
// resume would be new work for it; the caller gets the withdrawal as error.
BOOST_AUTO_TEST_CASE(stream_of_a_withdrawn_version_is_not_resumed) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::tokens{1, {{0, "a"}}});
  Machine.handle(
      event::failed{1, error_kind::EndpointFailed, run_state::MayHaveRun});
  const auto Out =
      Machine.handle(event::not_placed{error_kind::NoVersionActive});
  BOOST_REQUIRE(find<action::send_error>(Out));
  const auto &Error = *find<action::send_error>(Out);
  BOOST_TEST((Error.Kind == error_kind::NoVersionActive));
  BOOST_TEST((Error.Ran == run_state::MayHaveRun));
}

// The cheap version's answer is rejected and no endpoint of the expensive one
// is available. The cheap version ran: the error must not say "not run", and
// its usage is stored as not delivered.
BOOST_AUTO_TEST_CASE(discarded_cascade_answer_is_billed_as_undelivered) {
  request_plan Plan = makePlan(true);
  Plan.Versions = {"s@1", "l@1"};
  Plan.CostsPer1kTokens = {1, 10};
  request_machine Machine(std::move(Plan));
  Machine.handle(event::started{});
  Machine.handle(event::admitted{});
  Machine.handle(event::placed{"e1"});
  Machine.handle(event::tokens{1, {{0, "a"}}});
  Machine.handle(event::finished{1, 1, 1, "stop"});
  const auto Evaluated = Machine.handle(event::answer_evaluated{false});
  BOOST_REQUIRE(find<action::place>(Evaluated));
  BOOST_TEST(!find<action::place>(Evaluated)->IsRetry);
  const auto Out = Machine.handle(event::not_placed{error_kind::NoEndpoint});
  BOOST_REQUIRE(find<action::send_error>(Out));
  BOOST_TEST((find<action::send_error>(Out)->Ran == run_state::MayHaveRun));
  BOOST_REQUIRE(find<action::store_usage>(Out));
  BOOST_TEST(!find<action::store_usage>(Out)->Record.Parts.at(0).Delivered);
  Machine.handle(event::usage_stored{{}});
  BOOST_TEST(Machine.isDone());
}

// The deadline passes while the usage of a complete answer is being stored. The
// work ran, its usage is stored, and the caller gets one error.
BOOST_AUTO_TEST_CASE(deadline_while_storing_usage) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::tokens{1, {{0, "a"}}});
  Machine.handle(event::finished{1, 1, 1, "stop"});
  const auto Out = Machine.handle(event::deadline_expired{});
  BOOST_REQUIRE(find<action::send_error>(Out));
  BOOST_TEST((find<action::send_error>(Out)->Ran == run_state::Ran));
  BOOST_TEST(!Machine.isDone());
  BOOST_TEST(!find<action::send_end>(Machine.handle(event::usage_stored{{}})));
  BOOST_TEST(Machine.isDone());
}
