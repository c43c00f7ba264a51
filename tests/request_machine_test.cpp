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

// An engine dies in the middle of a stream. The next engine resumes from the
// last token and repeats one; the caller gets each token once, in order.
BOOST_AUTO_TEST_CASE(stream_resumes_after_the_last_token) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::head{1, 200, ""});
  Machine.handle(event::tokens{1, {{0, "a"}, {1, "b"}}});
  const auto Failed = Machine.handle(
      event::failed{1, error_kind::EndpointFailed, run_state::MayHaveRun});
  BOOST_REQUIRE(find<action::place>(Failed));
  BOOST_TEST(find<action::place>(Failed)->Exclude.at(0) == "e1");
  const auto Placed = Machine.handle(event::placed{"e2"});
  BOOST_REQUIRE(find<action::dispatch>(Placed));
  BOOST_TEST(find<action::dispatch>(Placed)->ResumeFrom == 2U);
  BOOST_TEST(find<action::dispatch>(Placed)->SoFar == "ab");
  // The first engine's answer comes late and belongs to nobody.
  BOOST_TEST(Machine.handle(event::tokens{1, {{2, "x"}}}).empty());
  const auto Sent = Machine.handle(event::tokens{2, {{1, "b"}, {2, "c"}}});
  BOOST_REQUIRE(find<action::send_tokens>(Sent));
  BOOST_TEST(find<action::send_tokens>(Sent)->Tokens.size() == 1U);
  BOOST_TEST(find<action::send_tokens>(Sent)->Tokens[0].Text == "c");
}

// A booking was sent and its connection broke. It may have been booked; a
// second attempt would book twice, so there is none and the caller is told.
BOOST_AUTO_TEST_CASE(non_idempotent_work_is_not_tried_again) {
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

// The caller of a booking goes away while it runs. The booking is awaited,
// billed and recorded, so that a repeat of the key gets its answer.
BOOST_AUTO_TEST_CASE(non_idempotent_work_is_awaited_without_its_caller) {
  request_machine Machine = dispatched(false);
  BOOST_TEST(Machine.handle(event::caller_gone{}).empty());
  Machine.handle(event::tokens{1, {{0, "booked"}}});
  BOOST_TEST(find<action::keep_usage>(
      Machine.handle(event::finished{1, 0, 0, "stop"})));
  const auto Kept = Machine.handle(event::usage_kept{{}});
  BOOST_REQUIRE(find<action::record_outcome>(Kept));
  BOOST_TEST(find<action::record_outcome>(Kept)->Outcome.Answer.Body ==
             "booked");
}

// The bill can't be kept anywhere. If the last byte went out all the same, the
// request would be answered and never billed; the caller gets an error.
BOOST_AUTO_TEST_CASE(no_last_byte_without_a_kept_bill) {
  request_machine Machine = dispatched(true);
  Machine.handle(event::tokens{1, {{0, "a"}}});
  const auto Done = Machine.handle(event::finished{1, 1, 1, "stop"});
  BOOST_TEST(!find<action::send_end>(Done));
  const auto Lost =
      Machine.handle(event::usage_kept{error_kind::LogUnavailable});
  BOOST_TEST(!find<action::send_end>(Lost));
  BOOST_TEST(find<action::send_error>(Lost));
}

// A connection went silent because something between the ends forgot it. All
// pooled connections are dropped and the same endpoint gets a fresh one.
BOOST_AUTO_TEST_CASE(silence_is_cured_on_a_fresh_connection) {
  request_machine Machine = dispatched(true);
  const auto Silent = Machine.handle(event::silent{1});
  BOOST_TEST(find<action::drop_connections>(Silent));
  BOOST_REQUIRE(find<action::place>(Silent));
  BOOST_TEST(find<action::place>(Silent)->Only == "e1");
  Machine.handle(event::placed{"e1"});
  const auto Again = Machine.handle(event::silent{2});
  BOOST_REQUIRE(find<action::place>(Again));
  BOOST_TEST(find<action::place>(Again)->Only.empty());
  BOOST_TEST(find<action::place>(Again)->Exclude.at(0) == "e1");
}

// A request is given up on. Its final answer goes out with the event that
// decided it, not at the deadline.
BOOST_AUTO_TEST_CASE(final_error_is_sent_at_once) {
  request_machine Machine(makePlan(true));
  Machine.handle(event::started{});
  Machine.handle(event::admitted{});
  const auto Out = Machine.handle(event::not_placed{error_kind::NoEndpoint});
  BOOST_REQUIRE(find<action::send_error>(Out));
  BOOST_TEST((find<action::send_error>(Out)->Ran == run_state::NotRun));
  BOOST_TEST(Machine.isDone());
}
