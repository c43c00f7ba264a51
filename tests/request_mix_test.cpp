#define BOOST_TEST_MODULE request_mix
#include "call_work.h"
#include "config.h"
#include "model_cascade.h"
#include "request_mix.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr request_rank Urgent{0, 0};
constexpr request_rank Batch{2, 2};

struct fixture {
  request_mix Mix;

  /// Urgent requests with a short target, and twice as many long ones with a
  /// long target.
  void observeMix() {
    for (int Each = 0; Each < 100; ++Each) {
      Mix.recordRequest("engine", Urgent, 1s);
      Mix.recordRequest("engine", Batch, 4s);
      Mix.recordRequest("engine", Batch, 4s);
    }
  }
  double urgent(duration Delay) const {
    return Mix.delayCost("engine", Urgent, 1s, Delay);
  }
  double batch(duration Delay) const {
    return Mix.delayCost("engine", Batch, 4s, Delay);
  }

  /// The highest confidence at which a weak answer of the small model is
  /// dropped for one of the large model.
  static double escalationThreshold(double EngineTime, duration Target) {
    const std::vector<model_option> Models{{0.54, 0.02, 0.015, 0.1, 100ms},
                                           {1.0, 0.1, 0.08, 1.0, 300ms}};
    cascade_view View;
    View.Models = Models;
    View.TimeToTarget = Target;
    View.TimeToDeadline = 10s;
    View.EngineTimePrice = EngineTime;
    double Confidence = 100;
    while (Confidence > 0 &&
           model_cascade().nextModel(View, {0, Confidence}) == 0U)
      --Confidence;
    return Confidence;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(less_urgent_requests_pay_more, fixture) {
  observeMix();
  BOOST_TEST(batch(300ms) > urgent(300ms));
}

// Load: long requests that aren't urgent fill the engines.
BOOST_FIXTURE_TEST_CASE(urgent_requests_keep_the_large_model, fixture) {
  observeMix();
  const duration Backlog = 600ms;
  const double Urgently = escalationThreshold(urgent(Backlog), 1s);
  const double Batched = escalationThreshold(batch(Backlog), 4s);
  BOOST_TEST(Urgently > Batched);
  const double ByOwnTarget =
      config::EngineTimePrice * std::chrono::duration<double>(Backlog).count();
  BOOST_TEST(Urgently > escalationThreshold(ByOwnTarget, 1s));
}

BOOST_FIXTURE_TEST_CASE(idle_engines_cost_nothing, fixture) {
  observeMix();
  BOOST_TEST(urgent(0ms) == 0);
  BOOST_TEST(batch(0ms) == 0);
  BOOST_TEST(urgent(1ms) > 0);
}

BOOST_FIXTURE_TEST_CASE(requests_alike_pay_by_their_own_target, fixture) {
  for (int Each = 0; Each < 10; ++Each)
    Mix.recordRequest("engine", {1, 1}, 2s);
  BOOST_TEST(Mix.delayCost("engine", {1, 1}, 2s, 500ms) ==
                 0.25 * config::EngineTimePrice,
             boost::test_tools::tolerance(1e-9));
}

// Failure: a VM that has just started knows no other requests.
BOOST_FIXTURE_TEST_CASE(without_requests_the_own_target_counts, fixture) {
  BOOST_TEST(Mix.delayCost("engine", Urgent, 1s, 100ms) ==
                 0.1 * config::EngineTimePrice,
             boost::test_tools::tolerance(1e-9));
}

BOOST_FIXTURE_TEST_CASE(mix_follows_the_latest_requests, fixture) {
  observeMix();
  const double Before = batch(300ms);
  for (int Each = 0; Each < 1000; ++Each)
    Mix.recordRequest("engine", Batch, 4s);
  BOOST_TEST(batch(300ms) < 0.6 * Before);
  BOOST_TEST(urgent(300ms) < 0.5 * batch(300ms));
}

// Load: an urgent request on the large model behind long ones on the small
// model, whose engine time is about as long.
BOOST_FIXTURE_TEST_CASE(urgent_requests_run_first, fixture) {
  observeMix();
  const call_work Short{60, 0, 0};
  const call_work Long{20, 0, 0};
  const double Tolerated = Mix.tolerance("engine", Batch, 4s);
  BOOST_TEST(Mix.tolerance("engine", Urgent, 1s) == 1);
  BOOST_TEST(Tolerated == 64);
  BOOST_TEST(urgencyOf(Short, 1) < urgencyOf(Long, Tolerated));
  BOOST_TEST(urgencyOf(Short) > urgencyOf(Long));
}

BOOST_FIXTURE_TEST_CASE(customers_priority_goes_first, fixture) {
  const request_rank OfCustomer{0, 2};
  const request_rank OfRoute{1, 0};
  Mix.recordRequest("engine", OfCustomer, 2s);
  Mix.recordRequest("engine", OfRoute, 2s);
  BOOST_TEST(Mix.delayCost("engine", OfCustomer, 2s, 1s) <
             Mix.delayCost("engine", OfRoute, 2s, 1s));
  BOOST_TEST(OfCustomer.order() < OfRoute.order());
  BOOST_TEST(OfRoute.order() < (request_rank{1, 1}.order()));
}

// Two routes of one priority, the one with the short target rarely used.
BOOST_FIXTURE_TEST_CASE(targets_of_one_rank_are_told_apart, fixture) {
  Mix.recordRequest("engine", Urgent, 1s);
  for (int Each = 0; Each < 9; ++Each)
    Mix.recordRequest("engine", Urgent, 4s);
  BOOST_TEST(Mix.tolerance("engine", Urgent, 1s) == 1);
  BOOST_TEST(Mix.tolerance("engine", Urgent, 4s) == 4);
}

// Failure: a route is configured with a target that no engine can meet.
BOOST_FIXTURE_TEST_CASE(targets_of_zero_are_bounded, fixture) {
  Mix.recordRequest("engine", Urgent, 0s);
  Mix.recordRequest("engine", Batch, 4s);
  BOOST_TEST(Mix.delayCost("engine", Urgent, 0s, 100ms) < 2);
  BOOST_TEST(Mix.tolerance("engine", Urgent, 1s) <= 20);
}
