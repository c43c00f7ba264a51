#define BOOST_TEST_MODULE peer_list
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr unsigned VmCount = 3;
/// Digests go to silent peers in turn, so a long list takes some rounds.
constexpr auto HeardTimeout = 20s;

struct fixture : routers_fixture {
  fixture() : routers_fixture(2, behaviour()) {}

  static standin::endpoint_behaviour behaviour() {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Events = 3;
    return Behaviour;
  }
  void put(const std::string &Key, const std::string &Value) {
    Thread.run([&] { Store->put("keyed.routers", Key, Value); });
  }
  /// Number of VMs that hear all others in time.
  unsigned countConnected() {
    const auto End = std::chrono::steady_clock::now() + HeardTimeout;
    const std::string Line =
        "clementine_peers_heard " + std::to_string(VmCount - 1);
    unsigned Count = 0;
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
      while (!hasMetric(Vm, Line) && std::chrono::steady_clock::now() < End)
        std::this_thread::sleep_for(20ms);
      Count += hasMetric(Vm, Line) ? 1 : 0;
    }
    return Count;
  }
  void startRouters() {
    for (unsigned Each = 0; Each < VmCount; ++Each)
      startRouter();
  }
};

} // namespace

// Failure: VMs that are gone fill the first page of the list of routers, and
// the live ones stand behind it.
BOOST_FIXTURE_TEST_CASE(routers_beyond_the_first_page_hear_each_other,
                        fixture) {
  for (unsigned Each = 0; Each < 600; ++Each)
    put("gone-" + std::to_string(Each),
        "127.0.0.1:" + std::to_string(20000 + Each));
  startRouters();
  BOOST_TEST(countConnected() == VmCount);
}

// Failure: another writer's entries stand in the list of routers.
BOOST_FIXTURE_TEST_CASE(odd_registrations_leave_the_others, fixture) {
  Thread.run([&] {
    Store->setPageSize(2);
    for (const std::string Place : {"!", "vm0x", "z"})
      Store->listItem("keyed.routers", Place, "null");
  });
  put("odd&1", "no address");
  put("odd 2", "127.0.0.1:0");
  put("vm1\xff", std::string(1000, 'x'));
  startRouters();
  BOOST_TEST(countConnected() == VmCount);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    BOOST_TEST(isServed(Vm, "body"));
}
