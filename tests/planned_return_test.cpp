#define BOOST_TEST_MODULE planned_return
#include "routers_fixture.h"

#include "peer_datagrams.h"
#include "return_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

struct fixture : routers_fixture {
  fixture() : routers_fixture(1, standin::endpoint_behaviour{}) {
    startRouter();
    startRouter();
    awaitPeers();
  }
  /// Sends a datagram to a VM as one of its peers would.
  void tell(std::size_t Vm, std::string_view Bytes) {
    boost::asio::ip::udp::socket Socket(Thread.Context,
                                        boost::asio::ip::udp::v4());
    const std::string Message =
        static_cast<char>(peer_message::Returns) + std::string(Bytes);
    Socket.send_to(boost::asio::buffer(Message),
                   {boost::asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(Vms[Vm]->CallerPort + 3U)});
  }
  void awaitPlanned(std::size_t Vm, unsigned Count) {
    while (
        !hasMetric(Vm, "clementine_returns_planned " + std::to_string(Count)))
      std::this_thread::sleep_for(5ms);
  }
};

} // namespace

// A VM learns the planned returns of its data centre until they have passed.
// Guards against bytes that aren't a batch, and against notes that are passed
// on.
BOOST_FIXTURE_TEST_CASE(router_learns_returns_of_its_peers, fixture) {
  tell(0, "no batch");
  tell(0, encodeReturns({1, 1, {{11, 1s}, {12, 1s}}}));
  awaitPlanned(0, 2);
  tell(0, encodeReturns({1, 2, {{13, 1s}}}));
  awaitPlanned(0, 3);
  BOOST_TEST(hasMetric(1, "clementine_returns_planned 0"));
  awaitPlanned(0, 0);
}
