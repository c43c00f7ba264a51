#define BOOST_TEST_MODULE part_quarantine
#include "config.h"
#include "part_quarantine.h"

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

using parts = std::vector<std::uint64_t>;
constexpr std::uint64_t First = 1;
constexpr std::uint64_t Bad = 2;
constexpr std::uint64_t Other = 3;

/// The notes as another VM reads them.
std::vector<part_note> recode(const std::vector<part_note> &Notes) {
  return decodePartNotes(encodePartNotes(Notes)).value();
}

struct fixture {
  mono_time Now{1h};
  part_quarantine Parts;
  std::uint64_t Crashes = 100;

  void crash(const parts &InFlight, duration After = config::PartCrashSpacing) {
    Now += After;
    Parts.recordCrash(++Crashes, InFlight, Now);
  }
  void exchange(part_quarantine &From, part_quarantine &To) const {
    const auto [ForReaders, ForAll] = From.takeOutgoing(true, Now);
    for (const auto &Notes : {ForReaders, ForAll})
      for (const part_note &Note : recode(Notes))
        To.apply(Note, Now);
  }
};

/// A fleet in virtual time with engines that crash on one part, requests with
/// that part, sound ones, and datagrams that get lost.
class fleet {
public:
  /// `LongestMs`: of an answer, and until a crash.
  fleet(unsigned VmCount, unsigned Seed, bool IsFirstBad, int LongestMs = 300)
      : LongestMs(LongestMs), Random(Seed), Vms(VmCount), Engines(40),
        Shared(IsFirstBad ? parts{Other} : parts{First, Other}) {}

  void run() {
    for (; Now < Start + 25s; Now += Step) {
      while (!Events.empty() && Events.begin()->first <= Now)
        Events.extract(Events.begin()).mapped()();
      if (chance(0.06))
        send(withBad(), 3, true);
      for (int Each = 0; Each < 2; ++Each)
        if (chance(0.3))
          send(sound(), 3, false);
      if (chance(0.002)) // an engine ends for another reason
        crashEngine(pick(Engines.size()));
      if ((Now - Start) % Tick < Step)
        for (std::size_t Each = 0; Each < Vms.size(); ++Each)
          tick(Each);
    }
  }

  unsigned LateSends = 0;
  unsigned LateSound = 0;
  unsigned LateSoundRefused = 0;

private:
  static constexpr duration Step = 10ms;
  static constexpr duration Tick = 100ms;
  static constexpr auto ContactWindow = 3s;
  static constexpr unsigned CrashesAllowed = 5;
  struct attempt {
    std::size_t Vm;
    parts Parts;
    unsigned Left;
    bool IsBad;
  };
  struct engine {
    std::uint64_t Incarnation = 0;
    mono_time UpAt{};
    std::map<std::uint64_t, attempt> Waiting; ///< answers not completed
  };

