#define BOOST_TEST_MODULE store_backoff
#include "config.h"
#include "hashing.h"
#include "store_backoff.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr mono_time Start{1h};
constexpr duration KeyLease = 4750ms;

store_backoff makeReader() {
  return {1, KeyLease, [](mono_time) { return store_fleet{true, 88}; }};
}

store_backoff makeFollower(std::size_t LiveVms) {
  return {1, KeyLease, [LiveVms](mono_time) {
            return store_fleet{false, LiveVms};
          }};
}

/// A fleet in virtual time. VMs follow four topics; all but the readers query a
/// reader first.
class fleet {
public:
  /// Whether the store serves a VM.
  using store_rule = std::function<bool(std::size_t Vm, mono_time Now)>;

  fleet(std::size_t Size, store_rule IsServed) : IsServed(std::move(IsServed)) {
    for (std::size_t Number = 0; Number < Size; ++Number) {
      Vms.push_back(std::make_unique<vm>(Number, Size));
      vm &Vm = *Vms.back();
      for (std::size_t Each = 0; Each < TopicsPerVm; ++Each)
        Vm.Topics[Each].DueAt = Start + config::RelayPollInterval *
                                            (mixBits(4 * Number + Each) % 97) /
                                            97;
      Vm.BackOff.onRegained([&Vm, this] {
        for (topic &Topic : Vm.Topics)
          if (Topic.IsHeld)
            Topic.DueAt = Now;
      });
    }
  }

  /// Cuts a VM off from the readers.
  void cutOff(std::size_t Vm) { Vms[Vm]->ReachesReaders = false; }

  void runUntil(mono_time End) {
    for (; Now < End; Now += Step)
      for (const auto &Vm : Vms)
        for (topic &Topic : Vm->Topics)
          step(*Vm, Topic);
  }

  /// Age of the configuration's confirmation on a VM.
  duration age(std::size_t Vm) const {
    return Now - Vms[Vm]->Topics[0].ConfirmedAt;
  }
  /// The longest time without a confirmation on a VM.
  duration longestAge(std::size_t Vm) const {
    return Vms[Vm]->Topics[0].LongestAge;
  }
  /// Failed calls from the readers and from the other VMs, in a second.
  unsigned failedOfReaders(long Second) const {
    return at(FailedOfReaders, Second);
  }
  unsigned failedOfOthers(long Second) const {
    return at(FailedOfOthers, Second);
  }

private:
  static constexpr auto Step = 5ms;
  static constexpr auto CallTime = 20ms;
  static constexpr std::size_t TopicsPerVm = 4;

  struct topic {
    mono_time DueAt{};
    mono_time ConfirmedAt = Start;
    duration LongestAge{};
    std::optional<mono_time> SentAt; ///< of a pending call
    bool IsHeld = false;
  };
  struct vm {
    vm(std::size_t Number, std::size_t Size)
        : Number(Number), BackOff(Number, KeyLease, [Number, Size](mono_time) {
            return store_fleet{Number < config::RelayReaders, Size};
          }) {}
    bool isReader() const { return Number < config::RelayReaders; }
    std::size_t indexOf(const topic &Topic) const {
      return static_cast<std::size_t>(&Topic - Topics.data());
    }
    std::size_t Number;
    bool ReachesReaders = true;
    store_backoff BackOff;
    std::array<topic, TopicsPerVm> Topics;
  };

  static unsigned at(const std::map<long, unsigned> &Counts, long Second) {
    const auto Found = Counts.find(Second);
    return Found == Counts.end() ? 0 : Found->second;
  }

  void step(vm &Vm, topic &Topic) {
    Topic.LongestAge = std::max(Topic.LongestAge, Now - Topic.ConfirmedAt);
    if (Topic.SentAt) {
      if (Now - *Topic.SentAt >= CallTime)
        endCall(Vm, Topic);
    } else if (Now >= Topic.DueAt) {
      poll(Vm, Topic);
    }
  }

  void poll(vm &Vm, topic &Topic) {
    Topic.IsHeld = false;
    if (!Vm.isReader()) {
      if (queryReader(Vm, Topic))
        return;
      Vm.BackOff.doubt(Now);
    }
    if (Vm.BackOff.tryCall(Now))
      Topic.SentAt = Now;
    else
      hold(Vm, Topic);
  }

