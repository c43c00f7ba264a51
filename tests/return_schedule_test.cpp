#define BOOST_TEST_MODULE return_schedule
#include "config.h"
#include "peer_paths.h"
#include "return_exchange.h"
#include "return_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr share_key Portal{1, 2, 0};
constexpr auto Long = 1h;
const mono_time Start{10h};

} // namespace

BOOST_AUTO_TEST_CASE(returns_are_spaced_by_the_rate) {
  return_schedule Returns;
  duration Last = Returns.plan(Portal, 1, 4, Long, Start);
  BOOST_TEST((Last >= config::MinRetryAfter));
  BOOST_TEST((Last <= config::MinRetryAfter + 250ms));
  for (std::uint64_t Request = 2; Request < 50; ++Request) {
    const duration Wait = Returns.plan(Portal, Request, 4, Long, Start);
    BOOST_TEST((Wait == Last + 250ms));
    Last = Wait;
  }
}

// Guards against a pause that is made up for by a burst, and against times that
// are lost after one.
BOOST_AUTO_TEST_CASE(calendar_continues_after_a_pause) {
  return_schedule Returns;
  Returns.plan(Portal, 1, 4, Long, Start);
  const mono_time Later = Start + 10s;
  const duration Next = Returns.plan(Portal, 2, 4, Long, Later);
  BOOST_TEST((Next >= config::MinRetryAfter));
  BOOST_TEST((Next < config::MinRetryAfter + 250ms));
  BOOST_TEST((Returns.plan(Portal, 3, 4, Long, Later) == Next + 250ms));
}

// Several customers, each with its own calendar.
BOOST_AUTO_TEST_CASE(returns_of_all_keys_fit_the_sum_of_rates) {
  return_schedule Returns(7);
  std::map<std::int64_t, unsigned> PerSecond;
  for (std::uint32_t Customer = 0; Customer < 6; ++Customer)
    for (std::uint64_t Request = 0; Request < 200; ++Request) {
      const duration Wait =
          Returns.plan({1, Customer, Customer % 2}, 1000 * Customer + Request,
                       1 + Customer, Long, Start);
      ++PerSecond[Wait / 1s];
    }
  BOOST_TEST(PerSecond.size() >= 30U);
  for (const auto &[Second, Count] : PerSecond)
    BOOST_TEST(Count <= 1U + 2 + 3 + 4 + 5 + 6);
}

// A caller can't wait as long as it would take. Guards against times that are
// kept free for it, and against a herd of such callers.
BOOST_AUTO_TEST_CASE(nothing_is_reserved_beyond_what_a_caller_waits) {
  return_schedule Returns;
  std::uint64_t Request = 0;
  duration Wait{};
  do
    Wait = Returns.plan(Portal, ++Request, 2, 5s, Start);
  while (Wait <= 5s);
  const std::size_t Planned = Returns.size();
  BOOST_TEST(Planned >= 9U);
  BOOST_TEST(Planned <= 10U);
  std::map<std::int64_t, unsigned> PerTenth;
  for (int Each = 0; Each < 500; ++Each) {
    Wait = Returns.plan(Portal, ++Request, 2, 5s, Start);
    BOOST_TEST((Wait > 5s));
    BOOST_TEST((Wait < 12s));
    BOOST_TEST((Returns.standingOf(Request, Start + Wait) ==
                return_standing::Unplanned));
    ++PerTenth[Wait / 100ms];
  }
  BOOST_TEST(Returns.size() == Planned);
  for (const auto &[Tenth, Count] : PerTenth)
    BOOST_TEST(Count <= 20U); // 500 over 5 s or more are 10 in 100 ms
  // The next time is still free for a caller who waits longer.
  BOOST_TEST((Returns.plan(Portal, ++Request, 2, 6s, Start) <= 5500ms));
}

