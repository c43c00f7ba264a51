#define BOOST_TEST_MODULE graceful_shutdown
#include "config.h"
#include "graceful_shutdown.h"
#include "stop_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

const mono_time Start{1h};
constexpr stop_limits Limits{1s, 200ms, 60s};

bool isIn(const graceful_shutdown &Stop, stop_phase Phase) {
  return Stop.phase() == Phase;
}

} // namespace

// Guards against a VM that refuses requests at once when it is replaced under
// load: every request sent before the load balancer's next probe would fail.
BOOST_AUTO_TEST_CASE(requests_are_accepted_during_grace_period) {
  graceful_shutdown Stop(Limits);
  Stop.requestStop(Start);
  Stop.advance(0, Start + 999ms);
  BOOST_TEST(isIn(Stop, stop_phase::NotReady));
  Stop.advance(3, Start + 1s);
  BOOST_TEST(isIn(Stop, stop_phase::Refusing));
}

// Guards against closing as soon as the last open request ends: a request that
// has just arrived on a keep-alive connection would be cut off, and its caller
// wouldn't know whether it ran.
BOOST_AUTO_TEST_CASE(close_waits_for_quiet_period) {
  graceful_shutdown Stop(Limits);
  Stop.requestStop(Start);
  Stop.advance(1, Start + 1s);
  Stop.onRequest(Start + 2s);
  Stop.advance(0, Start + 2100ms);
  BOOST_TEST(isIn(Stop, stop_phase::Refusing));
  Stop.advance(0, Start + 2200ms);
  BOOST_TEST(isIn(Stop, stop_phase::Ended));
}

// Guards against a stream that never ends and blocks the shutdown: a second
// signal or the timeout must end the process.
BOOST_AUTO_TEST_CASE(stop_is_forced_by_a_second_signal_or_the_limit) {
  graceful_shutdown Late(Limits);
  Late.requestStop(Start);
  Late.advance(1, Start + 59s);
  BOOST_TEST(isIn(Late, stop_phase::Refusing));
  Late.advance(1, Start + 60s);
  BOOST_TEST(isIn(Late, stop_phase::Forced));
  graceful_shutdown Twice(Limits);
  Twice.requestStop(Start);
  Twice.requestStop(Start + 1ms);
  BOOST_TEST(isIn(Twice, stop_phase::Forced));
}

// Failure: the grace period is shorter than the time in which a router takes
// new requests, so that it takes some just before it exits.
BOOST_AUTO_TEST_CASE(router_takes_no_requests_late_in_any_grace_period) {
  for (auto Grace = 0ms; Grace <= 30s; Grace += 100ms) {
    const auto [RefuseAfter, EndAfter] = stopSchedule(Grace);
    BOOST_TEST((RefuseAfter <= EndAfter / 2));
    BOOST_TEST(
        (EndAfter <= std::max<duration>(0s, Grace - config::StopExitMargin)));
  }
  BOOST_TEST((stopSchedule(8s).RefuseAfter == config::StopIdleCloseDelay));
}
