#define BOOST_TEST_MODULE configuration_intake
#include "config.h"
#include "configuration_intake.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

std::string address(std::size_t Vm) {
  return "10.0.0." + std::to_string(Vm) + ":7000";
}

/// Routers that start, read, ask and are killed, and a store that goes back to
/// a copy. Each step takes one tick.
struct fleet {
  struct vm {
    std::optional<configuration_intake> Intake;
    std::uint64_t InUse = 0;
    bool IsCut = false; ///< from the other routers
  };

  explicit fleet(std::size_t Count) : Vms(Count) {}

  void start(std::size_t Vm) {
    Vms[Vm] = {};
    Vms[Vm].Intake.emplace(Vm);
    std::vector<std::string> Others;
    for (std::size_t Each = 0; Each < Vms.size(); ++Each)
      if (Each != Vm)
        Others.push_back(address(Each));
    Vms[Vm].Intake->setPeers(std::move(Others), Now);
  }
  void kill(std::size_t Vm) { Vms[Vm] = {}; }
  void take(vm &Vm, std::uint64_t Version) {
    Vm.InUse = std::max(Vm.InUse, Version);
    Vm.Intake->setInUse(Vm.InUse);
  }
  void read(std::size_t Vm) {
    vm &Its = Vms[Vm];
    if (!Its.Intake)
      return;
    take(Its, Stored);
    Its.Intake->confirm(Now, Now);
  }
  void exchange(std::size_t Vm) {
    vm &Its = Vms[Vm];
    if (!Its.Intake)
      return;
    for (const auto &[To, WantsContent] : Its.Intake->takeAsks(Now)) {
      const std::size_t Peer = std::stoul(To.substr(7));
      const vm &Other = Vms[Peer];
      if (!Other.Intake || Other.IsCut || Its.IsCut)
        continue;
      Its.Intake->noteAnswer(To, Other.InUse, Now);
      if (WantsContent)
        take(Its, Other.InUse);
    }
  }
  /// Digests reach all routers that aren't cut off.
  void gossip() {
    for (std::size_t From = 0; From < Vms.size(); ++From)
      for (std::size_t To = 0; To < Vms.size(); ++To)
        if (From != To && Vms[From].Intake && Vms[To].Intake &&
            !Vms[From].IsCut && !Vms[To].IsCut)
          Vms[To].Intake->noteVersion(address(From), Vms[From].InUse, Now);
  }
  void tick() {
    Now += config::RouterTickInterval;
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
      exchange(Vm);
  }
  bool isServing(std::size_t Vm) {
    return Vms[Vm].Intake && Vms[Vm].Intake->confirmation(Now).has_value();
  }
  /// The newest version at a running router that others hear.
  std::uint64_t newestInReach() const {
    std::uint64_t Newest = 0;
    for (const vm &Vm : Vms)
      if (Vm.Intake && !Vm.IsCut)
        Newest = std::max(Newest, Vm.InUse);
    return Newest;
  }

  mono_time Now{1h};
  std::vector<vm> Vms;
  std::uint64_t Stored = 1;
  std::uint64_t Copy = 1;
  std::uint64_t Written = 1;
};

/// What may happen in one step: to one VM or to the store.
void play(fleet &Fleet, std::size_t Event) {
  const std::size_t Count = Fleet.Vms.size();
  const std::size_t Vm = Event % Count;
  switch (Event / Count) {
  case 0:
    Fleet.start(Vm);
    break;
  case 1:
    Fleet.read(Vm);
    break;
  case 2:
    Fleet.kill(Vm);
    break;
  case 3:
    Fleet.Vms[Vm].IsCut = !Fleet.Vms[Vm].IsCut;
    break;
  default:
    if (Vm == 0)
      Fleet.Stored = ++Fleet.Written;
    else if (Vm == 1)
      Fleet.Copy = Fleet.Stored;
    else
      Fleet.Stored = Fleet.Copy;
  }
}

/// Plays the events, then starts a VM that reads whatever the store has.
/// Returns whether it serves by an older configuration than another router in
/// reach had when it started.
bool isFooled(fleet &Fleet, std::size_t Vm) {
  Fleet.kill(Vm);
  const std::uint64_t Known = Fleet.newestInReach();
  Fleet.start(Vm);
  for (int Tick = 0; Tick < 12; ++Tick) {
    Fleet.exchange(Vm);
    if (Tick >= 1)
      Fleet.read(Vm);
    if (Fleet.isServing(Vm) && Fleet.Vms[Vm].InUse < Known)
      return true;
    Fleet.tick();
  }
  return !Fleet.isServing(Vm);
}

} // namespace