// Guards against zero, infinite and overflowing times.
BOOST_AUTO_TEST_CASE(any_rate_gives_a_usable_time) {
  constexpr double Infinity = std::numeric_limits<double>::infinity();
  for (const double Rate :
       {0.0, -1.0, std::nan(""), 1e-300, 1e-6, 1e300, Infinity, -Infinity}) {
    return_schedule Returns(3);
    for (std::uint64_t Request = 0; Request < 100; ++Request) {
      const duration Wait = Returns.plan(Portal, Request, Rate, 5s, Start);
      BOOST_TEST((Wait >= config::MinRetryAfter));
      BOOST_TEST((Wait <= 2 * config::MaxRetryAfter));
    }
    BOOST_TEST((Returns.size() > 0) == (Rate >= 1e300));
  }
}

// Guards against a calendar that stays blocked after the rate was zero.
BOOST_AUTO_TEST_CASE(calendar_recovers_with_the_rate) {
  return_schedule Returns(3);
  Returns.plan(Portal, 1, 0, 5s, Start);
  const duration Wait = Returns.plan(Portal, 2, 10, 5s, Start + 1s);
  BOOST_TEST((Wait <= config::MinRetryAfter + 100ms));
  BOOST_TEST(Returns.size() == 1U);
}

// Guards against a VM whose phase is late, and that never plans a return
// because its times move with each refusal.
BOOST_AUTO_TEST_CASE(low_rate_is_used_with_any_phase) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    return_schedule Returns(Seed);
    for (auto Elapsed = 0s; Elapsed < 100s; ++Elapsed)
      Returns.plan(Portal, static_cast<std::uint64_t>(Elapsed.count()), 0.1, 5s,
                   Start + Elapsed);
    BOOST_TEST(Returns.size() >= 9U);
    BOOST_TEST(Returns.size() <= 11U);
  }
}

BOOST_AUTO_TEST_CASE(return_is_early_then_due_then_late) {
  return_schedule Returns;
  const duration Wait = Returns.plan(Portal, 1, 0.5, Long, Start);
  const mono_time Due = Start + Wait;
  const auto At = [&](duration Offset) {
    return Returns.standingOf(1, Due + Offset);
  };
  BOOST_TEST(
      (At(-config::EarlyReturnTolerance - 1ms) == return_standing::Early));
  BOOST_TEST((At(-config::EarlyReturnTolerance) == return_standing::Due));
  BOOST_TEST((At(0s) == return_standing::Due));
  BOOST_TEST((At(config::LateReturnTolerance) == return_standing::Due));
  BOOST_TEST(
      (At(config::LateReturnTolerance + 1ms) == return_standing::Unplanned));
  BOOST_TEST((Returns.standingOf(2, Due) == return_standing::Unplanned));
}

// A caller retries at once and again. Guards against precedence for it, and
// against the loss of its plan.
BOOST_AUTO_TEST_CASE(retry_at_once_gains_nothing) {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    return_schedule Returns(Seed);
    const duration Wait = Returns.plan(Portal, 1, 20, Long, Start);
    BOOST_TEST((Returns.standingOf(1, Start) == return_standing::Early));
    BOOST_TEST((Returns.standingOf(1, Start + 20ms) == return_standing::Early));
    BOOST_TEST((Returns.standingOf(1, Start + Wait) == return_standing::Due));
  }
}

// A caller is refused again with each retry. Guards against plans for it that
// take all times of its customer.
BOOST_AUTO_TEST_CASE(retries_take_few_times_of_a_calendar) {
  return_schedule Returns;
  for (int Each = 0; Each < 100; ++Each)
    BOOST_TEST((Returns.plan(Portal, 1, 10, Long, Start) > 0s));
  BOOST_TEST(Returns.size() == config::MaxReturnsPerRequest);
  BOOST_TEST(
      (Returns.plan(Portal, 2, 10, Long, Start) <=
       config::MinRetryAfter + 100ms * config::MaxReturnsPerRequest + 100ms));
}

BOOST_AUTO_TEST_CASE(identical_requests_are_counted) {
  return_schedule Returns;
  duration Last{};
  for (int Each = 0; Each < 3; ++Each)
    Last = Returns.plan(Portal, 1, 10, Long, Start);
  const mono_time Now = Start + Last;
  for (int Each = 0; Each < 3; ++Each) {
    BOOST_TEST((Returns.standingOf(1, Now) == return_standing::Due));
    Returns.finish(1);
  }
  BOOST_TEST((Returns.standingOf(1, Now) == return_standing::Unplanned));
  Returns.finish(1); // nothing is left
  BOOST_TEST(Returns.size() == 0U);
}

