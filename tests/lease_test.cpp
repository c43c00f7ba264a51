#define BOOST_TEST_MODULE lease
#include "config.h"
#include "lease.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

struct member {
  lease Lease;
  std::size_t Read = 0;
  bool IsPaused = false;
  duration Offset{}; ///< of its clock, which no other agrees with
};

/// Holders of one lease around a log that loses and delays appends.
class lease_world {
public:
  explicit lease_world(int Count) {
    for (int Each = 0; Each < Count; ++Each)
      Members.push_back({lease("l", "vm" + std::to_string(Each)), 0, false,
                         std::chrono::hours(Each)});
  }

  void step(duration By) {
    Now += By;
    for (member &Member : Members) {
      if (Member.IsPaused)
        continue;
      const mono_time Own = Now + Member.Offset;
      if (IsLogUp)
        for (; Member.Read < Log.size(); ++Member.Read)
          Member.Lease.recordRead(Member.Read, Log[Member.Read], Own);
      if (const auto Record = Member.Lease.tick(Own, IsLogUp, 0))
        UnderWay.push_back(*Record);
    }
  }
  /// The oldest append under way arrives.
  void deliver() {
    if (UnderWay.empty())
      return;
    Log.push_back(UnderWay.front());
    UnderWay.pop_front();
  }
  void lose() {
    if (!UnderWay.empty())
      UnderWay.pop_front();
  }
  int holders() const {
    int Count = 0;
    for (const member &Member : Members)
      Count += Member.Lease.fence(Now + Member.Offset, 0s).has_value() ? 1 : 0;
    return Count;
  }
  /// One second with a good log.
  void second() {
    step(1s);
    while (!UnderWay.empty())
      deliver();
    step(0s);
  }

  mono_time Now = mono_time(1h);
  std::vector<member> Members;
  std::vector<lease_record> Log;
  std::deque<lease_record> UnderWay;
  bool IsLogUp = true;
};

} // namespace

// The holder is stopped for longer than its lease, another takes over, and the
// first goes on where it was, about to send an order. Asked for its fencing
// number it has none; the new holder's number is higher.
BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_may_not_act) {
  lease_world World(2);
  World.second();
  member &First = World.Members[0];
  BOOST_REQUIRE(First.Lease.fence(World.Now + First.Offset, 10s));
  const std::uint64_t Old = *First.Lease.fence(World.Now + First.Offset, 10s);
  First.IsPaused = true;
  for (int Each = 0; Each < 40; ++Each)
    World.second();
  const member &Second = World.Members[1];
  BOOST_REQUIRE(Second.Lease.fence(World.Now + Second.Offset, 10s));
  BOOST_TEST(*Second.Lease.fence(World.Now + Second.Offset, 10s) > Old);
  BOOST_TEST(Second.Lease.tookOver());
  BOOST_TEST(!First.Lease.fence(World.Now + First.Offset, 0s));
}

// The lease is still valid, but not for as long as an order may take. An order
// sent now could take effect after another has taken over.
BOOST_AUTO_TEST_CASE(no_order_that_may_outlast_the_lease) {
  lease_world World(1);
  World.second();
  const lease &Lease = World.Members[0].Lease;
  World.IsLogUp = false;
  BOOST_TEST(Lease.fence(World.Now, 10s).has_value());
  World.Now += config::LeaseDuration - 10s;
  BOOST_TEST(Lease.fence(World.Now, 0s).has_value());
  BOOST_TEST(!Lease.fence(World.Now, 10s).has_value());
}

// Stops and delays in any order, clocks that do not agree, appends that are
// lost, late or answered late: at no time do two hold the lease, and once all
// is well again, one does.
BOOST_AUTO_TEST_CASE(at_no_time_do_two_hold_the_lease) {
  const bool Holds = rc::check([] {
    lease_world World(3);
    const auto Count = *rc::gen::inRange(1, 150);
    for (int Round = 0; Round < Count; ++Round) {
      member &Member = World.Members[*rc::gen::inRange<std::size_t>(0, 3)];
      const int Fault = *rc::gen::inRange(0, 9);
      if (Fault == 0)
        Member.IsPaused = !Member.IsPaused;
      else if (Fault == 1)
        World.IsLogUp = !World.IsLogUp;
      else if (Fault == 2)
        World.lose();
      else if (Fault < 6)
        World.deliver();
      World.step(std::chrono::seconds(*rc::gen::inRange(0, 12)));
      RC_ASSERT(World.holders() <= 1);
    }
    World.IsLogUp = true;
    for (member &Member : World.Members)
      Member.IsPaused = false;
    for (int Each = 0; Each < 80; ++Each) {
      World.second();
      RC_ASSERT(World.holders() <= 1);
    }
    RC_ASSERT(World.holders() == 1);
  });
  BOOST_TEST(Holds);
}
