#define BOOST_TEST_MODULE slow_start
#include "config.h"
#include "endpoint_choice.h"
#include "hashing.h"
#include "slow_start.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <numeric>
#include <random>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Service = "engine";
constexpr double Rate = 5.3;
constexpr double Overshoot = 1.5;
constexpr double Tolerance = 5;
constexpr auto ColdTime = 3s;

/// What VMs of the fleet know about each other.
struct peer_knowledge {
  double Unknown = 0;   ///< fraction of peers unknown to a VM
  std::size_t Late = 0; ///< VMs that just started: know all, known to none
};

/// A fleet whose VMs send to a cold endpoint as much as they may.
class saturating_fleet {
public:
  saturating_fleet(std::size_t Count, std::uint64_t Seed,
                   const peer_knowledge &Knowledge = {})
      : Random(Seed), Vms(Count) {
    std::vector<std::uint64_t> Hashes;
    for (std::size_t Vm = 0; Vm < Count; ++Vm)
      Hashes.push_back(stableHash("vm" + std::to_string(Vm), Seed));
    std::uniform_real_distribution<double> Point;
    for (std::size_t Vm = 0; Vm < Count; ++Vm) {
      std::vector<std::uint64_t> Others;
      for (std::size_t Other = 0; Other < Count; ++Other) {
        const bool IsLate = Vm >= Knowledge.Late && Other < Knowledge.Late;
        if (Other != Vm && !IsLate && Point(Random) >= Knowledge.Unknown)
          Others.push_back(Hashes[Other]);
      }
      Vms[Vm].setVms(Hashes[Vm], std::move(Others));
      Vms[Vm].setRule(Service, {ColdTime, Rate});
    }
  }

  /// Largest number of arrivals in any one second until the endpoint is warm.
  /// Each arrives up to `TravelTime` after it was sent.
  std::size_t mostInOneSecond(duration TravelTime = 20ms) {
    constexpr std::uint32_t Endpoint = 77;
    const mono_time Start{1h};
    for (slow_start &Vm : Vms)
      Vm.markCold(Endpoint, ColdTime, Start);
    std::vector<mono_time> Arrivals;
    std::uniform_int_distribution<duration::rep> Travel(0, TravelTime.count());
    for (mono_time Now = Start; Now < Start + ColdTime; Now += 5ms)
      for (slow_start &Vm : Vms)
        if (Vm.maySend(Endpoint, Service, Now)) {
          Vm.recordSend(Endpoint, Service, Now);
          Arrivals.push_back(Now + duration(Travel(Random)));
        }
    std::sort(Arrivals.begin(), Arrivals.end());
    std::deque<mono_time> Window;
    std::size_t Most = 0;
    for (const mono_time At : Arrivals) {
      Window.push_back(At);
      while (At - Window.front() >= 1s)
        Window.pop_front();
      Most = std::max(Most, Window.size());
    }
    return Most;
  }

private:
  std::mt19937_64 Random;
  std::vector<slow_start> Vms;
};

constexpr double Bound = Rate * Overshoot + Tolerance;

/// One engine in each of two data centres, and a VM without peers.
struct choice_fixture {
  mono_time Now{1h};
  endpoint_directory Directory{2s};
  peer_loads Peers;
  endpoint_choice Choice{Directory, Peers, "hall-a", 1};

  choice_fixture() {
    Choice.slowStart().setRule(Service, {ColdTime, Rate});
    Choice.slowStart().setVms(1, {});
    for (const char *Centre : {"hall-a", "hall-b"}) {
      endpoint_info Info;
      Info.Id = std::string("engine-") + Centre;
      Info.Service = Service;
      Info.DataCentre = Centre;
      Directory.apply(Info.Id, Info, Now);
    }
  }
  const endpoint_info &endpoint(std::string_view DataCentre) const {
    return *Directory.inDataCentre(DataCentre).front();
  }
  bool isCold(std::string_view DataCentre) const {
    return Choice.slowStart().isCold(digestHash(endpoint(DataCentre).Id), Now);
  }
  static endpoint_request request() {
    endpoint_request Request;
    Request.Service = Service;
    Request.Model = "small";
    return Request;
  }
  std::optional<chosen_endpoint> choose() {
    return Choice.choose(request(), Now);
  }
};

} // namespace

