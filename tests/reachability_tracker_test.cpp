#define BOOST_TEST_MODULE reachability_tracker
#include "config.h"
#include "reachability_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

struct fixture {
  mono_time Now{1h};
  reachability_tracker Reach;
  std::vector<std::string> due() {
    return Reach.probesDue([](std::string_view) { return true; }, Now);
  }
  void connectRepeatedly(int Times, duration Elapsed) {
    for (int Each = 0; Each < Times; ++Each)
      Reach.connected("a9", "hall-a", Elapsed, Now);
  }
};

} // namespace

// A data centre is cut off, and each request tries its endpoints one after the
// other. The second failed endpoint must mark the data centre unreachable, and
// the first success must clear it.
BOOST_FIXTURE_TEST_CASE(two_unreachable_endpoints_mark_their_centre, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  BOOST_TEST(Reach.isUnreachable("b1", "hall-b"));
  BOOST_TEST(!Reach.isUnreachable("b2", "hall-b"));
  Reach.connectFailed("b2", "hall-b", Now);
  BOOST_TEST(Reach.isUnreachable("b3", "hall-b"));
  BOOST_TEST(Reach.isUnreachableByCentre("b3", "hall-b"));
  BOOST_TEST(!Reach.isUnreachable("a1", "hall-a"));
  Reach.connected("b3", "hall-b", 1ms, Now);
  BOOST_TEST(!Reach.isUnreachable("b3", "hall-b"));
  BOOST_TEST(Reach.isUnreachable("b1", "hall-b"));
}

// Endpoints crash one by one while others of their data centre respond. The
// data centre stays in use.
BOOST_FIXTURE_TEST_CASE(successful_connect_clears_the_centre, fixture) {
  for (const char *Id : {"a1", "a2", "a3", "a4"}) {
    Reach.connectFailed(Id, "hall-a", Now);
    Reach.connected("a9", "hall-a", 1ms, Now);
  }
  BOOST_TEST(!Reach.isUnreachable("a5", "hall-a"));
  BOOST_TEST(Reach.countUnreachable() == 4U);
}

// A long partition: probes are sent at a steady rate, not all at once.
BOOST_FIXTURE_TEST_CASE(unreachable_endpoints_are_probed_in_batches, fixture) {
  for (int Each = 0; Each < 20; ++Each)
    Reach.connectFailed("b" + std::to_string(Each), "hall-b", Now);
  BOOST_TEST(due().empty());
  Now += config::UnreachableProbeInterval;
  std::size_t Probes = 0;
  for (auto Batch = due(); !Batch.empty(); Batch = due()) {
    BOOST_TEST(Batch.size() <= config::MaxProbesPerRound);
    Probes += Batch.size();
  }
  BOOST_TEST(Probes == 20U);
}

// An unreachable endpoint is removed from the list: its state is dropped, and
// it no longer counts against its data centre.
BOOST_FIXTURE_TEST_CASE(removed_endpoints_are_forgotten, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("b2", "hall-b", Now);
  Now += 1s;
  const auto Due = Reach.probesDue([](std::string_view) { return false; }, Now);
  BOOST_TEST(Due.empty());
  BOOST_TEST(!Reach.isUnreachable("b3", "hall-b"));
}

// The VM's own link is full: connections to all data centres are late or go
// unanswered. One data centre alone is an outage of its own.
BOOST_FIXTURE_TEST_CASE(delays_everywhere_are_of_the_own_link, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("b2", "hall-b", Now);
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  connectRepeatedly(1, config::EndpointConnectTimeout);
  BOOST_TEST(Reach.isOwnLinkSlow(Now));
  connectRepeatedly(1, 1ms);
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("c1", "hall-c", Now, true); // refused: it was reached
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  Reach.peerUnanswered("hall-c", Now);
  BOOST_TEST(Reach.isOwnLinkSlow(Now));
  Reach.connectedThroughPeer();
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
}

// A data centre is cut off, with the peers in it: that is one outage, and its
// streams must move.
BOOST_FIXTURE_TEST_CASE(silent_peers_of_a_cut_centre_are_not_the_own_link,
                        fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("b2", "hall-b", Now);
  Reach.peerUnanswered("hall-b", Now);
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
}

// The own link is free again, but endpoints that failed before are still
// marked: streams to them are not given up until they fail once more.
BOOST_FIXTURE_TEST_CASE(failures_over_a_slow_link_are_doubtful, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
  Reach.connectFailed("c1", "hall-c", Now);
  connectRepeatedly(1, 1ms);
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  BOOST_TEST(!Reach.isSilent("b1", "hall-b"));
  BOOST_TEST(Reach.isUnreachable("b1", "hall-b"));
  Now += 2s;
  Reach.connectFailed("b1", "hall-b", Now);
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
}

// The own link is free for a moment and fills again: the first failures after
// that are all in one data centre, and no stream is given up for them.
BOOST_FIXTURE_TEST_CASE(streams_stay_while_the_own_link_fills_again, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("c1", "hall-c", Now);
  connectRepeatedly(1, 1ms);
  Now += 200ms;
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("b2", "hall-b", Now);
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
  BOOST_TEST(!Reach.isSilent("b1", "hall-b"));
  BOOST_TEST(!Reach.isSilent("b3", "hall-b"));
  BOOST_TEST(Reach.isUnreachable("b1", "hall-b"));
  BOOST_TEST(Reach.isUnreachable("b3", "hall-b"));
  Now += 2s;
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("b2", "hall-b", Now);
  BOOST_TEST(Reach.isSilent("b1", "hall-b"));
  BOOST_TEST(Reach.isSilent("b3", "hall-b"));
}

// A quiet VM has no prompt connection that would show that its link is free.
BOOST_FIXTURE_TEST_CASE(delays_of_the_own_link_expire, fixture) {
  Reach.connectFailed("b1", "hall-b", Now);
  Reach.connectFailed("c1", "hall-c", Now);
  BOOST_TEST(Reach.isOwnLinkSlow(Now));
  Now += 2s;
  BOOST_TEST(!Reach.isOwnLinkSlow(Now));
}

// Connections take a millisecond, but this VM pauses at times. A timeout
// derived from fast connections alone would take a pause for an outage.
BOOST_FIXTURE_TEST_CASE(connect_timeout_adapts_within_bounds, fixture) {
  BOOST_TEST(
      (Reach.connectTimeout("hall-a") == config::EndpointConnectTimeout));
  connectRepeatedly(100, 1ms);
  BOOST_TEST((Reach.connectTimeout("hall-a") == config::MinConnectTimeout));
  BOOST_TEST(
      (Reach.connectTimeout("hall-b") == config::EndpointConnectTimeout));
  for (int Each = 0; Each < 100; ++Each)
    connectRepeatedly(1, Each % 2 == 0 ? 1ms : 40ms);
  BOOST_TEST((Reach.connectTimeout("hall-a") > 150ms));
  connectRepeatedly(100, 2s);
  BOOST_TEST(
      (Reach.connectTimeout("hall-a") == config::EndpointConnectTimeout));
}
