#define BOOST_TEST_MODULE partitioned_vm
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Engines = 4;
constexpr unsigned Requests = 12;

struct fixture : routers_fixture {
  fixture() : routers_fixture(Engines, behaviour()) {
    for (int Each = 0; Each < 3; ++Each)
      startRouter();
    awaitPeers();
  }

  static standin::endpoint_behaviour behaviour() {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Events = 5;
    return Behaviour;
  }
  static bool isEngine(const std::string &Address) {
    for (unsigned Each = 0; Each < Engines; ++Each)
      if (Address == on(FirstEnginePort + Each))
        return true;
    return false;
  }
  void setLinks(std::size_t Vm, link_state State) {
    Thread.run([&] { Vms[Vm]->Connector.setLinks(State, isEngine); });
  }
  void
  setBehaviour(const std::function<void(standin::endpoint_behaviour &)> &Set) {
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        Set(Endpoint->behaviour());
    });
  }
  unsigned countServed(std::size_t Vm) {
    unsigned Served = 0;
    for (unsigned Each = 0; Each < Requests; ++Each)
      Served += isServed(Vm, "body" + std::to_string(Each)) ? 1 : 0;
    return Served;
  }
};

} // namespace

// A VM can't connect to any endpoint, while callers and the other VMs reach it.
// Its callers must be served as well as those of the other VMs.
BOOST_FIXTURE_TEST_CASE(vm_without_links_to_endpoints_serves_its_callers,
                        fixture) {
  for (const link_state State : {link_state::Refusing, link_state::Silent}) {
    setLinks(0, State);
    BOOST_TEST(countServed(0) == Requests);
    BOOST_TEST(countServed(1) == Requests);
    setLinks(0, link_state::Up);
  }
}

// A VM's links to the endpoints break while a stream runs. The stream must
// resume without loss, and the endpoint must not count as crashed: three such
// reports would quarantine the request on all VMs.
BOOST_FIXTURE_TEST_CASE(lost_links_are_not_endpoint_crashes, fixture) {
  setBehaviour([](standin::endpoint_behaviour &Its) {
    Its.Work = 50ms;
    Its.CutAfter = 3;
  });
  raw_peer Caller(Vms[0]->CallerPort);
  Caller.send(requestText("body"));
  BOOST_REQUIRE(Caller.readThrough("id: 1\n"));
  setLinks(0, link_state::Refusing);
  const std::string Rest = Caller.readAll();
  BOOST_TEST(Rest.find("id: 5\n") != std::string::npos);
  BOOST_TEST(Rest.ends_with("0\r\n\r\n"));
  BOOST_TEST(hasMetric(0, "clementine_endpoint_crashes_total 0"));
}

// A VM's own link is full: new connections to endpoints and to peers go
// unanswered. A connection that breaks meanwhile must not count as a crash of
// its endpoint: three such reports would quarantine the request on all VMs.
BOOST_FIXTURE_TEST_CASE(full_own_link_is_no_endpoint_crash, fixture) {
  setBehaviour([](standin::endpoint_behaviour &Its) {
    Its.Work = 50ms;
    Its.CutAfter = 3;
  });
  raw_peer Caller(Vms[0]->CallerPort);
  Caller.send(requestText("body"));
  BOOST_REQUIRE(Caller.readThrough("id: 1\n"));
  Thread.run([&] {
    Vms[0]->Connector.setLinks(link_state::Silent,
                               [](const std::string &) { return true; });
  });
  Caller.readAll();
  BOOST_TEST(hasMetric(0, "clementine_endpoint_crashes_total 0"));
}
