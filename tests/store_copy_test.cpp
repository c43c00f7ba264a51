#define BOOST_TEST_MODULE store_copy
#include "routers_fixture.h"

#include "request_quarantine.h"

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

  explicit fixture(const standin::endpoint_behaviour &Behaviour)
      : routers_fixture(6, Behaviour) {
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
  template <typename Condition> static bool isTrueInTime(Condition IsTrue) {
    const auto End = std::chrono::steady_clock::now() + WaitLimit;
    while (!IsTrue()) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      std::this_thread::sleep_for(20ms);
    }
    return true;
  }
  std::optional<std::string> newest(const std::string &Topic,
                                    const std::string &Key) {
    std::optional<std::string> Value;
    Thread.run([&] { Value = Store->newest(Topic, Key); });
    return Value;
  }
  bool isRegistered(const std::string &Vm) {
    return newest("keyed.routers", Vm).has_value();
  }
  /// Number of records that were ever written to a topic of the copy.
  static std::uint64_t countRecords(const std::string &Topic) {
    const std::string Answer =
        get(17501, "/api/log-newest?topic=" + Topic + "&part=0");
    return nlohmann::json::parse(Answer.substr(Answer.find("\r\n\r\n") + 4))
        .at("end_offset");
  }
  bool isHeardByAll(std::size_t VmsLeft) {
    return isTrueInTime([&] {
      for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
        if (!hasMetric(Vm,
                       "clementine_peers_heard " + std::to_string(VmsLeft - 1)))
          return false;
      return true;
    });
  }
  void startRouterSinceCopy() {
    Thread.run([&] { Store->keepCopy(); });
    startRouter();
    awaitPeers();
  }
  void goBack() {
    Thread.run([&] { Store->restoreCopy(); });
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

namespace {

/// Two routers, which both read the store: one runs, one starts later.
struct late_start_fixture : routers_fixture {
  late_start_fixture() : routers_fixture(2, fixture::streams()) {
    startRouter();
  }
  void writeConfiguration(unsigned Version,
                          const std::vector<std::string> &Keys) {
    nlohmann::json Body = configuration();
    Body["version"] = Version;
    Body["tenants"] = {{{"name", "t1"}, {"api_keys", Keys}}};
    Thread.run([&] { Store->put("keyed.op", "config", Body.dump()); });
  }
};

} // namespace

// A router starts while the store is back from a copy that has a revoked key.
// It reads the store itself, and another router knows the newer configuration.
BOOST_FIXTURE_TEST_CASE(router_started_on_older_copy_refuses_revoked_key,
                        late_start_fixture) {
  Thread.run([&] { Store->keepCopy(); });
  writeConfiguration(2, {"k1"});
  BOOST_TEST(fixture::isTrueInTime(
      [&] { return hasMetric(0, "clementine_configuration_version 2"); }));
  Thread.run([&] { Store->restoreCopy(); });
  startRouter();
  BOOST_TEST(!isServed(1, "body", "k2"));
  BOOST_TEST(isServed(1, "body", "k1"));
  BOOST_TEST(!isServed(0, "body", "k2"));
}

// The list of routers has only dead ones. A router that starts becomes ready
// all the same, though nobody tells it of a configuration.
BOOST_FIXTURE_TEST_CASE(router_started_among_dead_peers_serves,
                        late_start_fixture) {
  Thread.run([&] {
    for (unsigned Each = 0; Each < 40; ++Each)
      Store->put("keyed.routers", "gone" + std::to_string(Each),
                 "127.0.0.1:" + std::to_string(17800 + Each));
    Vms.front()->Platform->stop();
    Vms.clear();
  });
  startRouter();
  BOOST_TEST(isServed(0, "body", "k1"));
}

// A router registered since the copy. Its address is lost, and routers that
// start later never send to it.
BOOST_FIXTURE_TEST_CASE(registration_since_copy_is_written_again, fixture) {
  startRouterSinceCopy();
  goBack();
  BOOST_TEST(isTrueInTime([&] { return isRegistered("vm4"); }));
  startRouter();
  BOOST_TEST(isHeardByAll(VmCount + 2));
}

// A router starts before a lost registration is written again. Each lists the
// topic without the other.
BOOST_FIXTURE_TEST_CASE(router_started_before_rewrite_is_heard, fixture) {
  startRouterSinceCopy();
  goBack();
  startRouter();
  BOOST_TEST(isHeardByAll(VmCount + 2));
}

// All routers write after a new era, also those whose entry is there, or each
// more than once.
BOOST_FIXTURE_TEST_CASE(only_lost_registration_is_written_again, fixture) {
  startRouterSinceCopy();
  goBack();
  BOOST_TEST(isTrueInTime([&] { return isRegistered("vm4"); }));
  std::this_thread::sleep_for(config::EraCheckSpread +
                              config::PeerListRetryDelay);
  BOOST_TEST(countRecords("keyed.routers") == VmCount + 1);
}

// The store goes back again before, or just after, a lost registration is
// written.
BOOST_FIXTURE_TEST_CASE(registration_survives_second_copy, fixture) {
  startRouterSinceCopy();
  goBack();
  std::this_thread::sleep_for(500ms);
  goBack();
  BOOST_TEST(isTrueInTime([&] { return isRegistered("vm4"); }));
  goBack();
  BOOST_TEST(isTrueInTime([&] { return isRegistered("vm4"); }));
}

// The store answers no call while a lost registration is due.
BOOST_FIXTURE_TEST_CASE(registration_is_written_after_failed_calls, fixture) {
  startRouterSinceCopy();
  goBack();
  std::this_thread::sleep_for(300ms); // the era becomes known
  Thread.run([&] { Store->setFault(standin::store_fault::Busy); });
  std::this_thread::sleep_for(config::EraCheckSpread);
  Thread.run([&] { Store->setFault(standin::store_fault::None); });
  BOOST_TEST(isTrueInTime([&] { return isRegistered("vm4"); }));
}

namespace {

constexpr auto CrashingBody = "crashes every engine";

struct crashing_fixture : fixture {
  crashing_fixture() : fixture(crashes()) {}

  static standin::endpoint_behaviour crashes() {
    standin::endpoint_behaviour Behaviour = streams();
    Behaviour.CrashBody = CrashingBody;
    Behaviour.CrashCustomer = "t1";
    return Behaviour;
  }
  bool isHeld(std::size_t Vm) {
    return isTrueInTime(
        [&] { return hasMetric(Vm, "clementine_requests_quarantined 1"); });
  }
  bool isStored() {
    return isTrueInTime([&] { return !storedNotes().empty(); });
  }
  /// Notes of quarantined requests in the store.
  std::vector<crash_note> storedNotes() {
    std::vector<crash_note> Found;
    const std::string Answer =
        get(17501, "/api/log-newest?topic=keyed.quarantine&part=0");
    const auto Page =
        decodeNewestPage(Answer.substr(Answer.find("\r\n\r\n") + 4));
    for (const topic_record &Record : Page->Records) {
      const auto Notes = decodeCrashNotes(*Record.Value);
      for (const crash_note &Note : Notes.value())
        if (Note.Crashes.size() >= config::QuarantineCrashThreshold)
          Found.push_back(Note);
    }
    return Found;
  }
  void quarantineRequest() {
    for (std::size_t Each = 0; Each < 3; ++Each)
      sendRequest(Each % VmCount, CrashingBody);
    BOOST_TEST(isHeld(0));
    BOOST_TEST(isStored());
    std::this_thread::sleep_for(config::QuarantineBackupSaveDelay +
                                config::QuarantineSaveRetryDelay);
  }
};

} // namespace

// A request was quarantined since the copy. Its entry is lost, and a router
// that starts later and receives no datagrams sends it to endpoints.
BOOST_FIXTURE_TEST_CASE(quarantine_since_copy_is_written_again,
                        crashing_fixture) {
  Thread.run([&] { Store->keepCopy(); });
  quarantineRequest();
  const auto Before = storedNotes();
  goBack();
  BOOST_TEST(isStored());
  startRouter(false);
  BOOST_TEST(isHeld(VmCount));
  // The rewrite must not extend the quarantine.
  const auto After = storedNotes();
  BOOST_REQUIRE(!Before.empty());
  BOOST_REQUIRE(!After.empty());
  BOOST_TEST(std::abs(After.front().LastMs - Before.front().LastMs) < 1000);
}

// Readers write entries that the copy has, or write one more than once.
BOOST_FIXTURE_TEST_CASE(stored_quarantine_is_not_written_again,
                        crashing_fixture) {
  quarantineRequest();
  Thread.run([&] { Store->keepCopy(); });
  const std::uint64_t Before = countRecords("keyed.quarantine");
  goBack();
  std::this_thread::sleep_for(config::EraCheckSpread +
                              2 * config::QuarantineSaveRetryDelay);
  BOOST_TEST(countRecords("keyed.quarantine") == Before);
}