// Guards against an earlier plan of an identical request, which its caller
// didn't use, that stands for the later one.
BOOST_AUTO_TEST_CASE(identical_request_is_due_at_its_own_time) {
  return_schedule Returns;
  const duration First = Returns.plan(Portal, 1, 0.1, Long, Start);
  const mono_time Between = Start + First + 5s;
  Returns.plan(Portal, 1, 0.1, Long, Start);
  BOOST_TEST((Returns.standingOf(1, Between) == return_standing::Early));
  Returns.expire(Between);
  BOOST_TEST(Returns.size() == 1U);
  BOOST_TEST(
      (Returns.standingOf(1, Start + First + 10s) == return_standing::Due));
}

// Guards against memory that grows with the load; callers still learn when to
// come.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  return_schedule Returns;
  duration Last{};
  for (std::uint64_t Request = 0; Request < config::MaxPlannedReturns + 1000;
       ++Request) {
    const duration Wait = Returns.plan(Portal, Request, 1000, Long, Start);
    BOOST_TEST((Wait > Last));
    Last = Wait;
  }
  BOOST_TEST(Returns.size() == config::MaxPlannedReturns);
  Returns.applyPeer({1U << 30U, 1s}, Start);
  BOOST_TEST(Returns.size() == config::MaxPlannedReturns);
  Returns.expire(Start + 1h);
  BOOST_TEST(Returns.size() == 0U);
  BOOST_TEST(!Returns.firstOutgoing().has_value());

  return_schedule Keys;
  for (std::uint32_t Customer = 0; Customer < 2 * config::MaxReturnCalendars;
       ++Customer)
    BOOST_TEST((Keys.plan({1, Customer, 0}, Customer, 1000, Long, Start) >=
                config::MinRetryAfter));
  BOOST_TEST(Keys.size() == config::MaxReturnCalendars);
  Keys.expire(Start + 2h);
  Keys.plan({2, 1, 0}, 1, 10, Long, Start + 2h);
  BOOST_TEST(Keys.size() == 1U);
}

BOOST_AUTO_TEST_CASE(notes_go_out_once_and_soonest_first) {
  return_schedule Returns;
  constexpr std::size_t Count = config::MaxReturnNotes + 10;
  for (std::uint64_t Request = 0; Request < Count; ++Request)
    Returns.plan({1, static_cast<std::uint32_t>(Request % 3), 0}, Request, 10,
                 Long, Start);
  const auto First = Returns.takeOutgoing(Start);
  BOOST_TEST(First.size() == config::MaxReturnNotes);
  BOOST_TEST(std::is_sorted(First.begin(), First.end(),
                            [](const return_note &A, const return_note &B) {
                              return A.DueIn < B.DueIn;
                            }));
  BOOST_TEST(Returns.takeOutgoing(Start).size() == 10U);
  BOOST_TEST(Returns.takeOutgoing(Start).empty());
}

// Guards against a note of a return that has arrived already.
BOOST_AUTO_TEST_CASE(finished_return_is_not_told) {
  return_schedule Returns;
  Returns.plan(Portal, 1, 10, Long, Start);
  Returns.finish(1);
  BOOST_TEST(Returns.takeOutgoing(Start).empty());
}

BOOST_AUTO_TEST_CASE(unusable_notes_are_ignored) {
  return_schedule Returns;
  Returns.applyPeer({1, std::chrono::milliseconds::max()}, Start);
  Returns.applyPeer({1, std::chrono::milliseconds::min()}, Start);
  BOOST_TEST(Returns.size() == 0U);
}

namespace {

/// Return exchanges of some VMs of a data centre, whose batches are kept until
/// delivered.
struct data_centre {
  explicit data_centre(std::size_t Count) {
    for (std::size_t Each = 0; Each < Count; ++Each) {
      Schedules.push_back(std::make_unique<return_schedule>(Each));
      Exchanges.push_back(std::make_unique<return_exchange>(
          Each + 1, *Schedules[Each],
          [this](std::string_view Bytes) { Sent.emplace_back(Bytes); }));
    }
  }
  std::vector<std::unique_ptr<return_schedule>> Schedules;
  std::vector<std::unique_ptr<return_exchange>> Exchanges;
  std::vector<std::string> Sent;
};

} // namespace