// Every order of start, read, kill, cut, write, copy and return for three VMs,
// five steps after a common start. No start ends with a revoked configuration
// that another router in reach knew, and each ends with one that serves.
BOOST_AUTO_TEST_CASE(start_takes_newest_of_vms_in_reach) {
  constexpr std::size_t VmCount = 3;
  constexpr std::size_t Events = 5 * VmCount;
  constexpr std::size_t Walks = Events * Events * Events * Events * Events;
  std::size_t Fooled = 0;
  for (std::size_t Walk = 0; Walk < Walks; ++Walk) {
    fleet Fleet(VmCount);
    for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
      Fleet.start(Vm);
      Fleet.read(Vm);
    }
    for (std::size_t Left = Walk, Step = 0; Step < 5; ++Step, Left /= Events) {
      play(Fleet, Left % Events);
      Fleet.tick();
    }
    Fooled += isFooled(Fleet, 0) ? 1 : 0;
  }
  BOOST_TEST(Fooled == 0U);
}

// The same at random for larger fleets, where a router that starts asks only
// some of its peers: it can hear what has spread among those in reach.
BOOST_AUTO_TEST_CASE(start_takes_newest_in_larger_fleets) {
  std::mt19937_64 Random(20261204);
  std::size_t Fooled = 0;
  for (const std::size_t VmCount : {9U, 40U, 120U})
    for (int Walk = 0; Walk < 20; ++Walk) {
      fleet Fleet(VmCount);
      for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
        Fleet.start(Vm);
        Fleet.read(Vm);
      }
      for (int Step = 0; Step < 60; ++Step) {
        play(Fleet, Random() % (5 * VmCount));
        Fleet.tick();
      }
      for (int Tick = 0; Tick < 20; ++Tick) {
        Fleet.gossip();
        Fleet.tick();
      }
      Fooled += isFooled(Fleet, Random() % VmCount) ? 1 : 0;
    }
  BOOST_TEST(Fooled == 0U);
}

// Peers are dead, or of a release that doesn't answer. The store decides after
// a bounded wait.
BOOST_AUTO_TEST_CASE(silent_peers_hold_start_only_for_a_while) {
  configuration_intake Intake(1);
  mono_time Now{1h};
  Intake.setPeers({address(1), address(2)}, Now);
  Intake.setInUse(7);
  Intake.confirm(Now, Now);
  BOOST_TEST(!Intake.confirmation(Now).has_value());
  Now += config::PeerAnswersTimeout;
  BOOST_TEST(Intake.confirmation(Now).has_value());
}

// The list of routers can't be read, but the configuration can.
BOOST_AUTO_TEST_CASE(unknown_peers_hold_start_only_for_a_while) {
  configuration_intake Intake(1);
  mono_time Now{1h};
  Intake.setInUse(7);
  Intake.confirm(Now, Now);
  BOOST_TEST(!Intake.confirmation(Now).has_value());
  Now += config::PeersKnownTimeout;
  BOOST_TEST(Intake.confirmation(Now).has_value());
}

// A datagram is cut short. It is no query and no reply.
BOOST_AUTO_TEST_CASE(cut_messages_are_refused) {
  const std::string Reply =
      encodeConfigurationReply({7, 2, std::string(500, 'x')});
  const auto Decoded = decodeConfigurationReply(Reply);
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Version == 7U);
  BOOST_TEST(Decoded->Era == 2U);
  BOOST_TEST(Decoded->Content == std::string(500, 'x'));
  for (std::size_t Length = 0; Length < Reply.size(); ++Length)
    BOOST_TEST(!decodeConfigurationReply(Reply.substr(0, Length)).has_value());
  BOOST_TEST(
      decodeConfigurationQuery(encodeConfigurationQuery({true}))->WantsContent);
  BOOST_TEST(!decodeConfigurationQuery("").has_value());
}

// Load: a whole fleet starts, and nobody knows a configuration. An answer must
// not make a router ask the rest again at once.
BOOST_AUTO_TEST_CASE(answers_cause_no_further_asks_at_once) {
  configuration_intake Intake(1);
  mono_time Now{1h};
  std::vector<std::string> Peers;
  for (std::size_t Each = 1; Each < 74; ++Each)
    Peers.push_back(address(Each));
  Intake.setPeers(Peers, Now);
  const auto Asks = Intake.takeAsks(Now);
  BOOST_TEST(Asks.size() == config::PeersAskedAtOnce);
  for (const auto &Ask : Asks) {
    Intake.noteAnswer(Ask.Address, 0, Now);
    BOOST_TEST(Intake.takeAsks(Now).empty());
  }
  Now += config::RouterTickInterval;
  BOOST_TEST(Intake.takeAsks(Now).size() == config::PeersAskedAtOnce);
}
