#define BOOST_TEST_MODULE crashing_request
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Engines = 6;
/// Endpoints that one request may crash before it counts as the cause, and how
/// often it may be sent after that.
constexpr unsigned CrashesAllowed = 3;
constexpr unsigned SendsAllowed = 3;
constexpr auto CrashingBody = "crashes every engine";

standin::endpoint_behaviour crashesOnBody() {
  standin::endpoint_behaviour Behaviour;
  Behaviour.Events = 3;
  Behaviour.CrashBody = CrashingBody;
  Behaviour.CrashCustomer = "t1";
  return Behaviour;
}

/// Engines that one request of one customer crashes.
struct fixture : routers_fixture {
  fixture() : routers_fixture(Engines, crashesOnBody()) {}

  unsigned crashes() {
    unsigned Sum = 0;
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        Sum += Endpoint->crashes();
    });
    return Sum;
  }
  /// Waits until every VM reports the quarantined request, or for as long as
  /// the platform allows VMs to learn of it.
  void waitForQuarantine() {
    for (int Each = 0; Each < 150; ++Each) {
      const bool IsKnown =
          std::all_of(Vms.begin(), Vms.end(), [](const auto &Vm) {
            return get(Vm->MetricsPort, "/metrics")
                       .find("clementine_requests_quarantined 1") !=
                   std::string::npos;
          });
      if (IsKnown)
        return;
      std::this_thread::sleep_for(20ms);
    }
  }
  void crashUntilQuarantined() {
    for (std::size_t Each = 0; crashes() < CrashesAllowed; ++Each)
      sendRequest(Each % Vms.size(), CrashingBody);
    waitForQuarantine();
  }
};

} // namespace

// A request crashes each endpoint that runs it and is sent to all VMs in turn.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_quarantined_on_all_vms, fixture) {
  for (int Each = 0; Each < 3; ++Each)
    startRouter();
  crashUntilQuarantined();
  const unsigned Before = crashes();
  for (std::size_t Each = 0; Each < 12; ++Each)
    sendRequest(Each % Vms.size(), CrashingBody);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
  BOOST_TEST(isServed(0, "another body"));
  BOOST_TEST(isServed(0, CrashingBody, "k2"));
}

// A VM starts after the crashes and has observed none of them.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_known_to_a_new_vm, fixture) {
  startRouter();
  crashUntilQuarantined();
  const unsigned Before = crashes();
  startRouter(false);
  for (int Each = 0; Each < 4; ++Each)
    sendRequest(1, CrashingBody);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
  BOOST_TEST(isServed(1, "another body"));
}

// Datagrams between VMs are lost: a VM can learn of the request only from the
// store.
BOOST_FIXTURE_TEST_CASE(crashing_request_is_known_without_datagrams, fixture) {
  startRouter(false);
  startRouter(false);
  while (crashes() < CrashesAllowed)
    sendRequest(0, CrashingBody);
  waitForQuarantine();
  const unsigned Before = crashes();
  for (int Each = 0; Each < 4; ++Each)
    sendRequest(1, CrashingBody);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
}

// A request is served at all VMs and crashes endpoints from some moment on.
BOOST_FIXTURE_TEST_CASE(served_request_that_crashes_later_is_quarantined,
                        fixture) {
  const auto SetCrashBody = [this](const std::string &Body) {
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        Endpoint->behaviour().CrashBody = Body;
    });
  };
  SetCrashBody("");
  for (int Each = 0; Each < 3; ++Each)
    startRouter();
  awaitPeers();
  for (std::size_t Each = 0; Each < Vms.size(); ++Each)
    BOOST_TEST(isServed(Each, CrashingBody));
  SetCrashBody(CrashingBody);
  crashUntilQuarantined();
  const unsigned Before = crashes();
  for (std::size_t Each = 0; Each < 12; ++Each)
    sendRequest(Each % Vms.size(), CrashingBody);
  BOOST_TEST(crashes() - Before <= SendsAllowed);
  BOOST_TEST(isServed(0, "another body"));
}