// Guards against a bound that holds only for small fleets.
BOOST_AUTO_TEST_CASE(cold_endpoint_gets_its_rate_from_fleets_of_any_size) {
  for (const std::size_t Vms : {1U, 9U, 71U, 300U, 1100U})
    for (std::uint64_t Seed = 0; Seed < (Vms > 300 ? 20U : 250U); ++Seed)
      BOOST_TEST(static_cast<double>(
                     saturating_fleet(Vms, Seed).mostInOneSecond()) < Bound);
}

// Guards against too many owners where VMs don't know all peers.
BOOST_AUTO_TEST_CASE(rate_holds_with_differing_peer_lists) {
  for (const std::size_t Vms : {9U, 71U, 300U})
    for (std::uint64_t Seed = 0; Seed < 330; ++Seed)
      BOOST_TEST(static_cast<double>(
                     saturating_fleet(Vms, Seed, {0.1, 0}).mostInOneSecond()) <
                 Bound);
}

// Guards against new VMs that own endpoints in addition to VMs that don't know
// them yet.
BOOST_AUTO_TEST_CASE(rate_holds_while_vms_start) {
  for (const std::size_t Vms : {9U, 71U, 300U})
    for (std::uint64_t Seed = 0; Seed < 330; ++Seed)
      BOOST_TEST(static_cast<double>(saturating_fleet(Vms, Seed, {0, Vms / 6})
                                         .mostInOneSecond()) < Bound);
}

// Guards against a starting VM that takes itself for the only one.
BOOST_AUTO_TEST_CASE(vm_without_peer_list_sends_nothing) {
  slow_start Vm;
  Vm.setRule(Service, {ColdTime, Rate});
  const mono_time Now{1h};
  Vm.markCold(7, 2s, Now);
  BOOST_TEST(!Vm.maySend(7, Service, Now));
  BOOST_TEST(Vm.maySend(8, Service, Now));
  Vm.setVms(1, {});
  BOOST_TEST(Vm.maySend(7, Service, Now));
}

// Guards against a wrong entry that excludes an endpoint for good.
BOOST_AUTO_TEST_CASE(cold_times_are_bounded) {
  slow_start Vm;
  Vm.setRule(Service, {ColdTime, Rate});
  const mono_time Now{1h};
  Vm.markCold(7, -5s, Now);
  BOOST_TEST(!Vm.isCold(7, Now));
  Vm.markCold(7, 1000h, Now);
  BOOST_TEST(Vm.isCold(7, Now));
  BOOST_TEST(!Vm.isCold(7, Now + config::MaxColdTime));
  Vm.expire(Now + config::MaxColdTime);
  BOOST_TEST(Vm.countCold(Now) == 0U);
}

// Guards against notes that never expire because VMs repeat what they learned
// from others.
BOOST_AUTO_TEST_CASE(only_local_observations_are_shared) {
  slow_start Vm;
  Vm.setRule(Service, {ColdTime, Rate});
  const mono_time Now{1h};
  Vm.applyPeerColdNote({7, 2s}, Now);
  Vm.markCold(8, 2s, Now);
  BOOST_TEST(Vm.ownNotes(Now).empty());
  Vm.markRestarted(9, Service, Now);
  BOOST_REQUIRE(Vm.ownNotes(Now + 1s).size() == 1U);
  BOOST_TEST(Vm.ownNotes(Now + 1s)[0].Endpoint == 9U);
  BOOST_TEST((Vm.ownNotes(Now + 1s)[0].Remaining == 2s));
  BOOST_TEST(Vm.ownNotes(Now + ColdTime).empty());
}

// Guards against limiting services that have no rate configured.
BOOST_AUTO_TEST_CASE(service_without_a_rate_is_not_limited) {
  slow_start Vm;
  Vm.setRule(Service, {ColdTime, 0});
  const mono_time Now{1h};
  Vm.markRestarted(7, Service, Now);
  Vm.markCold(7, 2s, Now);
  BOOST_TEST(Vm.maySend(7, Service, Now));
  Vm.recordSend(7, Service, Now);
  BOOST_TEST(Vm.maySend(7, Service, Now));
}

// Guards against a crash and restart that no list entry shows.
BOOST_FIXTURE_TEST_CASE(endpoint_back_at_its_address_is_cold, choice_fixture) {
  const auto First = choose();
  BOOST_REQUIRE(First);
  Choice.attemptEnded(First->Id, 1, attempt_result::Unreachable, std::nullopt,
                      Now);
  Now += 4s;
  BOOST_TEST(!isCold(First->DataCentre));
  Choice.connected(*First, 1ms, Now);
  BOOST_TEST(isCold(First->DataCentre));
  Now += ColdTime;
  BOOST_TEST(!isCold(First->DataCentre));
}

