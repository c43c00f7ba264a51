#define BOOST_TEST_MODULE request_quarantine
#include "config.h"
#include "crash_detector.h"
#include "request_quarantine.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Request = 1;
constexpr std::uint64_t Other = 2;

struct fixture {
  mono_time Now{1h};
  request_quarantine Quarantine;

  void crash(std::uint64_t Crash, std::vector<std::uint64_t> Requests) {
    Quarantine.recordCrash(Crash, Requests, Now);
  }
};

endpoint_info endpoint(std::uint64_t Incarnation = 1) {
  endpoint_info Info;
  Info.Id = "e1";
  Info.Incarnation = Incarnation;
  return Info;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(third_crash_quarantines_a_request, fixture) {
  crash(10, {Request});
  crash(11, {Request});
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  crash(12, {Request});
  BOOST_TEST(Quarantine.isQuarantined(Request));
  BOOST_TEST(!Quarantine.isQuarantined(Other));
  BOOST_TEST((Quarantine.timeLeft(Request, Now) == config::QuarantineTtl));
}

// Several VMs had the same request in flight at one endpoint, and each reports
// the crash.
BOOST_FIXTURE_TEST_CASE(one_crash_reported_by_many_vms_counts_once, fixture) {
  crash(10, {Request});
  for (int Each = 0; Each < 5; ++Each)
    Quarantine.applyPeerCrashNote({Request, {10}}, Now);
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  Quarantine.applyPeerCrashNote({Request, {11, 12}}, Now);
  BOOST_TEST(Quarantine.isQuarantined(Request));
}

// A request was in flight at two endpoints that another one crashed, and later
// at one that crashes by itself.
BOOST_FIXTURE_TEST_CASE(requests_beside_a_quarantined_one_are_cleared,
                        fixture) {
  crash(10, {Request, Other});
  crash(11, {Other, Request});
  crash(12, {Request});
  Now += config::CrashAttributionDelay;
  Quarantine.expire(Now);
  crash(13, {Other});
  crash(14, {Other});
  BOOST_TEST(!Quarantine.isQuarantined(Other));
  crash(15, {Other});
  BOOST_TEST(Quarantine.isQuarantined(Other));
  BOOST_TEST(Quarantine.isQuarantined(Request));
}

// The notes of a harmless request arrive before those of the request that
// crashed the endpoints. Clearing at once would let that one crash three more.
BOOST_FIXTURE_TEST_CASE(clearing_waits_for_late_crash_notes, fixture) {
  crash(10, {Request});
  crash(11, {Request});
  Quarantine.applyPeerCrashNote({Other, {10, 11, 12}}, Now);
  Quarantine.expire(Now);
  Quarantine.applyPeerCrashNote({Request, {12}}, Now);
  BOOST_TEST(Quarantine.isQuarantined(Request));
}

// A request that many callers send is in flight at three endpoints that crash.
BOOST_FIXTURE_TEST_CASE(served_request_is_not_quarantined, fixture) {
  Quarantine.markServed(Request, Now);
  for (std::uint64_t Crash = 10; Crash < 20; ++Crash)
    crash(Crash, {Request});
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Other});
  Quarantine.markServed(Other, Now);
  BOOST_TEST(!Quarantine.isQuarantined(Other));
}

// Failure: a request was served and crashes endpoints from some moment on.
BOOST_FIXTURE_TEST_CASE(success_clears_no_later_crash, fixture) {
  Quarantine.markServed(Request, Now);
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash) {
    BOOST_TEST(!Quarantine.isQuarantined(Request));
    Now += 1s;
    crash(Crash, {Request});
  }
  BOOST_TEST(Quarantine.isQuarantined(Request));
}

// Load: a request that many callers send is in flight at endpoints that crash
// for other reasons, and is served in between.
BOOST_FIXTURE_TEST_CASE(success_clears_all_earlier_crashes, fixture) {
  for (std::uint64_t Crash = 10; Crash < 50; ++Crash) {
    Now += 1s;
    crash(Crash, {Request});
    if (Crash % 2 == 0)
      Quarantine.markServed(Request, Now);
    BOOST_TEST(!Quarantine.isQuarantined(Request));
  }
}

