#define BOOST_TEST_MODULE vm_capacity
#include "capacity/vm_capacity.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr double Megabyte = 1e6;
constexpr auto Step = 5ms;
constexpr auto Deadline = 4s;

mono_time at(duration Time) { return mono_time(1h + Time); }

/// A VM whose link is a queue of fixed rate: packets of all requests wait
/// behind each other. A request sends its bytes in equal events.
struct modelled_vm {
  struct request {
    mono_time Begin{};
    double Left = 0;    ///< bytes not produced yet
    double PerStep = 0; ///< bytes of one step
    double Sent = 0;    ///< produced
    double Charged = 0;
    double QueueEnd = -1; ///< place of its last byte in the queue
  };

  modelled_vm(double LinkBytes, bool IsLimited)
      : LinkBytes(LinkBytes), Capacity({IsLimited ? LinkBytes : 0, 0}) {}

  bool offer(double Bytes, mono_time Now) {
    const auto Reserved = Capacity.tryAccept(Open.size(), Now);
    if (!Reserved)
      return false;
    // A stream of a second.
    Open.push_back({Now, Bytes, Bytes * 0.005, 0, *Reserved});
    return true;
  }

  void step(mono_time Now) {
    Delivered = std::min(
        Queued,
        Delivered + LinkBytes * std::chrono::duration<double>(Step).count());
    for (request &Each : Open) {
      const double Bytes = std::min(Each.Left, Each.PerStep);
      Each.Left -= Bytes;
      Each.Sent += Bytes;
      Queued += Bytes;
      if (Each.Sent > Each.Charged) {
        Capacity.charge(Each.Sent - Each.Charged, Now);
        Each.Charged = Each.Sent;
      }
      if (Each.Left <= 0 && Each.QueueEnd < 0) {
        Each.QueueEnd = Queued;
        Capacity.requestEnded(Each.Sent, Each.Charged, Now);
      }
    }
    std::erase_if(Open, [&](const request &Each) {
      const bool IsDone = Each.QueueEnd >= 0 && Delivered >= Each.QueueEnd;
      const bool IsLate = Now - Each.Begin > Deadline;
      Served += IsDone && !IsLate ? 1 : 0;
      Failed += IsLate ? 1 : 0;
      return IsDone || IsLate;
    });
  }

  double LinkBytes;
  vm_capacity Capacity;
  std::vector<request> Open;
  double Queued = 0;    ///< bytes ever queued
  double Delivered = 0; ///< bytes ever sent
  unsigned Served = 0;
  unsigned Failed = 0;
};

struct outcome {
  unsigned Served = 0;
  unsigned Failed = 0; ///< read, and not served in time
  unsigned Unread = 0; ///< by both VMs that they reached
};

/// `Vms` with links of 1.25 MB/s get 15 requests a second each on average, a
/// quarter of what a link carries; for the middle third of the time all come to
/// one VM, which changes every `Jump`.
outcome play(unsigned Vms, duration Jump, bool IsLimited) {
  constexpr double PerVm = 15;
  constexpr auto Third = 10s;
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Size(5'000, 35'000);
  std::vector<modelled_vm> Fleet;
  for (unsigned Each = 0; Each < Vms; ++Each)
    Fleet.emplace_back(1.25 * Megabyte, IsLimited);
  outcome Outcome;
  double Due = 0;
  for (duration Time{}; Time < 3 * Third + Deadline + 1s; Time += Step) {
    const mono_time Now = at(Time);
    const bool IsSkewed = Time >= Third && Time < 2 * Third;
    if (Time < 3 * Third)
      Due += PerVm * Vms * std::chrono::duration<double>(Step).count();
    for (; Due >= 1; --Due) {
      const auto Target = static_cast<std::size_t>((Time - Third) / Jump);
      const std::size_t First = IsSkewed ? Target % Vms : Random() % Vms;
      std::size_t Second = Random() % Vms;
      if (Second == First)
        Second = (First + 1) % Vms;
      const double Bytes = Size(Random);
      if (!Fleet[First].offer(Bytes, Now) && !Fleet[Second].offer(Bytes, Now))
        ++Outcome.Unread;
    }
    for (modelled_vm &Vm : Fleet)
      Vm.step(Now);
  }
  for (const modelled_vm &Vm : Fleet) {
    Outcome.Served += Vm.Served;
    Outcome.Failed += Vm.Failed;
  }
  return Outcome;
}

} // namespace