  bool chance(double P) { return std::bernoulli_distribution(P)(Random); }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  duration between(int Low, int High) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(Low, High)(Random));
  }
  void after(duration Time, std::function<void()> Action) {
    Events.emplace(Now + Time, std::move(Action));
  }
  /// Sound requests share all parts with bad ones but the one at fault.
  parts sound() {
    parts Parts = Shared;
    Parts.push_back(1000 + pick(20));
    return Parts;
  }
  parts withBad() {
    parts Parts = sound();
    Parts.insert(Parts.begin() + (Shared.size() > 1 ? 1 : 0), Bad);
    return Parts;
  }

  void send(parts Parts, unsigned Attempts, bool IsBad) {
    start({pick(Vms.size()), std::move(Parts), Attempts, IsBad}, true);
  }
  void start(attempt Attempt, bool IsFirst) {
    const bool IsLate = FifthAt && Now > *FifthAt + 2 * ContactWindow;
    const bool IsRefused = Vms[Attempt.Vm].isQuarantined(Attempt.Parts);
    if (IsFirst && !Attempt.IsBad && IsLate) {
      ++LateSound;
      LateSoundRefused += IsRefused ? 1 : 0;
    }
    std::vector<std::size_t> Up;
    for (std::size_t Each = 0; Each < Engines.size(); ++Each)
      if (Engines[Each].UpAt <= Now)
        Up.push_back(Each);
    if (IsRefused || Up.empty() || Attempt.Left == 0)
      return;
    LateSends +=
        Attempt.IsBad && FifthAt && Now > *FifthAt + ContactWindow ? 1 : 0;
    --Attempt.Left;
    const std::size_t Engine = Up[pick(Up.size())];
    const std::uint64_t Id = ++LastId;
    Engines[Engine].Waiting.emplace(Id, std::move(Attempt));
    after(between(50, LongestMs), [this, Engine, Id] { end(Engine, Id); });
  }
  void end(std::size_t Engine, std::uint64_t Id) {
    const auto Found = Engines[Engine].Waiting.find(Id);
    if (Found == Engines[Engine].Waiting.end())
      return;
    if (Found->second.IsBad) {
      if (++BadCrashes == CrashesAllowed)
        FifthAt = Now;
      crashEngine(Engine);
      return;
    }
    Vms[Found->second.Vm].markServed(Found->second.Parts, Now);
    Engines[Engine].Waiting.erase(Found);
  }
  void crashEngine(std::size_t Which) {
    engine &Engine = Engines[Which];
    Engine.UpAt = Now + 3s;
    const std::uint64_t Crash = Which * 1000 + ++Engine.Incarnation;
    std::map<std::size_t, parts> ByVm;
    for (const auto &[Id, Each] : Engine.Waiting) {
      parts &Parts = ByVm[Each.Vm];
      Parts.insert(Parts.end(), Each.Parts.begin(), Each.Parts.end());
      after(between(3, 10), [this, Each = Each] { start(Each, false); });
    }
    Engine.Waiting.clear();
    for (const auto &[Vm, Parts] : ByVm)
      after(between(5, 60), [this, Crash, Vm = Vm, Parts = Parts] {
        Vms[Vm].recordCrash(Crash, Parts, Now);
      });
  }
  void tick(std::size_t Vm) {
    const bool IsReader = Vm < 2;
    const auto [ForReaders, ForAll] = Vms[Vm].takeOutgoing(IsReader, Now);
    for (std::size_t To = 0; To < Vms.size(); ++To) {
      const auto &Notes = To < 2 && !ForReaders.empty() ? ForReaders : ForAll;
      if (To == Vm || Notes.empty() || chance(0.1))
        continue;
      after(5ms, [this, To, Notes = Notes] {
        for (const part_note &Note : Notes)
          Vms[To].apply(Note, Now);
      });
    }
  }

  const mono_time Start{1h};
  int LongestMs;
  std::mt19937 Random;
  mono_time Now{Start};
  std::vector<part_quarantine> Vms;
  std::vector<engine> Engines;
  parts Shared;
  std::multimap<mono_time, std::function<void()>> Events;
  std::uint64_t LastId = 0;
  unsigned BadCrashes = 0;
  std::optional<mono_time> FifthAt;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(part_is_quarantined_after_crashes_apart, fixture) {
  for (std::size_t Each = 0; Each < config::PartCrashThreshold; ++Each) {
    BOOST_TEST(!Parts.isQuarantined(parts{Bad}));
    crash({Bad});
  }
  BOOST_TEST(Parts.isQuarantined(parts{First, Bad}));
  BOOST_TEST(!Parts.isQuarantined(parts{First}));
  BOOST_TEST((Parts.timeLeft(parts{Bad}, Now) == config::PartQuarantineTtl));
}

// A rack with many endpoints loses power. A part that nearly all requests have
// was in flight at each of them.
BOOST_FIXTURE_TEST_CASE(crashes_at_once_count_once, fixture) {
  for (int Each = 0; Each < 20; ++Each)
    crash({First}, 1ms);
  BOOST_TEST(!Parts.isQuarantined(parts{First}));
}