// Load: a request becomes quarantined while others like it run elsewhere. One
// of them completes.
BOOST_FIXTURE_TEST_CASE(success_ends_a_quarantine, fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, 0s, Now);
  Now += 1s;
  Quarantine.markServed(Request, Now);
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  const auto Unsaved = Quarantine.takeUnsaved(0s, Now);
  BOOST_REQUIRE(Unsaved.size() == 1U);
  request_quarantine Later; // of a VM that starts now
  const auto Read = decodeCrashNotes(encodeCrashNotes(Unsaved)).value();
  for (const crash_note &Note : Read)
    Later.applyStoredNote(Note, 0s, Now);
  Later.applyPeerCrashNote({Request, {10, 11, 12}}, Now); // late
  BOOST_TEST(!Later.isQuarantined(Request));
  Quarantine.applyStoredNote(Unsaved.front(), 0s, Now);
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now + 1h).empty());
}

// Failure: a VM's wall clock is wrong, so the age of a stored crash is too
// high.
BOOST_FIXTURE_TEST_CASE(stored_age_proves_no_success_after_it, fixture) {
  Quarantine.markServed(Request, Now);
  Now += 1s;
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, 1min, Now);
  BOOST_TEST(Quarantine.isQuarantined(Request));
}

namespace {

/// Crashes and successes of one request at any of three VMs, whose clocks
/// differ, and notes between them that get lost, come twice or late.
class vms {
public:
  explicit vms(unsigned Seed) : Random(Seed) {}

  /// Returns the crashes since the last success.
  std::size_t play(bool IsDelayed) {
    std::size_t SinceSuccess = 0;
    for (std::uint64_t Event = 1; Event <= 12; ++Event) {
      wait(100ms + std::chrono::milliseconds(pick(400)), IsDelayed);
      const std::size_t Vm = pick(Vms.size());
      if (pick(4) == 0) {
        Vms[Vm].markServed(Request, at(Vm));
        SinceSuccess = 0;
      } else {
        Vms[Vm].recordCrash(Event, std::vector<std::uint64_t>{Request}, at(Vm));
        ++SinceSuccess;
      }
    }
    wait(20s, IsDelayed);
    return SinceSuccess;
  }
  std::size_t countHeld() const {
    return static_cast<std::size_t>(
        std::count_if(Vms.begin(), Vms.end(), [](const auto &Vm) {
          return Vm.isQuarantined(Request);
        }));
  }
  static constexpr std::size_t Count = 3;
  static constexpr std::size_t Readers = 2;

private:
  std::size_t pick(std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Random);
  }
  mono_time at(std::size_t Vm) const { return Now + Vm * 7h; }
  void wait(duration Time, bool IsDelayed) {
    for (const mono_time End = Now + Time; Now < End; Now += 50ms) {
      while (!Sent.empty() && Sent.begin()->first <= Now)
        Sent.extract(Sent.begin()).mapped()();
      for (std::size_t From = 0; From < Vms.size(); ++From)
        send(From, IsDelayed);
    }
  }
  void send(std::size_t From, bool IsDelayed) {
    const auto [Suspects, Held] =
        Vms[From].takeOutgoing(From < Readers, at(From));
    for (std::size_t To = 0; To < Vms.size(); ++To) {
      std::vector<crash_note> Notes = Held;
      if (To < Readers)
        Notes.insert(Notes.end(), Suspects.begin(), Suspects.end());
      const std::size_t Copies = pick(10) == 0 ? 0 : 1 + pick(2);
      for (std::size_t Copy = 0; To != From && Copy < Copies; ++Copy)
        Sent.emplace(
            Now + std::chrono::milliseconds(IsDelayed ? pick(3000) : 0),
            [this, To,
             Notes = decodeCrashNotes(encodeCrashNotes(Notes)).value()] {
              for (const crash_note &Note : Notes)
                Vms[To].applyPeerCrashNote(Note, at(To));
            });
    }
  }

