#define BOOST_TEST_MODULE admission_gate
#include "admission_gate.h"

#include "config.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr share_key Big{7, 2, 0};
const mono_time Start{1h};

/// A VM whose peers report a shortage.
struct gate_fixture {
  service_shares Shares{1};
  return_schedule Returns;
  admission_gate Gate{Shares, Returns};
  mono_time Now = Start;
  std::uint64_t Requests = 0;

  void makeShort() {
    Shares.applyPeer("peer", {{{Big, 300}}, {{Big.Service, 100, 200}}}, Now);
    Shares.expire(Now + 200ms, 1h);
    Now += 200ms;
  }

  gate_request request(duration Target = 1s) {
    return {Big, ++Requests, Target, 10s};
  }

  /// The first refusal within many offers.
  std::pair<gate_request, gate_decision> refused() {
    for (int Each = 0; Each < 1000; ++Each) {
      const gate_request Request = request(0s);
      const gate_decision Decision = Gate.offer(Request, Now);
      Now += 10ms;
      if (Decision.Action == gate_action::Refuse)
        return {Request, Decision};
    }
    BOOST_FAIL("nothing was refused");
    return {};
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(everything_is_sent_without_a_shortage, gate_fixture) {
  for (int Each = 0; Each < 200; ++Each, Now += 1ms) {
    const gate_decision Decision = Gate.offer(request(), Now);
    BOOST_TEST((Decision.Action == gate_action::Send));
    BOOST_TEST(Decision.Rule == "enough_capacity");
    BOOST_TEST(Decision.AdmittedPart == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(about_the_admitted_part_is_sent, gate_fixture) {
  makeShort();
  unsigned Sent = 0;
  double Part = 0;
  for (int Each = 0; Each < 300; ++Each, Now += 10ms) {
    const gate_decision Decision = Gate.offer(request(0s), Now);
    Sent += Decision.Action == gate_action::Send ? 1 : 0;
    Part += Decision.AdmittedPart;
  }
  BOOST_TEST(Sent > 50U);
  BOOST_TEST(std::abs(Sent - Part) < 5);
}

BOOST_FIXTURE_TEST_CASE(refusals_name_a_return_in_time, gate_fixture) {
  makeShort();
  const auto [Request, Decision] = refused();
  BOOST_TEST(Decision.Rule == "beyond_share");
  BOOST_TEST((Decision.Time > 0s));
  BOOST_TEST(Decision.AdmittedPart < 1);
}

BOOST_FIXTURE_TEST_CASE(a_planned_return_goes_first_once, gate_fixture) {
  makeShort();
  const auto [Request, Decision] = refused();
  Now += Decision.Time;
  BOOST_TEST(Gate.offer(Request, Now).Rule == "planned_return");
  BOOST_TEST(Gate.offer(Request, Now).Rule != "planned_return");
}

// A caller that comes back before its time has no advantage.
BOOST_FIXTURE_TEST_CASE(an_early_return_is_an_ordinary_arrival, gate_fixture) {
  makeShort();
  const auto [Request, Decision] = refused();
  BOOST_TEST(Gate.offer(Request, Now).Rule != "planned_return");
}

BOOST_FIXTURE_TEST_CASE(waits_are_short_and_bounded, gate_fixture) {
  makeShort();
  for (int Each = 0; Each < 500; ++Each, Now += 5ms)
    Gate.offer(request(0s), Now);
  std::size_t Waits = 0;
  duration Last{};
  for (int Each = 0; Each < 1000; ++Each) {
    const gate_decision Decision = Gate.offer(request(20s), Now);
    if (Decision.Action != gate_action::Wait)
      continue;
    ++Waits;
    BOOST_TEST((Decision.Time <= 20s / config::UnnoticedWaitDivisor));
    BOOST_TEST((Decision.Time >= Last)); // in the order of arrival
    Last = Decision.Time;
  }
  BOOST_TEST(Waits > 0U);
  BOOST_TEST(Waits <= config::MaxShareWaits);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_held_back_when_off, gate_fixture) {
  makeShort();
  Gate.setEnabled(false);
  for (int Each = 0; Each < 200; ++Each)
    BOOST_TEST((Gate.offer(request(), Now).Action == gate_action::Send));
}

BOOST_FIXTURE_TEST_CASE(requests_without_customer_are_sent, gate_fixture) {
  makeShort();
  for (int Each = 0; Each < 200; ++Each) {
    gate_request Request = request();
    Request.Key.Customer = 0;
    BOOST_TEST((Gate.offer(Request, Now).Action == gate_action::Send));
  }
}