BOOST_AUTO_TEST_CASE(peer_recognises_a_return) {
  data_centre Centre(2);
  const duration Wait = Centre.Schedules[0]->plan(Portal, 1, 0.2, Long, Start);
  Centre.Exchanges[0]->onTick(Start + 100ms);
  BOOST_REQUIRE(Centre.Sent.size() == 1U);
  BOOST_TEST(Centre.Exchanges[1]->onMessage(Centre.Sent[0], Start + 110ms));
  BOOST_TEST((Centre.Schedules[1]->standingOf(1, Start + 200ms) ==
              return_standing::Early));
  BOOST_TEST((Centre.Schedules[1]->standingOf(1, Start + Wait) ==
              return_standing::Due));
  BOOST_TEST(Centre.Schedules[1]->takeOutgoing(Start).empty());
  Centre.Exchanges[0]->onTick(Start + 200ms);
  BOOST_TEST(Centre.Sent.size() == 1U);
}

// Guards against a caller who is back before the next batch.
BOOST_AUTO_TEST_CASE(near_return_is_told_with_the_refusal) {
  data_centre Centre(2);
  Centre.Schedules[0]->plan(Portal, 1, 100, Long, Start);
  Centre.Exchanges[0]->onRefusal(Start);
  BOOST_TEST(Centre.Sent.size() == 1U);
  Centre.Schedules[1]->plan(Portal, 1, 1e-3, Long, Start);
  Centre.Exchanges[1]->onRefusal(Start);
  BOOST_TEST(Centre.Sent.size() == 1U);
}

// A note is lost, or the VM that planned restarts without its plan.
BOOST_AUTO_TEST_CASE(return_without_note_is_an_ordinary_arrival) {
  data_centre Centre(2);
  const duration Wait = Centre.Schedules[0]->plan(Portal, 1, 1, Long, Start);
  BOOST_TEST((Centre.Schedules[1]->standingOf(1, Start + Wait) ==
              return_standing::Unplanned));
  Centre.Schedules[0] = std::make_unique<return_schedule>();
  BOOST_TEST((Centre.Schedules[0]->standingOf(1, Start + Wait) ==
              return_standing::Unplanned));
}

// Guards against a repeated datagram that doubles a plan, also after the return
// has arrived.
BOOST_AUTO_TEST_CASE(repeated_notes_count_once) {
  data_centre Centre(2);
  const duration Wait = Centre.Schedules[0]->plan(Portal, 1, 1, Long, Start);
  Centre.Exchanges[0]->onTick(Start);
  for (int Each = 0; Each < 3; ++Each)
    BOOST_TEST(Centre.Exchanges[1]->onMessage(Centre.Sent[0], Start));
  BOOST_TEST(Centre.Schedules[1]->size() == 1U);
  Centre.Schedules[1]->finish(1);
  BOOST_TEST(Centre.Exchanges[1]->onMessage(Centre.Sent[0], Start));
  BOOST_TEST((Centre.Schedules[1]->standingOf(1, Start + Wait) ==
              return_standing::Unplanned));
}

// A VM that restarted counts its batches from the start.
BOOST_AUTO_TEST_CASE(restarted_peer_is_heard) {
  data_centre Centre(2);
  for (std::uint64_t Request = 1; Request < 4; ++Request) {
    Centre.Schedules[0]->plan(Portal, Request, 1, Long, Start);
    Centre.Exchanges[0]->onTick(Start);
    Centre.Exchanges[1]->onMessage(Centre.Sent.back(), Start);
  }
  return_schedule Empty;
  return_exchange Restarted(99, Empty, [&](std::string_view Bytes) {
    Centre.Exchanges[1]->onMessage(Bytes, Start);
  });
  Empty.plan(Portal, 9, 1, Long, Start);
  Restarted.onTick(Start);
  BOOST_TEST(Centre.Schedules[1]->size() == 4U);
}