  bool queryReader(const vm &Vm, topic &Topic) {
    if (!Vm.ReachesReaders)
      return false;
    mono_time Newest{};
    for (std::size_t Reader = 0; Reader < config::RelayReaders; ++Reader)
      Newest =
          std::max(Newest, Vms[Reader]->Topics[Vm.indexOf(Topic)].ConfirmedAt);
    if (Now - Newest > config::MaxRelayedAge)
      return false;
    Topic.ConfirmedAt = std::max(Topic.ConfirmedAt, Newest);
    Topic.DueAt = Now + config::RelayPollInterval;
    return true;
  }

  void announce(std::size_t Index) {
    for (const auto &Vm : Vms)
      if (!Vm->isReader() && Vm->ReachesReaders)
        Vm->Topics[Index].DueAt = Now;
  }

  void hold(vm &Vm, topic &Topic) {
    Topic.IsHeld = true;
    Topic.DueAt = std::min<mono_time>(Vm.BackOff.nextCallAt(Now),
                                      Now + config::RelayPollInterval);
  }

  void endCall(vm &Vm, topic &Topic) {
    const mono_time SentAt = *Topic.SentAt;
    Topic.SentAt.reset();
    if (IsServed(Vm.Number, SentAt)) {
      if (Vm.isReader() && SentAt - Topic.ConfirmedAt > config::MaxRelayedAge)
        announce(Vm.indexOf(Topic));
      Topic.ConfirmedAt = SentAt;
      Topic.DueAt = Now + config::RelayPollInterval;
      Vm.BackOff.noteAnswer(SentAt, Now);
      return;
    }
    const auto Second =
        std::chrono::floor<std::chrono::seconds>(SentAt - Start);
    ++(Vm.isReader() ? FailedOfReaders : FailedOfOthers)[Second.count()];
    Vm.BackOff.noteFailure(SentAt, Now);
    hold(Vm, Topic);
  }

  store_rule IsServed;
  mono_time Now = Start;
  std::vector<std::unique_ptr<vm>> Vms;
  std::map<long, unsigned> FailedOfReaders;
  std::map<long, unsigned> FailedOfOthers;
};

constexpr mono_time OutageBegin = Start + 2s;
constexpr mono_time OutageEnd = OutageBegin + 8s;

bool isInOutage(mono_time Now) { return Now >= OutageBegin && Now < OutageEnd; }

bool isServedAfterOutage(std::size_t /*Vm*/, mono_time Now) {
  return !isInOutage(Now);
}

/// Seconds of the model: most VMs have noticed the outage; their leases have
/// expired; the store is available.
constexpr long DoubtSecond = 3;
constexpr long LeaseEndSecond = 8;
constexpr long EndSecond = 10;

/// Two calls one after the other, and steps of the model.
constexpr auto ReadTime = 60ms;

constexpr duration LeaseSpare = KeyLease - config::MaxRelayedAge -
                                config::RelayPollInterval -
                                config::StoreProbeTimeout;

/// The most calls a second of VMs that use the bound, or this longest interval
/// if that is shorter.
double boundOf(std::size_t Vms, duration Longest) {
  const std::chrono::duration<double> Shortest =
      Longest / (1 + config::StoreProbeJitter);
  return std::max(config::StoreProbesPerSecond,
                  static_cast<double>(Vms) / Shortest.count());
}

} // namespace

BOOST_AUTO_TEST_CASE(store_that_answers_limits_no_call) {
  store_backoff BackOff = makeFollower(88);
  for (mono_time Now = Start; Now < Start + 10s; Now += 100ms) {
    BOOST_TEST(BackOff.tryCall(Now));
    BOOST_TEST(BackOff.tryCall(Now));
    BackOff.noteAnswer(Now, Now + 1400ms);
    BackOff.doubt(Now + 1400ms); // answered this VM just now
  }
}

// Failure: a single call is lost. The retry follows at once.
BOOST_AUTO_TEST_CASE(lost_call_is_followed_by_a_probe_at_once) {
  store_backoff BackOff = makeFollower(88);
  BackOff.noteFailure(Start, Start + 20ms);
  BOOST_TEST(!BackOff.isUnavailable());
  BOOST_TEST(BackOff.tryCall(Start + 20ms));
  BOOST_TEST(!BackOff.tryCall(Start + 21ms)); // one at a time
  BackOff.noteAnswer(Start + 20ms, Start + 40ms);
  BOOST_TEST(BackOff.tryCall(Start + 40ms));
  BOOST_TEST(BackOff.tryCall(Start + 40ms));
}

