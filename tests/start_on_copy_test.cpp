#define BOOST_TEST_MODULE start_on_copy
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

/// Two routers: one has read what the operator wrote since the copy, the other
/// starts on the copy. Engines 1 and 2 have newer versions or another place
/// than engine 0.
struct older_orders_fixture : routers_fixture {
  static constexpr int Requests = 12;
  static constexpr auto WaitLimit = 10s;

  older_orders_fixture() : routers_fixture(3, streams()) { startRouter(); }
  static standin::endpoint_behaviour streams() {
    standin::endpoint_behaviour Behaviour;
    Behaviour.Events = 3;
    return Behaviour;
  }
  bool isOrderRead(const std::string &Target) {
    const auto End = std::chrono::steady_clock::now() + WaitLimit;
    while (!isInProgress(Target)) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      std::this_thread::sleep_for(20ms);
    }
    return true;
  }
  void list(unsigned Engine, const std::string &Field,
            const std::string &Value) {
    nlohmann::json Entry =
        nlohmann::json::parse(entry(on(FirstEnginePort + Engine)));
    Entry[Field] = Value;
    Thread.run([&] {
      Store->put("keyed.servers", "e" + std::to_string(Engine), Entry.dump());
    });
  }
  void listVersions() {
    list(1, "version", "v2");
    list(2, "version", "v3");
  }
  void order(const std::string &Target) {
    const nlohmann::json Order{
        {"service", "engine"}, {"target", Target}, {"duration_s", 60}};
    Thread.run([&] { Store->put("keyed.op", "rollout/engine", Order.dump()); });
    BOOST_TEST(isOrderRead(Target));
  }
  bool isInProgress(const std::string &Target) {
    std::optional<std::string> Status;
    Thread.run(
        [&] { Status = Store->newest("keyed.status", "rollout/engine"); });
    return Status && Status->find(Target) != std::string::npos;
  }
  void end(const std::string &Target, const std::string &State) {
    const nlohmann::json Status{{"target", Target}, {"state", State}};
    Thread.run(
        [&] { Store->put("keyed.status", "rollout/engine", Status.dump()); });
    std::this_thread::sleep_for(3 * config::StatusPollInterval);
  }
  void startOnCopy() {
    Thread.run([&] { Store->restoreCopy(); });
    startRouter();
    for (int Each = 0; Each < Requests; ++Each)
      BOOST_TEST(isServed(1, "body"));
  }
  std::size_t arrivals(std::size_t Engine) {
    std::size_t Count = 0;
    Thread.run([&] { Count = Endpoints[Engine]->arrivals().size(); });
    return Count;
  }
};

} // namespace

// The copy lacks an order and that it was rolled back. The router that starts
// takes the bad version for one in regular use.
BOOST_FIXTURE_TEST_CASE(version_rolled_back_since_copy_gets_no_request,
                        older_orders_fixture) {
  listVersions();
  Thread.run([&] { Store->keepCopy(); });
  order("v2");
  end("v2", "rolled_back");
  list(2, "version", "v1");
  startOnCopy();
  BOOST_TEST(arrivals(1) == 0U);
}

// The copy lacks that an order was completed. The router that starts sends to
// the version that is withdrawn.
BOOST_FIXTURE_TEST_CASE(version_withdrawn_since_copy_gets_no_request,
                        older_orders_fixture) {
  list(1, "version", "v2");
  Thread.run([&] { Store->keepCopy(); });
  order("v2");
  end("v2", "completed");
  startOnCopy();
  BOOST_TEST(arrivals(0) == 0U);
  BOOST_TEST(arrivals(2) == 0U);
}

// The copy has an order that was replaced since. The router that starts begins
// it anew, and takes the version of the newer order for one in regular use.
BOOST_FIXTURE_TEST_CASE(order_replaced_since_copy_is_not_begun_anew,
                        older_orders_fixture) {
  listVersions();
  order("v2");
  Thread.run([&] { Store->keepCopy(); });
  order("v3");
  startOnCopy();
  BOOST_TEST(arrivals(1) == 0U);
  BOOST_TEST(arrivals(2) == 0U);
}