// Sound requests that share a part with bad ones are answered between the
// crashes, some of them at other VMs, whose notes overtake those of crashes.
BOOST_FIXTURE_TEST_CASE(served_part_is_cleared_on_all_vms, fixture) {
  part_quarantine Elsewhere;
  for (int Each = 0; Each < 8; ++Each) {
    crash({First, Bad});
    exchange(Parts, Elsewhere);
    if (Each == 3) {
      Elsewhere.markServed(parts{First}, Now);
      exchange(Elsewhere, Parts);
      Now += config::CrashNoteInterval;
      exchange(Parts, Elsewhere);
    }
  }
  for (const part_quarantine *Vm : {&Parts, &Elsewhere}) {
    BOOST_TEST(Vm->isQuarantined(parts{Bad}));
    BOOST_TEST(!Vm->isQuarantined(parts{First}));
  }
}

// Two parts were in flight at the same crashes and nothing was served since. A
// request with only one of them isn't refused, and its fate tells them apart.
BOOST_FIXTURE_TEST_CASE(parts_of_the_same_crashes_are_told_apart, fixture) {
  for (int Each = 0; Each < 4; ++Each)
    crash({First, Bad});
  BOOST_TEST(Parts.isQuarantined(parts{First, Other, Bad}));
  BOOST_TEST(!Parts.isQuarantined(parts{First, Other}));
  BOOST_TEST(!Parts.isQuarantined(parts{Bad}));
  part_quarantine Convicted = Parts;
  Convicted.recordCrash(++Crashes, parts{Bad}, Now + 1s);
  BOOST_TEST(Convicted.isQuarantined(parts{Bad}));
  BOOST_TEST(!Convicted.isQuarantined(parts{First, Other}));
  Parts.markServed(parts{First, Other}, Now);
  BOOST_TEST(Parts.isQuarantined(parts{Bad}));
}

// Two parts are at fault at the same time; a third was in flight at crashes of
// both.
BOOST_FIXTURE_TEST_CASE(two_parts_at_fault_explain_all_crashes, fixture) {
  constexpr std::uint64_t Second = 4;
  for (int Each = 0; Each < 6; ++Each) {
    crash(Each < 2 ? parts{Bad, Other} : parts{Bad});
    crash(Each < 2 ? parts{Second, Other} : parts{Second});
  }
  BOOST_TEST(Parts.isQuarantined(parts{Bad}));
  BOOST_TEST(Parts.isQuarantined(parts{Second}));
  BOOST_TEST(!Parts.isQuarantined(parts{Other}));
  BOOST_TEST(Parts.countQuarantined() == 2U);
}

// An operator deletes the record of a part that is sound again. Late notes of
// its crashes don't bring it back.
BOOST_FIXTURE_TEST_CASE(released_part_stays_released, fixture) {
  for (int Each = 0; Each < 4; ++Each)
    crash({Bad});
  const auto Old = Parts.takeUnsaved(Now);
  BOOST_REQUIRE(Old.size() == 1U);
  Parts.applyStored(Old.front(), Now);
  Parts.release(Bad, Now);
  Parts.apply(Old.front(), Now);
  BOOST_TEST(!Parts.isQuarantined(parts{Bad}));
  BOOST_TEST(Parts.expire(Now) == parts{Bad}, boost::test_tools::per_element());
}

// The store is down when a part is first written.
BOOST_FIXTURE_TEST_CASE(part_is_written_until_it_was_read, fixture) {
  for (int Each = 0; Each < 4; ++Each)
    crash({Bad});
  BOOST_TEST(Parts.takeUnsaved(Now).size() == 1U);
  BOOST_TEST(Parts.takeUnsaved(Now).empty());
  Now += config::QuarantineSaveRetryDelay;
  const auto Again = Parts.takeUnsaved(Now);
  BOOST_REQUIRE(Again.size() == 1U);
  Parts.applyStored(Again.front(), Now);
  Now += config::QuarantineSaveRetryDelay;
  BOOST_TEST(Parts.takeUnsaved(Now).empty());
}

// A VM that starts later learns of the part from the store alone.
BOOST_FIXTURE_TEST_CASE(stored_note_quarantines_a_part, fixture) {
  for (int Each = 0; Each < 4; ++Each)
    crash({Bad});
  part_quarantine Later;
  for (const part_note &Note : recode(Parts.takeUnsaved(Now)))
    Later.apply(Note, mono_time{5min});
  BOOST_TEST(Later.isQuarantined(parts{Bad}));
}