// One plan is used at several VMs. Guards against more than one use at each,
// and against uses after its window.
BOOST_AUTO_TEST_CASE(plan_is_used_once_per_vm) {
  constexpr std::size_t Vms = 5;
  data_centre Centre(Vms);
  const duration Wait = Centre.Schedules[0]->plan(Portal, 1, 1, Long, Start);
  Centre.Exchanges[0]->onTick(Start);
  for (std::size_t Vm = 1; Vm < Vms; ++Vm)
    Centre.Exchanges[Vm]->onMessage(Centre.Sent[0], Start);
  std::size_t Uses = 0;
  const auto TryAll = [&](mono_time Now) {
    for (const auto &Schedule : Centre.Schedules)
      if (Schedule->standingOf(1, Now) == return_standing::Due) {
        ++Uses;
        Schedule->finish(1);
      }
  };
  TryAll(Start + Wait - config::EarlyReturnTolerance - 2ms);
  BOOST_TEST(Uses == 0U);
  for (int Each = 0; Each < 10; ++Each)
    TryAll(Start + Wait + Each * 100ms);
  BOOST_TEST(Uses == Vms);

  Centre.Schedules[0]->plan(Portal, 2, 1, Long, Start);
  Centre.Exchanges[0]->onTick(Start);
  Centre.Exchanges[1]->onMessage(Centre.Sent.back(), Start);
  Uses = 0;
  TryAll(Start + 1min);
  BOOST_TEST(Uses == 0U);
}

BOOST_AUTO_TEST_CASE(notes_round_trip) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodeReturns(Bytes); // must not throw
  });
  BOOST_TEST(IsOk);
  const std::uint64_t Request = 0xfedcba9876543210;
  const std::string Bytes =
      encodeReturns({7, 3, {{Request, 1234ms}, {2, -5ms}}});
  const auto Batch = decodeReturns(Bytes);
  BOOST_REQUIRE(Batch.has_value());
  BOOST_TEST(Batch->Vm == 7U);
  BOOST_TEST(Batch->Sequence == 3U);
  BOOST_REQUIRE(Batch->Notes.size() == 2U);
  BOOST_TEST(Batch->Notes[0].Request == Request);
  BOOST_TEST((Batch->Notes[0].DueIn == 1234ms));
  BOOST_TEST((Batch->Notes[1].DueIn == -5ms));
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    BOOST_TEST(!decodeReturns(Bytes.substr(0, Length)).has_value());
  std::vector<return_note> Many(config::MaxReturnNotes + 1);
  BOOST_TEST(!decodeReturns(encodeReturns({7, 3, Many})).has_value());
  data_centre Centre(1);
  BOOST_TEST(!Centre.Exchanges[0]->onMessage("no batch", Start));
}

BOOST_AUTO_TEST_CASE(near_peers_are_those_of_the_data_centre) {
  peer_paths Paths("hall-a");
  Paths.applyDigest("10.0.0.2:1", "hall-a", {}, Start);
  Paths.applyDigest("10.0.0.3:1", "hall-b", {}, Start);
  Paths.applyDigest("10.0.0.4:1", "hall-a", {}, Start + 5s);
  const std::vector<std::string> Both{"10.0.0.2:1", "10.0.0.4:1"};
  BOOST_TEST(Paths.nearPeers() == Both, boost::test_tools::per_element());
  Paths.expire(Start + 6s, 2s);
  BOOST_TEST(Paths.nearPeers().size() == 1U);
}

namespace {

/// A fleet that refuses thousands of callers within a second. They obey and
/// come back to any VM of their data centre; a tenth of the notes is lost.
struct fleet {
  static constexpr std::size_t Callers = 6000;
  /// Of the whole fleet, each second.
  static constexpr double ReturnsPerSecond = 450;
  static constexpr duration Longest = 5s;
  static constexpr duration Tenth = 100ms;

  struct caller {
    std::uint64_t Request;
    std::size_t DataCentre;
  };

