#define BOOST_TEST_MODULE skewed_callers
#include "platform_settings.h"
#include "routers_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

using time_point = std::chrono::steady_clock::time_point;

constexpr double LinkMegabits = 1;
constexpr double LinkBytesPerSecond = LinkMegabits * 1e6 / 8;
constexpr std::size_t BodyBytes = 8000;
/// Requests are four times what the link carries.
constexpr auto Interval = 4ms;
constexpr auto Time = 3s;

router_settings settingsOf(double Megabits) {
  return parsePlatformSettings("node.toml", R"(node_name = "vm"
zone = "hall-a"
ip_address = "127.0.0.1"
internal_port_range = [1, 2]
[listen_addresses]
frontend = "127.0.0.1:1"
ready = "127.0.0.1:1"
[platform]
address = "127.0.0.1:1"
[limits]
link_bandwidth_mbps = )" + std::to_string(Megabits) +
                                                "\n")
      .Value;
}

standin::endpoint_behaviour plainStreams() {
  standin::endpoint_behaviour Behaviour;
  Behaviour.Events = 3;
  Behaviour.Work = 1ms;
  return Behaviour;
}

struct fixture : routers_fixture {
  fixture() : routers_fixture(2, plainStreams()) {
    startRouter(true, settingsOf(LinkMegabits));
    startRouter(true, settingsOf(1000));
    awaitPeers();
  }
};

/// What became of requests at a VM, one each `Interval`.
struct outcome {
  unsigned Served = 0;
  unsigned Refused = 0;      ///< answered with an error
  unsigned NotConnected = 0; ///< nothing was sent
  unsigned Unread = 0;       ///< connections that were closed after that
  unsigned UnreadAtBoth = 0; ///< neither the other VM has served it
  double Seconds = 0;

  unsigned received() const { return Served + Refused + Unread; }
  bool fitsLink() const {
    return received() * BodyBytes <= LinkBytesPerSecond * (Seconds + 0.5);
  }
};

outcome sendToFirst(fixture &Fleet) {
  const std::string Body(BodyBytes, 'x');
  outcome Result;
  const time_point Begin = std::chrono::steady_clock::now();
  for (time_point Next = Begin; Next < Begin + Time; Next += Interval) {
    std::this_thread::sleep_until(Next);
    std::string Answer;
    try {
      Answer = Fleet.sendRequest(0, Body);
      Result.Unread += Answer.empty() ? 1 : 0;
    } catch (const boost::system::system_error &) {
      ++Result.NotConnected;
    }
    if (Answer.starts_with("HTTP/1.1 200"))
      ++Result.Served;
    else if (!Answer.empty())
      ++Result.Refused;
    else if (!Fleet.sendRequest(1, Body).starts_with("HTTP/1.1 200"))
      ++Result.UnreadAtBoth;
  }
  Result.Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count();
  return Result;
}

} // namespace

// The load balancer sends all new connections to one VM, more than its link
// carries. The VM reads all requests, and they time out behind each other; or
// it leaves them unread, and what their callers have sent fills its link.
BOOST_FIXTURE_TEST_CASE(vm_leaves_requests_beyond_its_link_unread, fixture) {
  const outcome Result = sendToFirst(*this);
  BOOST_TEST(Result.Served > 0U);
  BOOST_TEST(Result.Refused == 0U);
  BOOST_TEST(Result.UnreadAtBoth == 0U);
  BOOST_TEST(Result.NotConnected > 0U);
  BOOST_TEST(Result.fitsLink());
}

// The same while the VM connects to nothing, so that it sends nothing either.
// It reads ever more requests, and what it receives fills its link for good.
BOOST_FIXTURE_TEST_CASE(requests_that_cannot_be_sent_count_for_the_link,
                        fixture) {
  Thread.run([&] {
    Vms[0]->Connector.setLinks(link_state::Refusing,
                               [](const std::string &) { return true; });
  });
  const outcome Result = sendToFirst(*this);
  BOOST_TEST(Result.Refused > 0U);
  BOOST_TEST(Result.UnreadAtBoth == 0U);
  BOOST_TEST(Result.fitsLink());
}