BOOST_FIXTURE_TEST_CASE(suspects_are_bounded, fixture) {
  for (int Each = 0; Each < 4; ++Each)
    crash({Bad});
  for (std::uint64_t Each = 0; Each < 2 * config::MaxSuspectParts; ++Each)
    crash({10000 + Each}, 1ms);
  BOOST_TEST(Parts.isQuarantined(parts{Bad}));
  Now += config::PartQuarantineTtl;
  Parts.expire(Now);
  BOOST_TEST(Parts.countQuarantined() == 0U);
}

// Callers send requests with a part that crashes engines, in the middle or
// first, and sound ones that share the other parts. From 3 s after the fifth
// crash at most three are sent; from 6 s on sound ones are served.
BOOST_AUTO_TEST_CASE(fleets_stop_a_part_and_serve_the_rest) {
  const auto Check = [](unsigned Vms, unsigned Seeds) {
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
      for (const bool IsFirstBad : {false, true}) {
        fleet Fleet(Vms, Seed, IsFirstBad);
        Fleet.run();
        BOOST_TEST_INFO(Vms << " VMs, seed " << Seed);
        BOOST_TEST(Fleet.LateSends <= 3U);
        BOOST_TEST_INFO(Vms << " VMs, seed " << Seed);
        BOOST_TEST(Fleet.LateSound > 100U);
        BOOST_TEST_INFO(Vms << " VMs, seed " << Seed);
        BOOST_TEST(50 * Fleet.LateSoundRefused <= Fleet.LateSound);
      }
  };
  Check(9, 50);
  Check(70, 5);
  Check(1100, 1);
}

// Load: answers of seconds, so that many sound requests are under way at each
// crash, and the part at fault crashes engines late in its answers.
BOOST_AUTO_TEST_CASE(long_answers_do_not_convict_bystanders) {
  constexpr int LongestMs = 3000;
  for (unsigned Seed = 1; Seed <= 30; ++Seed)
    for (const bool IsFirstBad : {false, true}) {
      fleet Fleet(9, Seed, IsFirstBad, LongestMs);
      Fleet.run();
      BOOST_TEST_INFO("seed " << Seed);
      BOOST_TEST(Fleet.LateSends <= 3U);
      BOOST_TEST_INFO("seed " << Seed);
      BOOST_TEST(Fleet.LateSound > 100U);
      BOOST_TEST_INFO("seed " << Seed);
      BOOST_TEST(2 * Fleet.LateSoundRefused <= Fleet.LateSound);
    }
}

BOOST_AUTO_TEST_CASE(decoding_any_bytes_does_not_throw) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodePartNotes(Bytes); // must not throw
  });
  BOOST_TEST(IsOk);
}

// A part that many requests share is served after more crashes than a VM keeps,
// and the VMs know of different ones. Their notes must come to an end.
BOOST_AUTO_TEST_CASE(notes_on_many_cleared_crashes_come_to_an_end) {
  constexpr std::uint64_t Part = 7;
  constexpr unsigned Crashes = 3 * config::MaxCrashesPerPart;
  std::array<part_quarantine, 2> Vms;
  mono_time Now{1h};
  for (std::uint64_t Crash = 1; Crash <= Crashes; ++Crash) {
    Now += 300ms;
    part_quarantine &Vm = Vms[Crash % Vms.size()];
    Vm.recordCrash(Crash, std::array{Part}, Now);
    Vm.markServed(std::array{Part}, Now);
  }
  std::size_t Sent = 0;
  for (int Second = 0; Second < 600; ++Second) {
    Now += 1s;
    std::array<std::vector<part_note>, 2> Notes;
    for (std::size_t From = 0; From < Vms.size(); ++From)
      Notes[From] = Vms[From].takeOutgoing(true, Now).ForAll;
    for (std::size_t From = 0; From < Vms.size(); ++From)
      for (const part_note &Note : Notes[From]) {
        Sent += Second >= 60 ? 1 : 0;
        Vms[1 - From].apply(Note, Now);
      }
  }
  BOOST_TEST(Sent == 0U);
}