// Guards against a crash that few VMs notice, by its broken streams.
BOOST_FIXTURE_TEST_CASE(endpoint_that_breaks_streams_may_be_cold,
                        choice_fixture) {
  const auto First = choose();
  Choice.attemptEnded(First->Id, 1, attempt_result::Broken, std::nullopt, Now);
  BOOST_TEST(isCold(First->DataCentre));
  BOOST_TEST(Choice.slowStart().ownNotes(Now).size() == 1U);
}

// Guards against marking endpoints cold on all VMs because others of their data
// centre crashed.
BOOST_FIXTURE_TEST_CASE(crashes_do_not_mark_other_endpoints_cold,
                        choice_fixture) {
  for (const char *Id : {"b1", "b2", "b3"}) {
    endpoint_info Info = endpoint("hall-b");
    Info.Id = Id;
    Directory.apply(Id, Info, Now);
  }
  Choice.peek(request(), Now);
  for (const char *Id : {"b1", "b2"})
    Choice.attemptEnded(Id, 0, attempt_result::Unreachable, std::nullopt, Now);
  Now += 10s;
  Choice.connected(*Directory.find("b1"), 1ms, Now);
  BOOST_TEST(Choice.slowStart().isCold(digestHash("b1"), Now));
  BOOST_TEST(!Choice.slowStart().isCold(digestHash("b3"), Now));
}

// Guards against notes about a data centre that all VMs see anyway.
BOOST_FIXTURE_TEST_CASE(readmitted_data_centre_is_cold, choice_fixture) {
  Choice.markDataCentreCold("hall-b", Now);
  BOOST_TEST(isCold("hall-b"));
  BOOST_TEST(!isCold("hall-a"));
  BOOST_TEST(Choice.slowStart().ownNotes(Now).empty());
  BOOST_TEST(!Choice.slowStart().isCold(7, Now));
}

// Guards against waiting longer than until this VM may send again, or for a
// time at which only another VM may.
BOOST_FIXTURE_TEST_CASE(next_send_time_is_the_earliest_allowed,
                        choice_fixture) {
  BOOST_TEST((Choice.nextSendTime(request(), Now) == Now));
  Choice.markDataCentreCold("hall-a", Now);
  Choice.markDataCentreCold("hall-b", Now);
  BOOST_TEST(choose().has_value());
  BOOST_TEST(choose().has_value());
  const auto At = Choice.nextSendTime(request(), Now);
  BOOST_REQUIRE(At);
  BOOST_TEST((*At > Now));
  Now = *At;
  BOOST_TEST(choose().has_value());
  std::vector<std::uint64_t> Others(2000);
  std::iota(Others.begin(), Others.end(), 100);
  Choice.slowStart().setVms(1, Others);
  BOOST_TEST((Choice.nextSendTime(request(), Now) == mono_time{1h} + ColdTime));
}

// Guards against a burst on a cold endpoint that is the only one left.
BOOST_FIXTURE_TEST_CASE(requests_go_to_warm_endpoints_beyond_the_rate,
                        choice_fixture) {
  Choice.markDataCentreCold("hall-a", Now);
  std::map<std::string, int> Sent;
  for (int Each = 0; Each < 20; ++Each)
    ++Sent[choose()->DataCentre];
  BOOST_TEST(Sent["hall-a"] <= 1);
  BOOST_TEST(Sent["hall-b"] >= 19);
  Choice.markDataCentreCold("hall-b", Now);
  BOOST_TEST(choose().has_value());
  BOOST_TEST(!choose().has_value());
  Now += 1s;
  BOOST_TEST(choose().has_value());
}

// Guards against sending work to an evacuated data centre, and against
// excluding it after it is readmitted.
BOOST_FIXTURE_TEST_CASE(evacuated_data_centre_gets_nothing, choice_fixture) {
  Directory.setEvacuated({"hall-a"}, Now);
  for (int Each = 0; Each < 20; ++Each)
    BOOST_TEST(choose()->DataCentre == "hall-b");
  Directory.setEvacuated({"hall-a", "hall-b"}, Now);
  BOOST_TEST(!choose().has_value());
  Directory.setEvacuated({}, Now);
  BOOST_TEST(choose().has_value());
}
