#define BOOST_TEST_MODULE service_shares
#include "share_model.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

share_notes notes(std::vector<demand_note> Demands, double Ran,
                  double Rejected) {
  return {std::move(Demands), {{Service, Ran, Rejected}}};
}

/// A VM that has just heard from a peer.
service_shares heard(const share_notes &Notes, mono_time Now = Start) {
  service_shares Shares(1);
  Shares.applyPeer("peer", Notes, Now);
  Shares.expire(Now + 200ms, 1min); // divides what the notes brought
  return Shares;
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_held_back_without_rejections) {
  service_shares Shares(1);
  mono_time Now = Start;
  for (int Each = 0; Each < 1000; ++Each, Now += 2ms) {
    Shares.recordOffer(Big, Now);
    BOOST_TEST(Shares.tryAdmit(Big, Now));
    Shares.recordRun(Service, Now);
  }
  BOOST_TEST(!Shares.isShort(Service, Now));
  BOOST_TEST(Shares.ownNotes(Now).empty());
  BOOST_TEST(Shares.admittedPart(Big, Now) == 1);
}

BOOST_AUTO_TEST_CASE(capacity_is_divided_max_min) {
  const auto Shares =
      heard(notes({{Small, 30}, {Big, 240}, {{Service, 3, 0}, 100}}, 180, 150));
  const mono_time Now = Start + 200ms;
  BOOST_REQUIRE(Shares.isShort(Service, Now));
  BOOST_TEST(Shares.admittedPart(Small, Now) == 1);
  const double BigRate = Shares.admittedPart(Big, Now) * 240;
  const double ThirdRate = Shares.admittedPart({Service, 3, 0}, Now) * 100;
  BOOST_TEST(BigRate > 30);
  BOOST_TEST(std::abs(BigRate - ThirdRate) < 1e-6);
}

BOOST_AUTO_TEST_CASE(urgent_requests_come_first_and_nobody_starves) {
  const share_key Later{Service, 1, 2};
  const auto Shares = heard(notes({{Big, 300}, {Later, 300}}, 200, 400));
  const mono_time Now = Start + 200ms;
  const double First = Shares.admittedPart(Big, Now) * 300;
  const double Second = Shares.admittedPart(Later, Now) * 300;
  BOOST_TEST(First > 10 * Second);
  BOOST_TEST(Second > 5);
}

BOOST_AUTO_TEST_CASE(room_left_by_urgent_requests_is_used) {
  const share_key Later{Service, 1, 2};
  const auto Shares = heard(notes({{Big, 50}, {Later, 400}}, 200, 300));
  const mono_time Now = Start + 200ms;
  BOOST_TEST(Shares.admittedPart(Big, Now) == 1);
  BOOST_TEST(Shares.admittedPart(Later, Now) * 400 > 100);
}

BOOST_AUTO_TEST_CASE(requests_without_customer_are_always_admitted) {
  service_shares Shares =
      heard(notes({{{Service, 0, 0}, 100}, {Big, 240}}, 160, 300));
  const share_key None{Service, 0, 0};
  for (int Each = 0; Each < 20; ++Each) {
    Shares.recordOffer(None, Start + 200ms);
    BOOST_TEST(Shares.tryAdmit(None, Start + 200ms));
  }
}

// Failure: a VM has just started, and has neither rates nor notes.
BOOST_AUTO_TEST_CASE(a_new_vm_admits_until_it_learns_of_a_shortage) {
  service_shares Shares(1);
  BOOST_TEST(!Shares.isShort(Service, Start));
  BOOST_TEST(Shares.tryAdmit(Big, Start));
  BOOST_TEST(Shares.admittedRate(Big, Start) == 0);
  Shares.applyPeer("peer", notes({{Big, 300}}, 100, 200), Start);
  BOOST_TEST(Shares.isShort(Service, Start));
}

// Failure: peers fall silent. Their notes expire, and with them the shortage
// that only they saw.
BOOST_AUTO_TEST_CASE(notes_of_silent_peers_expire) {
  service_shares Shares = heard(notes({{Big, 300}}, 100, 200));
  BOOST_TEST(Shares.isShort(Service, Start + 1s));
  mono_time Now = Start;
  for (int Each = 0; Each < 200; ++Each, Now += 100ms)
    Shares.expire(Now, 10s);
  BOOST_TEST(!Shares.isShort(Service, Now));
  BOOST_TEST(Shares.countShort() == 0U);
  BOOST_TEST(Shares.ownNotes(Now).empty());
}

