#define BOOST_TEST_MODULE store_copy
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

/// Far beyond the platform's bound on a change of the configuration.
constexpr auto WaitLimit = 10s;
constexpr unsigned VmCount = 4;

struct fixture : routers_fixture {
  fixture() : routers_fixture(2, streams()) {
    for (unsigned Each = 0; Each < VmCount; ++Each)
      startRouter();
    awaitPeers();
  }

  static standin::endpoint_behaviour streams() {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Events = 3;
    return Behaviour;
  }
  void writeConfiguration(unsigned Version,
                          const std::vector<std::string> &Keys) {
    nlohmann::json Body = configuration();
    Body["version"] = Version;
    Body["tenants"] = {{{"name", "t1"}, {"api_keys", Keys}}};
    Thread.run([&] { Store->put("keyed.op", "config", Body.dump()); });
  }
  /// Number of VMs that have the configuration in use by then.
  unsigned countVmsAt(unsigned Version) {
    const auto End = std::chrono::steady_clock::now() + WaitLimit;
    const std::string Line =
        "clementine_configuration_version " + std::to_string(Version);
    unsigned Count = 0;
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
      while (!hasMetric(Vm, Line) && std::chrono::steady_clock::now() < End)
        std::this_thread::sleep_for(5ms);
      Count += hasMetric(Vm, Line) ? 1 : 0;
    }
    return Count;
  }
};

} // namespace

// The store goes back to a copy and gives out offsets again. VMs that ask their
// peers from an old offset never get the records below it.
BOOST_FIXTURE_TEST_CASE(configuration_after_restored_copy_reaches_all_vms,
                        fixture) {
  Thread.run([&] { Store->keepCopy(); });
  constexpr unsigned Newest = 10;
  for (unsigned Version = 2; Version <= Newest; ++Version)
    writeConfiguration(Version, {"k1", "k2"});
  BOOST_TEST(countVmsAt(Newest) == VmCount);
  Thread.run([&] { Store->restoreCopy(); });
  writeConfiguration(Newest + 1, {"k1", "k3"});
  BOOST_TEST(countVmsAt(Newest + 1) == VmCount);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    BOOST_TEST(isServed(Vm, "body", "k3"));
    BOOST_TEST(!isServed(Vm, "body", "k2"));
  }
}

// The copy has a key that was revoked since. VMs that had the newer
// configuration don't go back to it.
BOOST_FIXTURE_TEST_CASE(revoked_key_stays_revoked_after_restored_copy,
                        fixture) {
  Thread.run([&] { Store->keepCopy(); });
  writeConfiguration(2, {"k1"});
  BOOST_TEST(countVmsAt(2) == VmCount);
  Thread.run([&] { Store->restoreCopy(); });
  writeConfiguration(2, {"k1"});
  writeConfiguration(3, {"k1"});
  BOOST_TEST(countVmsAt(3) == VmCount);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    BOOST_TEST(isServed(Vm, "body", "k1"));
    BOOST_TEST(!isServed(Vm, "body", "k2"));
  }
}
