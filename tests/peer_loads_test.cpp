#define BOOST_TEST_MODULE peer_loads
#include "loopback.h"

#include "config.h"
#include "peer_datagrams.h"
#include "peer_loads.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

load_digest digest(const std::string &Vm, std::uint64_t Sequence, double Work,
                   std::uint64_t Incarnation = 1) {
  return {Vm, Incarnation, Sequence, {{digestHash("e1"), Work, 1}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(loads_of_all_vms_add_up) {
  peer_loads Loads;
  const mono_time Now{1h};
  Loads.applyDigest(digest("a", 1, 10), Now);
  Loads.applyDigest(digest("b", 1, 5), Now);
  BOOST_TEST(Loads.at("e1").Work == 15.0);
  BOOST_TEST(Loads.at("e1").Running == 2U);
  Loads.applyDigest(digest("a", 2, 1), Now);
  BOOST_TEST(Loads.at("e1").Work == 6.0);
  BOOST_TEST(Loads.at("e2").Work == 0.0);
}

// Datagrams arrive out of order, or from a process that has restarted since.
// The newest digest of the newest process counts.
BOOST_AUTO_TEST_CASE(stale_digests_are_ignored) {
  peer_loads Loads;
  const mono_time Now{1h};
  Loads.applyDigest(digest("a", 5, 10), Now);
  Loads.applyDigest(digest("a", 4, 99), Now);
  BOOST_TEST(Loads.at("e1").Work == 10.0);
  Loads.applyDigest(digest("a", 1, 3, 2), Now);
  Loads.applyDigest(digest("a", 6, 99, 1), Now);
  BOOST_TEST(Loads.at("e1").Work == 3.0);
}

// A VM loses power. Its load must expire.
BOOST_AUTO_TEST_CASE(loads_of_silent_vms_expire) {
  peer_loads Loads;
  mono_time Now{1h};
  Loads.applyDigest(digest("a", 1, 10), Now);
  Now += duration(config::DigestTtl) / 2;
  Loads.applyDigest(digest("b", 1, 5), Now);
  Now += duration(config::DigestTtl) / 2;
  Loads.expire(Now);
  BOOST_TEST(Loads.vms() == 1U);
  BOOST_TEST(Loads.at("e1").Work == 5.0);
}

BOOST_AUTO_TEST_CASE(digests_round_trip) {
  const auto Digest = decodeDigest(encodeDigest(digest("a", 7, 12.5)));
  BOOST_REQUIRE(Digest.has_value());
  BOOST_TEST(Digest->Vm == "a");
  BOOST_TEST(Digest->Sequence == 7U);
  BOOST_TEST(Digest->Loads[0].Work == 12.5);
}

BOOST_AUTO_TEST_CASE(malformed_digests_are_rejected) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodeDigest(Bytes);
    std::string Corrupted = encodeDigest(digest("a", 7, 12.5));
    Corrupted[Bytes.size() % Corrupted.size()] ^= 0x55;
    decodeDigest(Corrupted);
  });
  BOOST_TEST(IsOk);
}

// One router knows the other's address; the other one learns it from the
// received datagram.
BOOST_AUTO_TEST_CASE(routers_learn_peers_from_datagrams) {
  context_thread Thread;
  system_runtime_clock Clock;
  std::promise<std::string> AtFirst;
  std::promise<std::string> AtSecond;
  std::unique_ptr<peer_datagrams> First;
  std::unique_ptr<peer_datagrams> Second;
  Thread.run([&] {
    First = std::make_unique<peer_datagrams>(
        Thread.Context, Clock, "127.0.0.1:17441",
        [&](peer_message, const std::string &, std::string_view Bytes) {
          AtFirst.set_value(std::string(Bytes));
        });
    Second = std::make_unique<peer_datagrams>(
        Thread.Context, Clock, "127.0.0.1:17442",
        [&](peer_message, const std::string &, std::string_view Bytes) {
          AtSecond.set_value(std::string(Bytes));
        });
    Second->addPeers({"127.0.0.1:17441", "127.0.0.1:17442", "nowhere"});
    BOOST_TEST(Second->peerCount() == 1U); // own and invalid address skipped
    Second->send(peer_message::Loads, "hello");
  });
  BOOST_TEST(AtFirst.get_future().get() == "hello");
  Thread.run([&] { First->send(peer_message::Loads, "back"); });
  BOOST_TEST(AtSecond.get_future().get() == "back");
  Thread.run([&] {
    First.reset();
    Second.reset();
  });
}

