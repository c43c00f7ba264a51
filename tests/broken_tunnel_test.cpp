#define BOOST_TEST_MODULE broken_tunnel
#include "broken_tunnel_fixture.h"

using namespace clementinelane;
using namespace std::chrono_literals;

// The VM at the other end of a tunnel dies, is cut off by a reset, or falls
// silent amid a request that isn't idempotent: it isn't repeated, and its
// caller isn't told that it may repeat it.
BOOST_FIXTURE_TEST_CASE(order_in_a_broken_tunnel_runs_once,
                        broken_tunnel_fixture) {
  for (const tunnel_fault Fault : AllFaults)
    checkOrder([&] { breakTunnels(Fault); }, false);
}

// The VM at the other end stops as planned: what runs through it ends first.
BOOST_FIXTURE_TEST_CASE(stream_outlives_a_stop, broken_tunnel_fixture) {
  checkStream([&] { stopHolder(); });
}

BOOST_FIXTURE_TEST_CASE(idempotent_request_outlives_a_stop,
                        broken_tunnel_fixture) {
  checkLookup([&] { stopHolder(); });
}

BOOST_FIXTURE_TEST_CASE(order_outlives_a_stop, broken_tunnel_fixture) {
  checkOrder([&] { stopHolder(); }, true);
}

// An earlier release opens the tunnel: it gets bare bytes, and a close in order
// after the endpoint's answer.
BOOST_FIXTURE_TEST_CASE(tunnel_for_an_earlier_release_is_bare,
                        broken_tunnel_fixture) {
  setAnswers(3, 5ms);
  raw_peer Opener(static_cast<std::uint16_t>(Vms[1]->CallerPort + 3U));
  const std::string Target = on(FirstEnginePort);
  Opener.send("CONNECT " + Target + " HTTP/1.1\r\nHost: " + Target +
              "\r\n\r\n");
  BOOST_TEST(Opener.readUntil("\r\n\r\n").find("Tunnel-") == std::string::npos);
  Opener.send(requestText("body"));
  const std::string Answer = Opener.readAll();
  BOOST_TEST(Answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(Answer.ends_with("0\r\n\r\n"));
}