  fleet(std::size_t Vms, std::size_t DataCentres) : DataCentres(DataCentres) {
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      Schedules.push_back(std::make_unique<return_schedule>(Vm));
      Exchanges.push_back(std::make_unique<return_exchange>(
          Vm + 1, *Schedules[Vm], [this, Vm](std::string_view Bytes) {
            for (std::size_t Peer = Vm % this->DataCentres;
                 Peer < Schedules.size(); Peer += this->DataCentres)
              if (Peer != Vm && Random() % 10 != 0)
                Exchanges[Peer]->onMessage(Bytes, Now);
          }));
    }
  }
  void refuse(std::uint64_t Request) {
    const std::size_t Vm = Random() % Schedules.size();
    const double Rate =
        ReturnsPerSecond / static_cast<double>(Schedules.size());
    const duration Wait =
        Schedules[Vm]->plan(Portal, Request, Rate, Longest, Now);
    Exchanges[Vm]->onRefusal(Now);
    if (Wait > Longest)
      return; // the caller can't wait for it
    const auto Delay = std::chrono::milliseconds(Random() % 30);
    Arrivals.emplace(Now + Wait + Delay, caller{Request, Vm % DataCentres});
  }
  void arrive(mono_time Until) {
    while (!Arrivals.empty() && Arrivals.begin()->first <= Until) {
      const auto [At, Caller] = *Arrivals.begin();
      Arrivals.erase(Arrivals.begin());
      const std::size_t Rows =
          (Schedules.size() - 1 - Caller.DataCentre) / DataCentres + 1;
      return_schedule &Schedule =
          *Schedules[Caller.DataCentre + Random() % Rows * DataCentres];
      ++PerTenth[(At - Start) / Tenth];
      ++Returned;
      if (Schedule.standingOf(Caller.Request, At) != return_standing::Due)
        continue;
      ++Recognised;
      Schedule.finish(Caller.Request);
    }
  }
  void run() {
    std::uint64_t Request = 0;
    for (; Now < Start + 7s; Now += 10ms) {
      if (Now < Start + 1s)
        for (std::size_t Each = 0; Each < Callers / 100; ++Each)
          refuse(++Request);
      if ((Now - Start) % config::RouterTickInterval == 0s)
        for (const auto &Exchange : Exchanges)
          Exchange->onTick(Now);
      arrive(Now);
    }
  }

  std::size_t DataCentres;
  mono_time Now = Start;
  std::mt19937_64 Random{20261204};
  std::vector<std::unique_ptr<return_schedule>> Schedules;
  std::vector<std::unique_ptr<return_exchange>> Exchanges;
  std::multimap<mono_time, caller> Arrivals;
  std::map<std::int64_t, unsigned> PerTenth;
  unsigned Returned = 0;
  unsigned Recognised = 0;
};

} // namespace

// Load: thousands of callers are refused within a second and obey. Guards
// against returns in bursts and against returns that no VM recognises, at any
// size of the fleet.
BOOST_AUTO_TEST_CASE(fleets_of_all_sizes_spread_and_recognise_returns) {
  for (const auto &[Vms, DataCentres] :
       {std::pair<std::size_t, std::size_t>{9, 3}, {90, 3}, {1100, 10}}) {
    fleet Fleet(Vms, DataCentres);
    Fleet.run();
    // The planned rate for the whole time, and within each 100 ms as much more
    // as four standard deviations of independent phases.
    constexpr double Planned = fleet::ReturnsPerSecond / 10;
    const double Tenths = (fleet::Longest + 1s) / fleet::Tenth;
    BOOST_TEST(Fleet.Returned <= Planned * Tenths);
    BOOST_TEST(Fleet.Returned >= 0.7 * Planned * Tenths);
    unsigned Most = 0;
    for (const auto &[Tenth, Count] : Fleet.PerTenth)
      Most = std::max(Most, Count);
    BOOST_TEST(Most <= Planned + 4 * std::sqrt(Planned));
    BOOST_TEST(Fleet.Recognised >= 0.8 * Fleet.Returned);
    BOOST_TEST_MESSAGE(Vms << " VMs: " << Fleet.Returned << " returns, at most "
                           << Most << " in 100 ms, " << Fleet.Recognised
                           << " recognised");
  }
}