  std::mt19937 Random;
  mono_time Now{1h};
  std::array<request_quarantine, Count> Vms;
  std::multimap<mono_time, std::function<void()>> Sent;
};

} // namespace

// Failure: datagrams are lost, repeated and late. Three crashes since the last
// success at any VM hold the request at all of them.
BOOST_AUTO_TEST_CASE(crashes_since_the_last_success_hold_on_all_vms) {
  for (unsigned Seed = 1; Seed <= 500; ++Seed) {
    vms Vms(Seed);
    const std::size_t Crashes = Vms.play(true);
    BOOST_TEST_INFO("seed " << Seed);
    if (Crashes >= config::QuarantineCrashThreshold)
      BOOST_TEST(Vms.countHeld() == vms::Count);
  }
}

// Harm prevented: a request is held for crashes before a success that another
// VM saw.
BOOST_AUTO_TEST_CASE(success_at_any_vm_clears_earlier_crashes_on_all) {
  for (unsigned Seed = 1; Seed <= 500; ++Seed) {
    vms Vms(Seed);
    const bool IsHeld = Vms.play(false) >= config::QuarantineCrashThreshold;
    BOOST_TEST_INFO("seed " << Seed);
    BOOST_TEST(Vms.countHeld() == (IsHeld ? vms::Count : 0U));
  }
}

// For some time a part of all requests crashes the endpoint, several of them at
// once and on busy endpoints. Each must be quarantined, and nothing else may
// stay quarantined.
BOOST_AUTO_TEST_CASE(only_crashing_requests_are_quarantined) {
  constexpr std::uint64_t Requests = 200;
  constexpr std::uint64_t CrashingEvery = 33;
  constexpr std::size_t OnOneEndpoint = 6;
  constexpr unsigned CrashesAllowed = 6; // three, plus three sends after these
  const auto IsCrashing = [](std::uint64_t Each) {
    return Each % CrashingEvery == 0;
  };
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    request_quarantine Quarantine;
    mono_time Now{1h};
    std::map<std::uint64_t, unsigned> Crashes; ///< by crashing request
    for (std::uint64_t Endpoint = 1; Endpoint <= 1000; ++Endpoint) {
      std::vector<std::uint64_t> InFlight;
      while (InFlight.size() < OnOneEndpoint) {
        const std::uint64_t Each =
            std::uniform_int_distribution<std::uint64_t>(1, Requests)(Random);
        if (!Quarantine.isQuarantined(Each))
          InFlight.push_back(Each);
      }
      if (std::none_of(InFlight.begin(), InFlight.end(), IsCrashing)) {
        for (const std::uint64_t Each : InFlight)
          Quarantine.markServed(Each, Now);
      } else {
        Quarantine.recordCrash(Endpoint, InFlight, Now);
        for (const std::uint64_t Each : InFlight)
          Crashes[Each] += IsCrashing(Each) ? 1 : 0;
      }
      Now += 20ms;
      Quarantine.expire(Now);
    }
    BOOST_TEST_INFO("seed " << Seed);
    BOOST_TEST(Quarantine.countQuarantined() == Requests / CrashingEvery);
    for (std::uint64_t Each = 1; Each <= Requests; ++Each) {
      BOOST_TEST_INFO("seed " << Seed << ", request " << Each);
      BOOST_TEST(Quarantine.isQuarantined(Each) == IsCrashing(Each));
      BOOST_TEST(Crashes[Each] <= CrashesAllowed);
    }
  }
}