BOOST_AUTO_TEST_CASE(reader_probes_at_a_short_interval) {
  store_backoff BackOff = makeReader();
  BackOff.noteFailure(Start, Start);
  mono_time Now = Start;
  for (unsigned Probe = 0; Probe < 40; ++Probe) {
    BOOST_TEST(BackOff.tryCall(Now));
    BackOff.noteFailure(Now, Now);
    BOOST_TEST(!BackOff.tryCall(Now + config::StoreRetryDelay - 1ms));
    Now += config::StoreRetryDelay;
  }
  BOOST_TEST(BackOff.isUnavailable());
}

// Failure: a long poll from before the outage is answered during it.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_call_does_not_end_the_outage) {
  store_backoff BackOff = makeReader();
  unsigned Regained = 0;
  BackOff.onRegained([&Regained] { ++Regained; });
  BackOff.noteFailure(Start, Start + 20ms);
  BackOff.noteAnswer(Start + 10ms, Start + 30ms);
  BOOST_TEST(BackOff.isInDoubt());
  BOOST_TEST(BackOff.tryCall(Start + 40ms));
  BackOff.noteAnswer(Start + 40ms, Start + 60ms);
  BOOST_TEST(!BackOff.isInDoubt());
  BOOST_TEST(Regained == 1U);
}

// Failure: the store rejects the calls of one topic and answers the others.
BOOST_AUTO_TEST_CASE(failure_of_one_topic_is_no_outage) {
  store_backoff BackOff = makeFollower(88);
  for (mono_time Now = Start; Now < Start + 5s; Now += 250ms) {
    BackOff.noteAnswer(Now + 5ms, Now + 15ms); // another topic
    BackOff.noteFailure(Now, Now + 20ms);
    BOOST_TEST(!BackOff.isInDoubt());
  }
}

// Failure: a follower ends before the result of its probe arrives.
BOOST_AUTO_TEST_CASE(lost_probe_is_repeated) {
  store_backoff BackOff = makeReader();
  BackOff.noteFailure(Start, Start);
  BOOST_TEST(BackOff.tryCall(Start));
  BOOST_TEST(!BackOff.tryCall(Start + config::StoreProbeLifetime - 1ms));
  BOOST_TEST(
      (BackOff.nextCallAt(Start + 1ms) == Start + config::StoreProbeLifetime));
  BOOST_TEST(BackOff.tryCall(Start + config::StoreProbeLifetime));
}

BOOST_AUTO_TEST_CASE(outage_is_announced_once_with_its_length) {
  store_backoff BackOff = makeReader();
  std::vector<store_outage> Begun;
  std::vector<store_outage> Ended;
  BackOff.onOutage([&](const store_outage &Each) { Begun.push_back(Each); },
                   [&](const store_outage &Each) { Ended.push_back(Each); });
  BackOff.noteFailure(Start, Start);
  for (mono_time Now = Start; Now < Start + 2s; Now += 250ms) {
    BOOST_TEST(BackOff.tryCall(Now));
    BackOff.noteFailure(Now, Now);
  }
  BOOST_TEST(BackOff.tryCall(Start + 2s));
  BackOff.noteAnswer(Start + 2s, Start + 2s);
  BOOST_TEST(Begun.size() == 1U);
  BOOST_REQUIRE(Ended.size() == 1U);
  BOOST_TEST((Ended[0].Length == 2s));
  BOOST_TEST(Ended[0].FailedCalls == 9U);
}

