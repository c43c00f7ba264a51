#define BOOST_TEST_MODULE memory_account
#include "capacity/memory_account.h"

#include "capacity/body_progress.h"
#include "capacity/config.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <numeric>
#include <rapidcheck.h>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;
constexpr std::size_t Bound = 44 * Megabyte;

mono_time at(duration Time) { return mono_time(1h + Time); }

memory_charge bodyOf(const memory_account_ptr &Account,
                     std::string Customer = {}) {
  return {Account, memory_holder::Body, std::move(Customer)};
}

/// Bodies of the size that fit together.
std::vector<memory_charge> fill(const memory_account_ptr &Account,
                                std::size_t Bytes,
                                const std::string &Customer = {}) {
  std::vector<memory_charge> Bodies;
  while (true) {
    memory_charge Body = bodyOf(Account, Customer);
    if (!Body.tryResize(Bytes))
      return Bodies;
    Bodies.push_back(std::move(Body));
  }
}

} // namespace

// Load: callers with the largest bodies, then ordinary ones. Without room left
// to smaller bodies these are refused until the large ones end.
BOOST_AUTO_TEST_CASE(large_bodies_leave_room_to_smaller_ones) {
  const auto Account = std::make_shared<memory_account>(Bound);
  const auto Large = fill(Account, 4 * Megabyte);
  BOOST_TEST(Large.size() >= 8U);
  const auto Medium = fill(Account, Megabyte);
  BOOST_TEST(!Medium.empty());
  BOOST_TEST(fill(Account, 1000).size() >= 1000U);
}

// Load: one customer's callers send large bodies without end. Without a limit
// on its part the other customers' large bodies don't fit.
BOOST_AUTO_TEST_CASE(customer_with_many_bodies_leaves_room_to_others) {
  const auto Account = std::make_shared<memory_account>(Bound);
  const auto Hers = fill(Account, 4 * Megabyte, "shop");
  BOOST_TEST(Hers.size() == 5U);
  BOOST_TEST(!fill(Account, 4 * Megabyte, "clinic").empty());
}

// A body that fits nowhere near the bound is served in calm.
BOOST_AUTO_TEST_CASE(one_body_of_the_largest_size_fits) {
  const auto Account = std::make_shared<memory_account>(
      heldMemoryBound(config::DefaultMemoryLimitBytes));
  memory_charge Body = bodyOf(Account, "shop");
  BOOST_TEST(Body.tryResize(4 * Megabyte));
}

// Whatever is charged, moved, resized and dropped, the account holds the sum of
// its charges and never more than its bound, also after the bound fell.
BOOST_AUTO_TEST_CASE(account_is_the_sum_of_its_charges) {
  const bool IsOk = rc::check([] {
    constexpr std::size_t Limit = 1000;
    const auto Account = std::make_shared<memory_account>(Limit);
    std::list<memory_charge> Charges;
    const auto Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto Kind = *rc::gen::inRange(0, 5);
      if (Kind == 0 || Charges.empty()) {
        const auto Holder = static_cast<memory_holder>(
            *rc::gen::inRange(0, static_cast<int>(memory_holder::Count)));
        Charges.emplace_back(Account, Holder,
                             *rc::gen::element<std::string>("", "a", "b"));
      }
      auto At = std::next(
          Charges.begin(),
          *rc::gen::inRange<long>(0, static_cast<long>(Charges.size())));
      const std::size_t Before = Account->held();
      if (Kind == 1) {
        Charges.erase(At);
      } else if (Kind == 2) {
        memory_charge Moved = std::move(*At);
        *At = std::move(Moved);
      } else if (Kind == 3) {
        Account->setBound(*rc::gen::inRange<std::size_t>(500, Limit));
      } else {
        const std::size_t Old = At->bytes();
        const std::size_t New = *rc::gen::inRange<std::size_t>(0, 400);
        const bool IsDone = At->tryResize(New);
        RC_ASSERT(At->bytes() == (IsDone ? New : Old));
        RC_ASSERT(IsDone || New > Old);
      }
      const std::size_t Sum =
          std::accumulate(Charges.begin(), Charges.end(), std::size_t{0},
                          [](std::size_t Total, const memory_charge &Charge) {
                            return Total + Charge.bytes();
                          });
      RC_ASSERT(Account->held() == Sum);
      RC_ASSERT(Account->held() <= std::max(Account->bound(), Before));
    }
    Charges.clear();
    RC_ASSERT(Account->held() == 0U);
  });
  BOOST_TEST(IsOk);
}

// A caller that sends a byte now and then would otherwise hold a body for
// weeks, since each byte starts the idle timeout anew.
BOOST_AUTO_TEST_CASE(body_without_progress_ends) {
  body_progress Progress(at(0s));
  mono_time Now = at(0s);
  while (Now < Progress.endsAt() && Now < at(1h)) {
    Now += 1s;
    Progress.moved(1, Now);
  }
  BOOST_TEST((Now <= at(config::BodyGrace + 1s)));
}

// A body on a slow link: 64 kbit/s, for as long as it takes.
BOOST_AUTO_TEST_CASE(slow_but_steady_body_goes_on) {
  body_progress Progress(at(0s));
  for (mono_time Now = at(0s); Now < at(10min); Now += 1s) {
    BOOST_REQUIRE((Now < Progress.endsAt()));
    Progress.moved(8000, Now);
  }
}

BOOST_AUTO_TEST_CASE(body_ends_at_its_callers_deadline) {
  const body_progress Progress(at(0s), 2s);
  BOOST_TEST((Progress.endsAt() == at(2s)));
  const body_progress Unlimited(at(0s), duration::max());
  BOOST_TEST((Unlimited.endsAt() == at(config::BodyGrace)));
}

// Only callers that stopped, or nearly, give way when memory is short.
BOOST_AUTO_TEST_CASE(only_stalled_bodies_give_way) {
  body_progress Quick(at(0s));
  body_progress Trickling(at(0s));
  for (mono_time Now = at(0s); Now < at(5s); Now += 100ms) {
    Quick.moved(config::StallBytes, Now);
    Trickling.moved(100, Now);
  }
  BOOST_TEST(!Quick.isStalled(at(5s)));
  BOOST_TEST(Trickling.isStalled(at(5s)));
}