// Two partitions of a fleet share only what is in the store.
BOOST_FIXTURE_TEST_CASE(partitions_add_up_through_the_store, fixture) {
  request_quarantine OtherPart;
  crash(10, {Request});
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now).empty());
  crash(11, {Request});
  const auto Kept = Quarantine.takeUnsaved(0s, Now);
  BOOST_REQUIRE(Kept.size() == 1U);
  OtherPart.recordCrash(12, std::vector<std::uint64_t>{Request}, Now);
  OtherPart.applyStoredNote(Kept[0], 0s, Now);
  BOOST_TEST(OtherPart.isQuarantined(Request));
  const auto Union = OtherPart.takeUnsaved(0s, Now);
  BOOST_REQUIRE(Union.size() == 1U);
  Quarantine.applyStoredNote(Union[0], 0s, Now);
  BOOST_TEST(Quarantine.isQuarantined(Request));
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now + 1h).empty());
}

// The store doesn't answer while a request becomes quarantined.
BOOST_FIXTURE_TEST_CASE(failed_store_writes_are_retried, fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  BOOST_TEST(Quarantine.takeUnsaved(1s, Now).empty());
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now).size() == 1U);
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now).empty());
  Now += config::QuarantineSaveRetryDelay;
  BOOST_TEST(Quarantine.takeUnsaved(0s, Now).size() == 1U);
}

// Datagrams are lost: each note is sent several times, to readers as a suspect,
// and by readers to all once it is quarantined.
BOOST_FIXTURE_TEST_CASE(notes_are_repeated, fixture) {
  crash(10, {Request});
  unsigned Suspects = 0;
  for (int Each = 0; Each < 10; ++Each, Now += config::CrashNoteInterval)
    Suspects += Quarantine.takeOutgoing(false, Now).Suspects.size();
  BOOST_TEST(Suspects == config::CrashNoteRepeats);
  Quarantine.applyPeerCrashNote({Request, {11, 12}}, Now);
  unsigned Quarantined = 0;
  for (unsigned Each = 0; Each < config::CrashNoteRepeats;
       ++Each, Now += config::CrashNoteInterval)
    Quarantined += Quarantine.takeOutgoing(true, Now).Quarantined.size();
  BOOST_TEST(Quarantined == config::CrashNoteRepeats);
}

// A VM is paused while a request becomes quarantined and misses every note.
BOOST_FIXTURE_TEST_CASE(quarantined_requests_are_rebroadcast, fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  Now += 1h;
  for (int Each = 0; Each < 5; ++Each, Now += config::QuarantineResendInterval)
    BOOST_TEST(Quarantine.takeOutgoing(true, Now).Quarantined.size() == 1U);
  BOOST_TEST(Quarantine.takeOutgoing(false, Now).Quarantined.empty());
}

BOOST_FIXTURE_TEST_CASE(quarantine_expires_after_its_ttl, fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, 0s, Now);
  Now += config::QuarantineTtl - 1s;
  BOOST_TEST(Quarantine.expire(Now).empty());
  BOOST_TEST(Quarantine.isQuarantined(Request));
  Now += 1s;
  BOOST_TEST(Quarantine.expire(Now) == std::vector<std::uint64_t>{Request},
             boost::test_tools::per_element());
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, config::QuarantineTtl,
                             Now);
  BOOST_TEST(!Quarantine.isQuarantined(Request));
}

// Two readers send each other the quarantined requests every second. That must
// not extend the quarantine.
BOOST_FIXTURE_TEST_CASE(rebroadcast_does_not_extend_the_quarantine, fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  Now += config::QuarantineTtl - 1s;
  Quarantine.applyPeerCrashNote({Request, {10, 11, 12}}, Now);
  Now += 1s;
  Quarantine.expire(Now);
  BOOST_TEST(!Quarantine.isQuarantined(Request));
}

// An operator deletes the record of a request.
BOOST_FIXTURE_TEST_CASE(deleted_record_releases_its_request, fixture) {
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, 0s, Now);
  BOOST_TEST(Quarantine.isQuarantined(Request));
  Quarantine.releaseRequest(Request);
  BOOST_TEST(!Quarantine.isQuarantined(Request));
  Quarantine.applyStoredNote({Request, {10, 11, 12}}, 0s, Now);
  Quarantine.applyPeerCrashNote({Request, {}},
                                Now); // from a reader of the store
  BOOST_TEST(!Quarantine.isQuarantined(Request));
}