// All new connections come to one VM: what it reads is served in time, and the
// others read the rest.
BOOST_AUTO_TEST_CASE(requests_at_one_vm_are_served_in_time) {
  for (const unsigned Vms : {9U, 74U, 300U})
    for (const duration Jump : {duration(10s), duration(3s)}) {
      const outcome Limited = play(Vms, Jump, true);
      const double Read = Limited.Served + Limited.Failed;
      BOOST_TEST_CONTEXT(Vms << " VMs, served " << Limited.Served << ", failed "
                             << Limited.Failed << ", unread "
                             << Limited.Unread) {
        BOOST_TEST(Limited.Served >= 0.98 * Read);
        BOOST_TEST(Limited.Unread <= 0.02 * Read);
      }
    }
}

// The same load without the limit shows that the model overloads the VM.
BOOST_AUTO_TEST_CASE(requests_at_one_vm_time_out_without_a_limit) {
  const outcome Unlimited = play(74, 10s, false);
  BOOST_TEST(Unlimited.Failed > 0.2 * Unlimited.Served);
}

// Evenly spread load at a third of a link: no connection is left unread.
BOOST_AUTO_TEST_CASE(usual_load_is_never_left_unread) {
  std::mt19937 Random(3);
  std::uniform_real_distribution<double> Size(5'000, 35'000);
  modelled_vm Vm(1.25 * Megabyte, true);
  for (duration Time{}; Time < 30s; Time += Step) {
    const mono_time Now = at(Time);
    if (Time % 50ms == duration::zero())
      BOOST_TEST(Vm.offer(Size(Random), Now));
    Vm.step(Now);
  }
}

// A VM that never accepts counts as down for its load balancer.
BOOST_AUTO_TEST_CASE(overloaded_vm_still_accepts_some_connections) {
  vm_capacity Capacity({1000, 0});
  Capacity.charge(Megabyte, at(0s));
  unsigned Accepted = 0;
  for (duration Time{}; Time < 4s; Time += 100ms)
    Accepted += Capacity.tryAccept(0, at(Time)) ? 1 : 0;
  BOOST_TEST(Accepted >= 7U);
  BOOST_TEST(Accepted <= 9U);
}

// Connections that come while there is no capacity are refused without being
// accepted. A pause that is too long would waste the link, one that is too
// short would receive requests that are left unread.
BOOST_AUTO_TEST_CASE(pause_lasts_until_the_next_connection_fits) {
  vm_capacity Capacity({1.25 * Megabyte, 0});
  BOOST_TEST((Capacity.acceptPause(0, at(0s)) == duration::zero()));
  duration Time{};
  for (int Each = 0; Each < 100; ++Each) {
    const duration Pause = Capacity.acceptPause(0, at(Time));
    if (Pause > duration::zero())
      BOOST_TEST(!Capacity.tryAccept(0, at(Time)));
    Time += Pause;
    BOOST_TEST(!!Capacity.tryAccept(0, at(Time)));
  }
  BOOST_TEST(Capacity.pauses() > 0U);
  Capacity.charge(Megabyte, at(Time));
  BOOST_TEST((Capacity.acceptPause(0, at(Time)) <= 500ms));
}

// Callers of connections that are closed unread have sent their requests: the
// next connection is accepted later, by what these bytes take on the link.
BOOST_AUTO_TEST_CASE(connections_left_unread_count_for_the_link) {
  const auto PauseAfter = [](std::size_t Unread) {
    vm_capacity Capacity({1.25 * Megabyte, 0});
    while (Capacity.acceptPause(0, at(0s)) == duration::zero())
      BOOST_TEST(!!Capacity.tryAccept(0, at(0s)));
    if (Unread > 0)
      Capacity.leftUnread(Unread, at(0s));
    BOOST_TEST(Capacity.unread() == Unread);
    return Capacity.acceptPause(0, at(0s));
  };
  // 32,768 bytes each, at 625,000 bytes a second.
  BOOST_TEST((PauseAfter(4) - PauseAfter(0) >= 205ms));
  BOOST_TEST((PauseAfter(4) - PauseAfter(0) <= 215ms));
  BOOST_TEST((PauseAfter(500) <= 500ms));
}