// Failure: the store rejects all calls of all VMs for some seconds. Each VM
// notices it with a call or two. Then calls stay within the bound, or while VMs
// may hold a key lease, within one probe of each in the time left of it.
BOOST_AUTO_TEST_CASE(calls_of_a_fleet_during_an_outage_are_bounded) {
  constexpr unsigned ReaderCalls =
      config::RelayReaders * (1s / config::StoreRetryDelay + 1);
  for (const std::size_t Size : {9U, 88U, 1100U}) {
    const std::size_t Others = Size - config::RelayReaders;
    fleet Fleet(Size, isServedAfterOutage);
    Fleet.runUntil(OutageEnd + 3s);
    BOOST_TEST(Fleet.failedOfOthers(DoubtSecond) <= 2 * Others);
    for (long Second = DoubtSecond; Second < EndSecond; ++Second) {
      BOOST_TEST_MESSAGE(Size << " VMs, second " << Second << ": "
                              << Fleet.failedOfOthers(Second) << " and "
                              << Fleet.failedOfReaders(Second));
      BOOST_TEST(Fleet.failedOfReaders(Second) <= ReaderCalls);
    }
    for (long Second = DoubtSecond + 1; Second < EndSecond; ++Second)
      BOOST_TEST(Fleet.failedOfOthers(Second) <= boundOf(Others, LeaseSpare));
    for (long Second = LeaseEndSecond; Second < EndSecond; ++Second)
      BOOST_TEST(Fleet.failedOfOthers(Second) <=
                 boundOf(Others, config::MaxStoreProbeInterval));
    BOOST_TEST(Fleet.failedOfReaders(EndSecond) == 0U);
    BOOST_TEST(Fleet.failedOfOthers(EndSecond) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(all_vms_go_on_soon_after_an_outage) {
  for (const std::size_t Size : {9U, 88U, 1100U}) {
    fleet Fleet(Size, isServedAfterOutage);
    Fleet.runUntil(OutageEnd + config::StoreRetryDelay + ReadTime);
    for (std::size_t Vm = 0; Vm < Size; ++Vm)
      BOOST_REQUIRE((Fleet.age(Vm) < config::StoreRetryDelay + ReadTime));
  }
}

// Failure: a VM reaches the store but no reader, so it must notice itself that
// the store is available again.
BOOST_AUTO_TEST_CASE(vm_without_readers_goes_on_after_an_outage) {
  const std::map<std::size_t, duration> Longest{
      {9, std::chrono::duration_cast<duration>((1 + config::StoreProbeJitter) *
                                               config::MaxStoreRetryDelay)},
      {88, LeaseSpare},
      {1100, config::MaxStoreProbeInterval}};
  for (const auto &[Size, Interval] : Longest) {
    fleet Fleet(Size, isServedAfterOutage);
    Fleet.cutOff(5);
    Fleet.runUntil(OutageEnd + Interval + ReadTime);
    BOOST_TEST((Fleet.age(5) < Interval + ReadTime));
  }
}

// Failure: the readers lose the store, and the other VMs' first calls fail too.
// They still confirm their keys before the lease ends.
BOOST_AUTO_TEST_CASE(vms_that_reach_the_store_again_keep_their_lease) {
  for (const std::size_t Size : {9U, 88U, 1100U}) {
    fleet Fleet(Size, [](std::size_t Vm, mono_time Now) {
      return Now < OutageBegin ||
             (Vm >= config::RelayReaders && Now >= OutageBegin + 2s);
    });
    Fleet.runUntil(OutageEnd);
    for (std::size_t Vm = config::RelayReaders; Vm < Size; ++Vm)
      BOOST_REQUIRE((Fleet.longestAge(Vm) < KeyLease));
  }
}

// Failure: the store turns half of the VMs away, the readers among them. The
// others go on with calls of their own.
BOOST_AUTO_TEST_CASE(vms_that_are_served_go_on_without_readers) {
  const auto IsTurnedAway = [](std::size_t Vm) {
    return Vm < config::RelayReaders || Vm % 2 == 0;
  };
  for (const std::size_t Size : {9U, 88U, 1100U}) {
    fleet Fleet(Size, [&](std::size_t Vm, mono_time Now) {
      return !isInOutage(Now) || !IsTurnedAway(Vm);
    });
    Fleet.runUntil(OutageEnd + config::StoreRetryDelay + ReadTime);
    for (std::size_t Vm = 0; Vm < Size; ++Vm) {
      BOOST_REQUIRE((Fleet.age(Vm) < config::StoreRetryDelay + ReadTime));
      if (!IsTurnedAway(Vm))
        BOOST_REQUIRE(
            (Fleet.longestAge(Vm) <
             config::MaxRelayedAge + config::RelayPollInterval + ReadTime));
    }
    for (long Second = LeaseEndSecond; Second < EndSecond; ++Second)
      BOOST_TEST(Fleet.failedOfOthers(Second) <=
                 boundOf(Size / 2, config::MaxStoreProbeInterval));
  }
}