BOOST_AUTO_TEST_CASE(newer_notes_replace_older_ones) {
  service_shares Shares = heard(notes({{Big, 300}}, 100, 200));
  Shares.applyPeer("peer", notes({{Big, 50}, {Small, 50}}, 100, 200),
                   Start + 300ms);
  Shares.expire(Start + 500ms, 10s);
  BOOST_TEST(Shares.admittedPart(Small, Start + 500ms) ==
             Shares.admittedPart(Big, Start + 500ms));
}

// Failure: the clock of a VM jumps between two calls, in either direction.
BOOST_AUTO_TEST_CASE(clock_jumps_are_harmless) {
  service_shares Shares = heard(notes({{Big, 300}}, 100, 200));
  for (const mono_time Now : {Start + 24h, Start - 30min, Start + 48h}) {
    Shares.recordOffer(Big, Now);
    Shares.recordRejection(Service, Now);
    const double Part = Shares.admittedPart(Big, Now);
    BOOST_TEST((Part >= 0 && Part <= 1));
    BOOST_TEST(Shares.admittedRate(Big, Now) >= 0);
  }
}

BOOST_AUTO_TEST_CASE(zero_rates_are_harmless) {
  service_shares Shares = heard(notes({{Big, 0}, {Small, 0}}, 0, 300));
  const mono_time Now = Start + 200ms;
  BOOST_TEST(Shares.admittedPart(Big, Now) >= 0);
  BOOST_TEST(Shares.admittedRate(Big, Now) == 0);
  BOOST_TEST(!Shares.nextAdmission(Big, Now));
}

// A return that goes first uses what new requests of its customer would get.
BOOST_AUTO_TEST_CASE(returns_are_charged_up_to_a_bound) {
  service_shares Shares = heard(notes({{Big, 300}}, 150, 300));
  const mono_time Now = Start + 200ms;
  for (int Each = 0; Each < 100; ++Each)
    Shares.admitReturn(Big);
  unsigned Refused = 0;
  for (; Refused < 100; ++Refused) {
    Shares.recordOffer(Big, Now);
    if (Shares.tryAdmit(Big, Now))
      break;
  }
  BOOST_TEST(Refused > 8U);
  BOOST_TEST(Refused < 60U);
}

// A VM alone has only its own rates.
BOOST_AUTO_TEST_CASE(a_vm_alone_keeps_to_its_endpoints_capacity) {
  checkFleet(1, true);
}

// A service so small that its rates vary by chance.
BOOST_AUTO_TEST_CASE(shares_hold_at_a_small_service) {
  model_fleet Fleet(1, 40, 5);
  const std::vector<model_load> Loads{{Small, 10, true}, {Big, 90, true}};
  Fleet.play(Loads, 10);
  const auto Totals = Fleet.play(Loads, 30);
  BOOST_TEST_MESSAGE("small service: small " << Totals.servedPart(Small)
                                             << " used " << Totals.Ran / 1200
                                             << " rejected "
                                             << Totals.Rejected / Totals.Ran);
  BOOST_TEST(Totals.Rejected <= 0.1 * Totals.Ran);
  BOOST_TEST(Totals.Ran >= 0.95 * 40 * 30);
  BOOST_TEST(Totals.servedPart(Small) >= 0.97);
}

BOOST_AUTO_TEST_CASE(nothing_is_held_back_after_the_shortage) {
  model_fleet Fleet(9, 160, 6);
  Fleet.play({{Small, 30, false}, {Big, 240, false}}, 20);
  BOOST_TEST(Fleet.at(0).isShort(Service, Fleet.now()));
  Fleet.play({{Small, 30, false}, {Big, 90, false}}, 15);
  const auto Totals = Fleet.play({{Small, 30, false}, {Big, 90, false}}, 20);
  BOOST_TEST(Totals.servedPart(Big) >= 0.99);
  BOOST_TEST(!Fleet.at(0).isShort(Service, Fleet.now()));
  BOOST_TEST(Fleet.at(0).ownNotes(Fleet.now()).empty());
}

BOOST_AUTO_TEST_CASE(shares_hold_with_9_vms) {
  checkFleet(9, false);
  checkFleet(9, true);
}

BOOST_AUTO_TEST_CASE(shares_hold_with_90_vms) {
  checkFleet(90, false);
  checkFleet(90, true);
}