// Endpoints of a data centre crash with thousands of requests in flight.
BOOST_FIXTURE_TEST_CASE(suspects_are_bounded_and_quarantined_ones_stay,
                        fixture) {
  for (std::uint64_t Crash = 10; Crash < 13; ++Crash)
    crash(Crash, {Request});
  for (std::uint64_t Each = 100; Each < 100 + 3 * config::MaxSuspects; ++Each)
    crash(20, {Each});
  BOOST_TEST(Quarantine.isQuarantined(Request));
  BOOST_TEST(Quarantine.countQuarantined() == 1U);
}

BOOST_AUTO_TEST_CASE(crash_notes_round_trip) {
  const bool IsOk = rc::check([](std::uint64_t Id, std::int64_t Ms,
                                 std::vector<std::uint64_t> Crashes) {
    if (Crashes.size() > config::MaxCrashesPerRequest)
      Crashes.resize(config::MaxCrashesPerRequest);
    const crash_note Note{Id, Crashes, Ms};
    const auto Read = decodeCrashNotes(encodeCrashNotes({&Note, 1}));
    RC_ASSERT(Read && Read->size() == 1U);
    RC_ASSERT((*Read)[0].Request == Id);
    RC_ASSERT((*Read)[0].Crashes == Crashes);
    RC_ASSERT((*Read)[0].LastMs == Ms);
    const crash_note Aged{Id, Crashes, Ms, {Crashes.size(), 5ms}, Crashes};
    const auto Again = decodeCrashNotes(encodeCrashNotes({&Aged, 1}));
    RC_ASSERT(Again && Again->size() == 1U);
    RC_ASSERT((*Again)[0].Ages == Aged.Ages);
    RC_ASSERT((*Again)[0].Survived == Crashes);
  });
  BOOST_TEST(IsOk);
  const bool IsSafe = rc::check([](const std::string &Bytes) {
    decodeCrashNotes(Bytes); // must accept or reject any bytes
  });
  BOOST_TEST(IsSafe);
}

// An endpoint drops one request and continues to run.
BOOST_AUTO_TEST_CASE(endpoint_that_answers_probe_has_not_crashed) {
  crash_detector Watch;
  const mono_time Now{1h};
  BOOST_TEST((Watch.connectionLost(endpoint(), {Request, {}}, Now) ==
              crash_detector::verdict::Probe));
  BOOST_TEST(Watch.probeFinished("e1", true, Now).empty());
  BOOST_TEST((Watch.connectionLost(endpoint(), {Request, {}}, Now) ==
              crash_detector::verdict::Probe));
}

BOOST_AUTO_TEST_CASE(all_requests_of_a_crashed_endpoint_are_returned) {
  crash_detector Watch;
  mono_time Now{1h};
  Watch.connectionLost(endpoint(), {Request, {}}, Now);
  BOOST_TEST((Watch.connectionLost(endpoint(), {Other, {}}, Now) ==
              crash_detector::verdict::Wait));
  const std::vector<std::uint64_t> Both{Request, Other};
  std::vector<std::uint64_t> Found;
  for (const crash_suspect &Each : Watch.probeFinished("e1", false, Now))
    Found.push_back(Each.Request);
  BOOST_TEST(Found == Both, boost::test_tools::per_element());
  BOOST_TEST((Watch.connectionLost(endpoint(), {3, {}}, Now) ==
              crash_detector::verdict::Crashed));
  BOOST_TEST((Watch.connectionLost(endpoint(2), {3, {}}, Now) ==
              crash_detector::verdict::Probe));
  Now += config::CrashVerdictTtl;
  Watch.expire(Now);
  BOOST_TEST((Watch.connectionLost(endpoint(2), {3, {}}, Now) ==
              crash_detector::verdict::Probe));
}
