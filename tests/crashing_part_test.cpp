#define BOOST_TEST_MODULE crashing_part
#include "routers_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Engines = 8;
constexpr unsigned Routers = 4;
/// Crashes after which a part counts as the cause, the time that VMs have from
/// then on, and how often requests with it may still be sent.
constexpr std::size_t CrashesAllowed = 5;
constexpr auto ContactWindow = 3s;
constexpr std::size_t SendsAllowed = 3;

standin::endpoint_behaviour crashesOnPart() {
  standin::endpoint_behaviour Behaviour;
  Behaviour.Events = 3;
  Behaviour.CrashPart = "bad0";
  Behaviour.DownFor = 500ms;
  return Behaviour;
}

/// A prompt whose last part belongs to one request.
std::string withOwnPart(std::string Shared, const std::string &Own) {
  return Shared.append(",own").append(Own).append(":10");
}

struct fixture : routers_fixture {
  fixture() : routers_fixture(Engines, crashesOnPart()) {
    for (unsigned Each = 0; Each < Routers; ++Each)
      startRouter();
    awaitPeers();
  }

  using time_point = std::chrono::steady_clock::time_point;
  /// Times of an event at all endpoints, in order.
  template <typename Times> std::vector<time_point> collect(Times &&Of) {
    std::vector<time_point> All;
    Thread.run([&] {
      for (const auto &Endpoint : Endpoints)
        All.insert(All.end(), Of(*Endpoint).begin(), Of(*Endpoint).end());
    });
    std::sort(All.begin(), All.end());
    return All;
  }
  std::size_t countLateArrivals() {
    const auto Crashes =
        collect([](auto &Each) -> auto & { return Each.crashTimes(); });
    if (Crashes.size() < CrashesAllowed)
      return 0;
    const auto Arrivals =
        collect([](auto &Each) -> auto & { return Each.partArrivals(); });
    return static_cast<std::size_t>(std::count_if(
        Arrivals.begin(), Arrivals.end(), [&Crashes](time_point At) {
          return At > Crashes[CrashesAllowed - 1] + ContactWindow;
        }));
  }
  /// Callers send requests with the part, no two alike, and sound ones of the
  /// same customer that share the other parts.
  void run(const std::string &Bad, const std::string &Sound) {
    const time_point End = std::chrono::steady_clock::now() + 9s;
    const time_point Late = End - 3s;
    unsigned Sent = 0;
    unsigned Served = 0;
    for (unsigned Each = 0; std::chrono::steady_clock::now() < End; ++Each) {
      const std::string Own = std::to_string(Each);
      sendRequest(Each % Routers, "bad" + Own, "k1", withOwnPart(Bad, Own));
      const bool IsLate = std::chrono::steady_clock::now() > Late;
      const bool IsServed = isServed((Each + 1) % Routers, "sound" + Own, "k1",
                                     withOwnPart(Sound, Own));
      Sent += IsLate ? 1 : 0;
      Served += IsLate && IsServed ? 1 : 0;
      std::this_thread::sleep_for(20ms);
    }
    BOOST_TEST(countLateArrivals() <= SendsAllowed);
    BOOST_TEST(Sent > 20U);
    BOOST_TEST(2 * Served >= Sent);
  }
};

} // namespace

// Requests that share one part of their prompts, and nothing else, crash each
// endpoint that begins to answer them.
BOOST_FIXTURE_TEST_CASE(crashing_part_in_the_middle_is_quarantined, fixture) {
  run("aa:800,bad0:400,cc:200", "aa:800,cc:200");
}

// The endpoint crashes after it has sent most of the answer.
BOOST_FIXTURE_TEST_CASE(part_that_crashes_after_two_events_is_quarantined,
                        fixture) {
  Thread.run([this] {
    for (const auto &Endpoint : Endpoints)
      Endpoint->behaviour().CrashAfter = 2;
  });
  run("aa:800,bad0:400,cc:200", "aa:800,cc:200");
}

BOOST_FIXTURE_TEST_CASE(crashing_first_part_is_quarantined, fixture) {
  run("bad0:800,bb:400", "ab:800,bb:400");
}
