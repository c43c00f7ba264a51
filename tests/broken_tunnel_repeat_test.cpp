#define BOOST_TEST_MODULE broken_tunnel_repeat
#include "broken_tunnel_fixture.h"

using namespace clementinelane;
using namespace std::chrono_literals;

// The VM at the other end of a tunnel dies, is cut off by a reset, or falls
// silent amid a stream: the stream goes on over another path.
BOOST_FIXTURE_TEST_CASE(stream_outlives_its_tunnel, broken_tunnel_fixture) {
  for (const tunnel_fault Fault : AllFaults)
    checkStream([&] { breakTunnels(Fault); });
}

// The same for a request that may be repeated.
BOOST_FIXTURE_TEST_CASE(idempotent_request_outlives_its_tunnel,
                        broken_tunnel_fixture) {
  for (const tunnel_fault Fault : AllFaults)
    checkLookup([&] { breakTunnels(Fault); });
}

// An earlier release at the other end sends bare bytes, whose end says nothing.
BOOST_FIXTURE_TEST_CASE(tunnels_of_an_earlier_release_break_alike,
                        broken_tunnel_fixture) {
  hideFrames();
  for (const tunnel_fault Fault : PlainFaults) {
    checkStream([&] { breakTunnels(Fault); });
    checkLookup([&] { breakTunnels(Fault); });
    checkOrder([&] { breakTunnels(Fault); }, false);
  }
  checkOrder([] {}, true);
}