// A connection more would leave none for the store and the peers.
BOOST_AUTO_TEST_CASE(connections_are_left_unread_before_descriptors_run_out) {
  vm_capacity Capacity({0, 100});
  BOOST_TEST(!!Capacity.tryAccept(80, at(0s)));
  BOOST_TEST(!Capacity.tryAccept(90, at(100ms)));
  BOOST_TEST(!Capacity.mayKeep(90, at(100ms)));
  BOOST_TEST(Capacity.mayKeep(80, at(100ms)));
  BOOST_TEST(Capacity.unread() == 1U);
}

// Without settings nothing is limited.
BOOST_AUTO_TEST_CASE(unknown_resources_do_not_limit) {
  vm_capacity Capacity({});
  Capacity.charge(1000 * Megabyte, at(0s));
  for (int Each = 0; Each < 1000; ++Each)
    BOOST_TEST(!!Capacity.tryAccept(100'000, at(0s)));
}

// A VM whose link becomes known, by new settings, has no debt from before.
BOOST_AUTO_TEST_CASE(link_set_later_begins_without_debt) {
  vm_capacity Capacity({});
  Capacity.charge(1000 * Megabyte, at(0s));
  Capacity.setResources({1.25 * Megabyte, 0});
  BOOST_TEST(!!Capacity.tryAccept(0, at(1s)));
  BOOST_TEST(!!Capacity.tryAccept(0, at(1s)));
}

// A few large uploads on kept connections: the VM accepts again soon after.
BOOST_AUTO_TEST_CASE(debt_of_large_requests_is_bounded) {
  vm_capacity Capacity({1.25 * Megabyte, 0});
  Capacity.charge(100 * Megabyte, at(0s));
  BOOST_TEST(Capacity.mayKeep(0, at(3s)));
}

// Requests that are larger on average than a burst would otherwise never fit.
BOOST_AUTO_TEST_CASE(mean_above_the_burst_does_not_stop_an_idle_vm) {
  vm_capacity Capacity({1.25 * Megabyte, 0});
  Capacity.requestEnded(0.5 * Megabyte, 0, at(0s));
  BOOST_TEST(!!Capacity.tryAccept(0, at(10s)));
  BOOST_TEST(Capacity.mayKeep(0, at(20s)));
}

// A released reservation, of a refused request or a silent connection, changes
// neither the capacity nor the mean.
BOOST_AUTO_TEST_CASE(released_reservations_leave_no_trace) {
  vm_capacity Capacity({1.25 * Megabyte, 0});
  const double Mean = Capacity.meanRequestBytes();
  for (int Each = 0; Each < 1000; ++Each) {
    const auto Reserved = Capacity.tryAccept(0, at(1s));
    BOOST_REQUIRE(Reserved);
    Capacity.release(*Reserved, at(1s));
  }
  BOOST_TEST(Capacity.meanRequestBytes() == Mean);
}

// Two uploads of 4 MB among few requests, then 64 ordinary callers at once. A
// reservation of the mean would leave room for five of them on an idle link.
BOOST_AUTO_TEST_CASE(few_large_requests_do_not_shut_ordinary_callers_out) {
  vm_capacity Capacity({125 * Megabyte, 0});
  Capacity.requestEnded(2000, 0, at(0s));
  Capacity.requestEnded(4.2 * Megabyte, 0, at(0s));
  Capacity.requestEnded(4.2 * Megabyte, 0, at(0s));
  for (int Each = 0; Each < 64; ++Each)
    BOOST_TEST(!!Capacity.tryAccept(0, at(10s)));
}

// Connections whose requests are large pay for what they send beyond their
// reservation, so that the VM refuses others while its link is full.
BOOST_AUTO_TEST_CASE(large_requests_pay_for_what_they_send) {
  vm_capacity Capacity({1.25 * Megabyte, 0});
  const auto Reserved = Capacity.tryAccept(0, at(1s));
  BOOST_REQUIRE(Reserved);
  Capacity.charge(4 * Megabyte - *Reserved, at(1s));
  BOOST_TEST(!Capacity.tryAccept(0, at(1s)));
}
