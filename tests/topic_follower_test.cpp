#define BOOST_TEST_MODULE topic_follower
#include "config.h"
#include "scripted_endpoint.h"
#include "standin/platform/store.h"
#include "topic_follower.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <sys/resource.h>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::string_view, 4> Topics{"a", "b", "c", "d"};

/// The most memory that this process ever held.
std::size_t peakResidentBytes() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<std::size_t>(Usage.ru_maxrss) * 1024;
}

/// One VM that follows several topics of a store.
struct vm {
  explicit vm(std::string Address)
      : Store(Context, std::move(Address),
              [this](std::string_view, bool IsOk) { Failed += IsOk ? 0 : 1; }) {
    for (std::size_t Each = 0; Each < Topics.size(); ++Each) {
      follow_events Events;
      Events.OnSnapshot = [](const std::vector<topic_record> &) {};
      Events.OnRecord = [](const topic_record &) {};
      Events.OnUpToDate = [this, Each](mono_time) { ++Confirmed[Each]; };
      Followers.push_back(std::make_unique<topic_follower>(
          Context, Clock, Store, BackOff,
          follow_options{{Topics[Each]}, true, 0ms, 20ms}, Events));
    }
  }
  void start() {
    for (const auto &Follower : Followers)
      Follower->setActive(true);
  }
  /// Runs until all topics have been read since now.
  void runUntilRead() {
    Confirmed.fill(0);
    while (std::any_of(Confirmed.begin(), Confirmed.end(),
                       [](unsigned Count) { return Count == 0; }))
      Context.run_one();
  }

  boost::asio::io_context Context;
  manual_clock Clock;
  store_backoff BackOff{1, 5s, [](mono_time) { return store_fleet{}; }};
  unsigned Failed = 0;
  std::array<unsigned, Topics.size()> Confirmed{};
  store_client Store;
  std::vector<std::unique_ptr<topic_follower>> Followers;
};

} // namespace

// A follower that is destroyed while its timer is pending must not call the
// store when the context runs the cancelled timer's handler.
BOOST_AUTO_TEST_CASE(destroyed_follower_makes_no_further_call) {
  boost::asio::io_context Context;
  const system_runtime_clock Clock;
  unsigned Calls = 0;
  // Nothing listens there, so each call fails and the follower waits to retry.
  store_client Store(Context, "127.0.0.1:17699",
                     [&Calls](std::string_view, bool) { ++Calls; });
  store_backoff BackOff(1, 5s, [](mono_time) { return store_fleet{}; });
  std::optional<topic_follower> Follower;
  Follower.emplace(Context, Clock, Store, BackOff,
                   follow_options{{"keyed.test"}}, follow_events{});
  Follower->setActive(true);
  while (Calls == 0)
    Context.run_one();
  Follower.reset();
  Context.run_for(200ms); // returns at once if no work is left
  BOOST_TEST(Calls == 1U);
}

// Failure: the store rejects all calls of a VM, and each topic retries for
// itself. One call at a time probes for all topics, and all go on after it.
BOOST_AUTO_TEST_CASE(one_probe_at_a_time_for_all_topics) {
  vm Vm("127.0.0.1:17698");
  standin::platform_store Store(Vm.Context, "127.0.0.1:17698");
  Vm.start();
  Vm.runUntilRead();
  Store.setFault(standin::store_fault::Busy);
  while (!Vm.BackOff.isUnavailable())
    Vm.Context.run_one();
  Vm.Context.run_for(100ms); // ends calls that were sent before
  // The next probe isn't due until the clock advances.
  unsigned Expected = Vm.Failed;
  for (unsigned Probe = 0; Probe < 3; ++Probe) {
    Vm.Context.run_for(2 * config::StoreRetryDelay);
    BOOST_TEST(Vm.Failed == Expected);
    Vm.Clock.advance(config::StoreRetryDelay);
    ++Expected;
    while (Vm.Failed < Expected)
      Vm.Context.run_one();
  }
  Store.setFault(standin::store_fault::None);
  Vm.Clock.advance(config::StoreRetryDelay);
  Vm.runUntilRead();
  BOOST_TEST(Vm.Failed == Expected);
  BOOST_TEST(!Vm.BackOff.isInDoubt());
}

// Failure: another writer's key holds bytes that end a value in a query, or the
// line of a request, and the listing stops at its page.
BOOST_AUTO_TEST_CASE(listing_goes_on_after_odd_keys) {
  vm Vm("127.0.0.1:17698");
  standin::platform_store Store(Vm.Context, "127.0.0.1:17698");
  Store.setPageSize(1);
  const std::vector<std::string> Keys{"a b",  "a&topic=z", "a#",
                                      "a%41", "a+b",       "a\r\nX: 1",
                                      "a/b",  "i-1",       "\x7f"};
  for (const std::string &Key : Keys)
    Store.put("keyed.a", Key, "value");
  std::optional<std::size_t> Listed;
  follow_events Events;
  Events.OnSnapshot = [&Listed](const std::vector<topic_record> &Records) {
    Listed = Records.size();
  };
  Events.OnRecord = [](const topic_record &) {};
  topic_follower Follower(Vm.Context, Vm.Clock, Vm.Store, Vm.BackOff,
                          follow_options{{"keyed.a"}, true, 0ms, 20ms}, Events);
  Follower.setActive(true);
  while (!Listed && Vm.Failed == 0)
    Vm.Context.run_one();
  BOOST_TEST(Vm.Failed == 0U);
  BOOST_TEST(Listed.value_or(0) == Keys.size());
}

// Failure: the store, or what answers in its place, sends a body without end.
BOOST_AUTO_TEST_CASE(endless_answer_of_the_store_is_a_failure) {
  const scripted_endpoint Store([](int, int) {
    return scripted_response{"HTTP/1.1 200 OK\r\n\r\n", true,
                             std::string(1'000'000, 'x')};
  });
  constexpr std::size_t MaxGrowthBytes =
      2 * Topics.size() * config::MaxStoreAnswerBytes;
  const std::size_t Before = peakResidentBytes();
  vm Vm(Store.address());
  Vm.start();
  while (Vm.Failed < Topics.size())
    Vm.Context.run_one();
  BOOST_TEST(peakResidentBytes() - Before < MaxGrowthBytes);
}
