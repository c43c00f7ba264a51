#define BOOST_TEST_MODULE reach_watch
#include "config.h"
#include "reach_watch.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

struct fixture {
  mono_time Now{1h};
  reach_watch Reach;
  std::vector<std::string> due() {
    return Reach.probesDue([](std::string_view) { return true; }, Now);
  }
  void hear(int Times, duration Took) {
    for (int Each = 0; Each < Times; ++Each)
      Reach.connected("a9", "hall-a", Took);
  }
};

} // namespace

// A data centre is cut off. Callers saw each request try one endpoint there
// after the other; now the second that doesn't answer speaks for all of them,
// and the first one that does speaks for them again.
BOOST_FIXTURE_TEST_CASE(two_silent_endpoints_speak_for_their_centre, fixture) {
  Reach.failed("b1", "hall-b", Now);
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
  BOOST_TEST(!Reach.isSilent("b2", "hall-b"));
  Reach.failed("b2", "hall-b", Now);
  BOOST_TEST(Reach.isSilent("b3", "hall-b"));
  BOOST_TEST(Reach.isSilentByCentre("b3", "hall-b"));
  BOOST_TEST(!Reach.isSilent("a1", "hall-a"));
  Reach.connected("b3", "hall-b", 1ms);
  BOOST_TEST(!Reach.isSilent("b3", "hall-b"));
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
}

// Endpoints crash one by one while others of their data centre answer. Their
// data centre stays in use.
BOOST_FIXTURE_TEST_CASE(an_answer_in_between_clears_the_centre, fixture) {
  for (const char *Id : {"a1", "a2", "a3", "a4"}) {
    Reach.failed(Id, "hall-a", Now);
    Reach.connected("a9", "hall-a", 1ms);
  }
  BOOST_TEST(!Reach.isSilent("a5", "hall-a"));
  BOOST_TEST(Reach.silent() == 4U);
}

// The cut lasts. Probes come at a steady pace, and not all at once.
BOOST_FIXTURE_TEST_CASE(silent_endpoints_are_probed_in_turn, fixture) {
  for (int Each = 0; Each < 20; ++Each)
    Reach.failed("b" + std::to_string(Each), "hall-b", Now);
  BOOST_TEST(due().empty());
  Now += config::SilentProbePause;
  std::size_t Probes = 0;
  for (auto Some = due(); !Some.empty(); Some = due()) {
    BOOST_TEST(Some.size() <= config::MaxSilentProbes);
    Probes += Some.size();
  }
  BOOST_TEST(Probes == 20U);
}

// An endpoint's entry goes while it is silent: nothing is left of it, and it
// no longer speaks against its data centre.
BOOST_FIXTURE_TEST_CASE(endpoints_that_are_gone_are_forgotten, fixture) {
  Reach.failed("b1", "hall-b", Now);
  Reach.failed("b2", "hall-b", Now);
  Now += 1s;
  const auto Due = Reach.probesDue([](std::string_view) { return false; }, Now);
  BOOST_TEST(Due.empty());
  BOOST_TEST(!Reach.isSilent("b3", "hall-b"));
}

// Connections take a millisecond, but this VM stands still at times. A timeout
// from one fast connection would take such a pause for silence.
BOOST_FIXTURE_TEST_CASE(connect_time_is_learned_within_bounds, fixture) {
  BOOST_TEST(
      (Reach.connectTimeout("hall-a") == config::EndpointConnectTimeout));
  hear(100, 1ms);
  BOOST_TEST((Reach.connectTimeout("hall-a") == config::LeastConnectTimeout));
  BOOST_TEST(
      (Reach.connectTimeout("hall-b") == config::EndpointConnectTimeout));
  for (int Each = 0; Each < 100; ++Each)
    hear(1, Each % 2 == 0 ? 1ms : 40ms);
  BOOST_TEST((Reach.connectTimeout("hall-a") > 150ms));
  hear(100, 2s);
  BOOST_TEST(
      (Reach.connectTimeout("hall-a") == config::EndpointConnectTimeout));
}