// Guards against crashes that only the observing VM knows of.
BOOST_AUTO_TEST_CASE(cold_endpoints_round_trip_through_digest) {
  load_digest Digest = digest("a", 1, 10);
  Digest.Cold = {{digestHash("e1"), 2500ms}, {digestHash("e2"), 1ms}};
  const auto Decoded = decodeDigest(encodeDigest(Digest));
  BOOST_REQUIRE(Decoded);
  BOOST_REQUIRE(Decoded->Cold.size() == 2U);
  BOOST_TEST(Decoded->Cold[0].Endpoint == digestHash("e1"));
  BOOST_TEST((Decoded->Cold[0].Remaining == 2500ms));
}

BOOST_AUTO_TEST_CASE(leaves_round_trip_through_digest) {
  load_digest Digest;
  Digest.Vm = "vm1";
  Digest.Leaves = {{7, 30ms}};
  const auto Read = decodeDigest(encodeDigest(Digest));
  BOOST_REQUIRE(Read);
  BOOST_REQUIRE(Read->Leaves.size() == 1U);
  BOOST_TEST(Read->Leaves[0].Endpoint == 7U);
  BOOST_TEST((Read->Leaves[0].Age == 30ms));
}

BOOST_AUTO_TEST_CASE(share_notes_round_trip_through_digest) {
  load_digest Digest = digest("a", 1, 10);
  const std::size_t Ordinary = encodeDigest(Digest).size();
  Digest.Shares = {{{{7, 4'000'000'000, 2}, 12.5}}, {{7, 80.25, 0.5}}};
  const std::string Bytes = encodeDigest(Digest);
  BOOST_TEST(Bytes.size() > Ordinary);
  const auto Decoded = decodeDigest(Bytes);
  BOOST_REQUIRE(Decoded);
  BOOST_REQUIRE(Decoded->Shares.Demands.size() == 1U);
  const auto &[Key, Offered] = Decoded->Shares.Demands[0];
  BOOST_TEST(Key.Service == 7U);
  BOOST_TEST(Key.Customer == 4'000'000'000U);
  BOOST_TEST(Key.Priority == 2U);
  BOOST_TEST(Offered == 12.5);
  BOOST_REQUIRE(Decoded->Shares.Outcomes.size() == 1U);
  BOOST_TEST(Decoded->Shares.Outcomes[0].Ran == 80.25);
  BOOST_TEST(Decoded->Shares.Outcomes[0].Rejected == 0.5);
  const auto Empty = decodeDigest(encodeDigest(digest("a", 1, 10)));
  BOOST_REQUIRE(Empty);
  BOOST_TEST(Empty->Shares.empty());
}

// A router of an older release sends no version, and its digest is read all the
// same.
BOOST_AUTO_TEST_CASE(configuration_version_is_optional_in_digest) {
  load_digest Digest = digest("a", 1, 10);
  Digest.ConfigurationVersion = 4'000'000'000'000;
  const std::string Bytes = encodeDigest(Digest);
  const auto Decoded = decodeDigest(Bytes);
  BOOST_REQUIRE(Decoded);
  BOOST_TEST(Decoded->ConfigurationVersion == 4'000'000'000'000U);
  auto Body = nlohmann::json::from_msgpack(Bytes);
  Body.erase(Body.size() - 1);
  std::string Older;
  nlohmann::json::to_msgpack(Body, Older);
  const auto Read = decodeDigest(Older);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->ConfigurationVersion == 0U);
}
