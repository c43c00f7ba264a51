#define BOOST_TEST_MODULE engine_orders
#include "config.h"
#include "engine_orders.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;
namespace event = orders_event;
namespace action = orders_action;

namespace {

const action::send_order *order(const std::vector<orders_output> &Out) {
  for (const orders_output &Each : Out)
    if (const auto *Found = std::get_if<action::send_order>(&Each))
      return Found;
  return nullptr;
}

bool reads(const std::vector<orders_output> &Out) {
  return !Out.empty() && std::holds_alternative<action::read_state>(Out[0]);
}

event::targets target(bool Fenced, std::set<std::string> Versions) {
  return {{{"e", "127.0.0.1:1", Fenced, std::move(Versions)}}};
}

} // namespace

// An order's answer is lost after the engine has loaded the version. Sent
// again it would fetch the weights twice; the engine's state is read instead,
// and shows that nothing is left to do.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_followed_by_a_read) {
  engine_orders Orders;
  mono_time Now{};
  Orders.handle(target(true, {"m@1"}), Now);
  BOOST_TEST(reads(Orders.handle(event::tick{7}, Now)));
  Orders.handle(event::state_read{"e", std::set<std::string>{}}, Now);
  const auto Sent = Orders.handle(event::tick{7}, Now);
  BOOST_REQUIRE(order(Sent));
  BOOST_TEST(order(Sent)->Fence == 7U);
  Orders.handle(event::order_ended{"e", order_end::Unknown}, Now);
  Now += config::EngineRetryDelay;
  BOOST_TEST(reads(Orders.handle(event::tick{7}, Now)));
  Orders.handle(event::state_read{"e", std::set<std::string>{"m@1"}}, Now);
  BOOST_TEST(Orders.handle(event::tick{7}, Now).empty());
  BOOST_TEST(Orders.settled() == 1U);
}

// The last holder was stopped while its order was under way, and its engine
// does not look at fencing numbers. Read at once, the state is about to
// change; the new holder waits as long as an order may take.
BOOST_AUTO_TEST_CASE(an_engine_without_fencing_is_read_after_the_last_order) {
  const mono_time Now{};
  engine_orders Fenced;
  Fenced.handle(target(true, {"m@1"}), Now);
  BOOST_TEST(reads(Fenced.handle(event::tick{7, true}, Now)));
  engine_orders Plain;
  Plain.handle(target(false, {"m@1"}), Now);
  BOOST_TEST(Plain.handle(event::tick{7, true}, Now).empty());
  BOOST_TEST(
      Plain.handle(event::tick{7, true}, Now + config::OrderTimeout).empty());
  BOOST_TEST(reads(Plain.handle(
      event::tick{7, true}, Now + config::OrderTimeout + config::ClockDrift)));
}

BOOST_AUTO_TEST_CASE(without_the_lease_nothing_is_ordered) {
  engine_orders Orders;
  Orders.handle(target(true, {"m@1"}), mono_time{});
  BOOST_TEST(Orders.handle(event::tick{}, mono_time{}).empty());
}

// A roll-out gives a version to 100 engines at once, and the weight store lets
// few loads through. All would fail together; a few start, the rest follow.
BOOST_AUTO_TEST_CASE(loads_are_spread) {
  engine_orders Orders;
  mono_time Now{};
  event::targets Targets;
  for (int Each = 0; Each < 100; ++Each)
    Targets.Targets.push_back({std::to_string(Each), "a", true, {"m@1"}});
  Orders.handle(Targets, Now);
  Orders.handle(event::tick{1}, Now);
  for (int Each = 0; Each < 100; ++Each)
    Orders.handle(
        event::state_read{std::to_string(Each), std::set<std::string>{}}, Now);
  std::size_t Sent = Orders.handle(event::tick{1}, Now).size();
  BOOST_TEST(Sent == 2U);
  for (int Second = 0; Second < 60; ++Second)
    Sent += Orders.handle(event::tick{1}, Now += 1s).size();
  BOOST_TEST(Sent == 32U);
}

// Answers are lost before and after the effect, the lease comes and goes, the
// wanted versions change. In the end the engine has what is wanted, and at no
// time was it ordered to load what it had, or to unload what it lacked.
BOOST_AUTO_TEST_CASE(any_loss_ends_with_what_is_wanted) {
  const bool Holds = rc::check([] {
    engine_orders Orders;
    mono_time Now{};
    std::set<std::string> Loaded{"m@0"};
    std::set<std::string> Wanted{"m@1"};
    std::uint64_t Fence = 1;
    Orders.handle(target(true, Wanted), Now);
    const auto Run = [&](bool HasLease, int Fault) {
      Now += 6s;
      const auto Out =
          Orders.handle(HasLease ? event::tick{Fence} : event::tick{}, Now);
      for (const orders_output &Each : Out) {
        if (std::holds_alternative<action::read_state>(Each)) {
          auto Answer = Fault == 1 ? std::nullopt : std::optional(Loaded);
          Orders.handle(event::state_read{"e", Answer}, Now);
          continue;
        }
        const auto &Order = std::get<action::send_order>(Each);
        RC_ASSERT(Loaded.contains(Order.Version) ==
                  (Order.Kind == order_kind::Unload));
        if (Fault != 2) { // else lost before it took effect
          if (Order.Kind == order_kind::Load)
            Loaded.insert(Order.Version);
          else
            Loaded.erase(Order.Version);
        }
        Orders.handle(event::order_ended{"e", Fault == 0 ? order_end::Done
                                                         : order_end::Unknown},
                      Now);
      }
    };
    const auto Count = *rc::gen::inRange(1, 60);
    for (int Round = 0; Round < Count; ++Round) {
      if (*rc::gen::inRange(0, 5) == 0) {
        Wanted = {"m@" + std::to_string(*rc::gen::inRange(0, 3))};
        Orders.handle(target(true, Wanted), Now);
      }
      Run(*rc::gen::inRange(0, 4) != 0, *rc::gen::inRange(0, 4));
    }
    for (int Round = 0; Round < 20; ++Round)
      Run(true, 0);
    RC_ASSERT(Loaded == Wanted);
  });
  BOOST_TEST(Holds);
}
