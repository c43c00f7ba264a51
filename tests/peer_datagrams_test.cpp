#define BOOST_TEST_MODULE peer_datagrams
#include "capacity/config.h"
#include "loopback.h"
#include "peer_datagrams.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> addresses(int Count) {
  std::vector<std::string> Addresses;
  for (int Each = 1; Each <= Count; ++Each)
    Addresses.push_back("127.0.1." + std::to_string(Each) + ":17461");
  return Addresses;
}

} // namespace

// Guards against a fixed liveness timeout. A digest goes to 24 peers at a time,
// so each of 194 peers receives one every 1.8 s; with a timeout of 1 s, each VM
// would see a different part of the fleet as live.
BOOST_AUTO_TEST_CASE(liveness_timeout_covers_rounds_of_a_large_fleet) {
  reservePorts();
  boost::asio::io_context Context;
  const system_runtime_clock Clock;
  peer_datagrams Datagrams(Context, Clock, "127.0.0.1:17460",
                           [](auto, const auto &, auto) {});
  Datagrams.addPeers(addresses(8));
  BOOST_TEST((Datagrams.livenessTimeout() == config::DigestTtl));
  Datagrams.addPeers(addresses(194));
  const duration Round = 9 * config::DigestInterval;
  BOOST_TEST((Datagrams.livenessTimeout() >= 2 * Round));
  BOOST_TEST(Datagrams.livePeers(Clock.bootNow()).size() == 194U);
}

// A peer reports its core count in its digests; until then it is 0.
BOOST_AUTO_TEST_CASE(peer_cores_are_recorded) {
  reservePorts();
  boost::asio::io_context Context;
  const system_runtime_clock Clock;
  peer_datagrams Datagrams(Context, Clock, "127.0.0.1:17460",
                           [](auto, const auto &, auto) {});
  Datagrams.addPeers(addresses(2));
  Datagrams.setPeerCores(addresses(2)[1], 0.5);
  Datagrams.setPeerCores("127.0.1.9:17461", 0.5); // unknown peer
  const auto Heard = Datagrams.livePeers(Clock.bootNow());
  BOOST_REQUIRE(Heard.size() == 2U);
  BOOST_TEST(Heard[0].Cores == 0);
  BOOST_TEST(Heard[1].Cores == 0.5);
}

// Datagrams of ever new senders. Each would be kept as a peer.
BOOST_AUTO_TEST_CASE(unlisted_senders_are_limited) {
  reservePorts();
  boost::asio::io_context Context;
  const system_runtime_clock Clock;
  std::size_t Handled = 0;
  peer_datagrams Datagrams(Context, Clock, "127.0.0.1:17460",
                           [&](auto, const auto &, auto) { ++Handled; });
  const auto SendFrom = [&](const std::string &Ip) {
    using udp = boost::asio::ip::udp;
    udp::socket Socket(Context,
                       udp::endpoint(boost::asio::ip::make_address(Ip), 17461));
    Socket.send_to(
        boost::asio::buffer("Dx", 2),
        udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 17460));
    Context.run_one();
  };
  for (int Each = 0; Each < 600; ++Each)
    SendFrom("127.1." + std::to_string(Each / 200) + "." +
             std::to_string(1 + Each % 200));
  BOOST_TEST(Datagrams.peerCount() == config::MaxUnlistedPeers);
  Datagrams.addPeers({"127.2.0.1:17461"});
  Handled = 0;
  SendFrom("127.2.0.1");
  BOOST_TEST(Handled == 1U);
}

// Guards against a message that also reaches peers it isn't meant for.
BOOST_AUTO_TEST_CASE(multicast_reaches_only_its_addresses) {
  reservePorts();
  boost::asio::io_context Context;
  const system_runtime_clock Clock;
  std::vector<std::string> Reached;
  const auto Record = [&Reached](std::string Name) {
    return [&Reached, Name = std::move(Name)](peer_message Kind, const auto &,
                                              std::string_view Bytes) {
      if (Kind == peer_message::Returns)
        Reached.push_back(Name + ' ' + std::string(Bytes));
    };
  };
  peer_datagrams From(Context, Clock, "127.0.0.1:17460", Record("from"));
  peer_datagrams Near(Context, Clock, "127.0.0.1:17461", Record("near"));
  peer_datagrams Far(Context, Clock, "127.0.0.1:17462", Record("far"));
  From.addPeers({"127.0.0.1:17461", "127.0.0.1:17462"});
  From.multicast({}, peer_message::Returns, "none");
  const std::vector<std::string> Addresses{"127.0.0.1:17461", "no address"};
  From.multicast(Addresses, peer_message::Returns, "notes");
  // Loopback delivers in order: when the broadcast is there, all is.
  From.broadcast(peer_message::Returns, "end");
  while (Reached.size() < 3)
    Context.run_one();
  std::sort(Reached.begin(), Reached.end());
  const std::vector<std::string> Expected{"far end", "near end", "near notes"};
  BOOST_TEST(Reached == Expected, boost::test_tools::per_element());
}

// Guards against bursts: 3 KB sent to 70 peers at once overflow a link buffer
// of 64 KB, which drops them for two thirds of the peers, always the last ones.
BOOST_AUTO_TEST_CASE(broadcast_is_sent_in_portions) {
  datagram_outbox<int> Outbox;
  std::vector<int> Peers(70);
  std::iota(Peers.begin(), Peers.end(), 0);
  Outbox.add(std::string(3000, 'r'), Peers);
  Outbox.add("news", {7, 8});
  std::vector<int> Reached;
  std::size_t Portions = 0;
  while (!Outbox.isEmpty()) {
    std::size_t Bytes = 0;
    for (const auto &[To, Message] : Outbox.nextPortion(16'000)) {
      Bytes += Message->size();
      Reached.push_back(To);
    }
    BOOST_TEST(Bytes > 0U);
    BOOST_TEST(Bytes <= 16'000U);
    ++Portions;
  }
  BOOST_TEST(Portions == 14U);
  Peers.insert(Peers.end(), {7, 8});
  BOOST_TEST(Reached == Peers);
}

// Guards against a message larger than a portion that is never sent.
BOOST_AUTO_TEST_CASE(oversized_message_is_sent_alone) {
  datagram_outbox<int> Outbox;
  Outbox.add(std::string(50'000, 'r'), {1, 2});
  BOOST_TEST(Outbox.nextPortion(16'000).size() == 1U);
  BOOST_TEST(Outbox.nextPortion(16'000).size() == 1U);
  BOOST_TEST(Outbox.isEmpty());
}
