#pragma once

#include "config.h"
#include "service_shares.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace clementinelane {

inline constexpr std::uint32_t Service = 7;
inline constexpr share_key Small{Service, 1, 0};
inline constexpr share_key Big{Service, 2, 0};
inline const mono_time Start{std::chrono::hours(1)};

/// Endpoints with a fixed capacity each, which queue a few requests. VMs know
/// roughly which have room.
class model_service {
public:
  explicit model_service(double PerSecond) : PerEndpoint(PerSecond / Count) {}

  std::size_t roomier(std::size_t A, std::size_t B, double Seconds) const {
    return roomAt(A, Seconds) > roomAt(B, Seconds) ? A : B;
  }

  bool tryRun(std::size_t Endpoint, double Seconds) {
    endpoint &It = Endpoints[Endpoint];
    It.Room = roomAt(Endpoint, Seconds);
    It.At = Seconds;
    if (It.Room < 1)
      return false;
    It.Room -= 1;
    return true;
  }

  static constexpr std::size_t Count = 16;

private:
  double roomAt(std::size_t Endpoint, double Seconds) const {
    const endpoint &It = Endpoints[Endpoint];
    return std::min(Depth, It.Room + (Seconds - It.At) * PerEndpoint);
  }

  static constexpr double Depth = 4;
  struct endpoint {
    double Room = Depth;
    double At = 0;
  };
  double PerEndpoint;
  std::array<endpoint, Count> Endpoints;
};

struct model_load {
  share_key Key;
  double PerSecond = 0;
  bool IsAtOneVm = false;
};

struct model_totals {
  std::map<std::uint32_t, double> Offered;
  std::map<std::uint32_t, double> Served;
  double Ran = 0;
  double Rejected = 0; ///< attempts

  double servedPart(const share_key &Key) const {
    return Served.at(Key.Customer) / Offered.at(Key.Customer);
  }
};

/// VMs side by side in virtual time, which exchange digests and lose some.
class model_fleet {
public:
  model_fleet(std::size_t Count, double Capacity, std::uint64_t Seed)
      : Random(Seed), Back(Capacity), Vms(Count) {
    restart();
  }

  void restart() {
    for (auto &Each : Vms) {
      Each = {std::make_unique<service_shares>(Random()), {}, {}};
      Each.Shares->expire(now(), std::chrono::seconds(20));
    }
  }

  model_totals play(const std::vector<model_load> &Loads, double Time) {
    model_totals Totals;
    const double End = Seconds + Time;
    double Sum = 0;
    for (const model_load &Load : Loads)
      Sum += Load.PerSecond;
    std::exponential_distribution<double> Pause(Sum);
    while (Seconds < End) {
      Seconds += Pause(Random);
      while (NextDigests <= Seconds)
        exchange();
      double Pick = uniform() * Sum;
      for (const model_load &Load : Loads) {
        if ((Pick -= Load.PerSecond) >= 0)
          continue;
        arrive(Load, Totals);
        break;
      }
    }
    return Totals;
  }

  service_shares &at(std::size_t Vm) { return *Vms[Vm].Shares; }
  mono_time now() const { return timeOf(Seconds); }

private:
  struct vm {
    std::unique_ptr<service_shares> Shares;
    share_notes Sent;
    share_notes SentBefore;
  };

  static mono_time timeOf(double Seconds) {
    return Start + std::chrono::duration_cast<duration>(
                       std::chrono::duration<double>(Seconds));
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void arrive(const model_load &Load, model_totals &Totals) {
    const mono_time Now = now();
    service_shares &Vm =
        *Vms[Load.IsAtOneVm ? 0 : Random() % Vms.size()].Shares;
    ++Totals.Offered[Load.Key.Customer];
    Vm.recordOffer(Load.Key, Now);
    if (!Vm.tryAdmit(Load.Key, Now))
      return;
    const std::size_t First =
        Back.roomier(Random() % model_service::Count,
                     Random() % model_service::Count, Seconds);
    for (std::size_t Attempt = 0; Attempt < config::MaxAttempts; ++Attempt) {
      if (Back.tryRun((First + Attempt * 5) % model_service::Count, Seconds)) {
        Vm.recordRun(Service, Now);
        ++Totals.Ran;
        ++Totals.Served[Load.Key.Customer];
        return;
      }
      Vm.recordRejection(Service, Now);
      ++Totals.Rejected;
    }
  }

  // One digest in ten is lost, and one in ten arrives a round late.
  void exchange() {
    const mono_time Now = timeOf(NextDigests);
    NextDigests += 0.2;
    for (vm &Each : Vms) {
      Each.SentBefore = std::move(Each.Sent);
      Each.Sent = Each.Shares->ownNotes(Now);
    }
    for (std::size_t From = 0; From < Vms.size(); ++From) {
      const std::string Name = std::to_string(From);
      for (std::size_t Copy = 0; Copy < 24; ++Copy) {
        const std::size_t To = Random() % Vms.size();
        const double Fate = uniform();
        if (To == From || Fate < 0.1)
          continue;
        Vms[To].Shares->applyPeer(
            Name, Fate < 0.2 ? Vms[From].SentBefore : Vms[From].Sent, Now);
      }
    }
    if (++Rounds % 5 == 0)
      for (vm &Each : Vms)
        Each.Shares->expire(Now, std::chrono::seconds(20));
  }

  std::mt19937_64 Random;
  model_service Back;
  std::vector<vm> Vms;
  double Seconds = 0;
  double NextDigests = 0.2;
  unsigned Rounds = 0;
};

inline void checkFleet(std::size_t Vms, bool IsAtOneVm) {
  constexpr double Capacity = 160;
  constexpr double Time = 40;
  const std::vector<model_load> Loads{{Small, 30, false},
                                      {Big, 240, IsAtOneVm}};
  model_fleet Fleet(Vms, Capacity, 4711);
  Fleet.play(Loads, 30);
  const model_totals Totals = Fleet.play(Loads, Time);
  BOOST_TEST_MESSAGE("vms " << Vms << " one " << IsAtOneVm << " small "
                            << Totals.servedPart(Small) << " big "
                            << Totals.servedPart(Big) << " used "
                            << Totals.Ran / (Capacity * Time) << " rejected "
                            << Totals.Rejected / Totals.Ran);
  BOOST_TEST(Totals.servedPart(Small) >= 0.98);
  BOOST_TEST(Totals.Ran >= 0.95 * Capacity * Time);
  BOOST_TEST(Totals.Rejected <= 0.1 * Totals.Ran);
  Fleet.restart();
  const model_totals Anew = Fleet.play(Loads, 10);
  BOOST_TEST_MESSAGE("  anew: small " << Anew.servedPart(Small) << " used "
                                      << Anew.Ran / (Capacity * 10)
                                      << " rejected "
                                      << Anew.Rejected / Anew.Ran);
  // Without shares, three attempts at full endpoints for each request beyond
  // the capacity come to twice the runs.
  BOOST_TEST(Anew.Rejected <= 0.3 * Anew.Ran);
}

} // namespace clementinelane
