#define BOOST_TEST_MODULE topic_follower
#include "config.h"
#include "scripted_endpoint.h"
#include "standin/platform/store.h"
#include "topic_follower.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
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
          Context, Clock, Store, BackOff, Dropped,
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
  unsigned DroppedCount = 0;
  dropped_records Dropped{
      [this](std::string_view, std::string_view) { ++DroppedCount; }};
  std::array<unsigned, Topics.size()> Confirmed{};
  store_client Store;
  std::vector<std::unique_ptr<topic_follower>> Followers;
};

/// One VM that follows the topic "keyed.a" of a stand-in of the store.
struct follower_fixture {
  /// Each step of the clock polls instead.
  static constexpr auto PollInterval = 1h;

  explicit follower_fixture(std::string_view EssentialKey = {}) {
    follow_events Events;
    Events.OnSnapshot = [this](const std::vector<topic_record> &Records) {
      ++Snapshots;
      Values.clear();
      for (const topic_record &Record : Records)
        Values[Record.Key] = *Record.Value;
    };
    Events.OnRecord = [this](const topic_record &Record) {
      Offsets.push_back(Record.Offset);
      if (Record.Value)
        Values[Record.Key] = *Record.Value;
    };
    Events.OnUpToDate = [this](mono_time) { ++Confirmed; };
    Follower.emplace(
        Vm.Context, Vm.Clock, Vm.Store, Vm.BackOff, Vm.Dropped,
        follow_options{
            {"keyed.a"}, true, 0ms, PollInterval, std::nullopt, EssentialKey},
        std::move(Events));
  }
  /// Runs for this time of the VM's clock, which advances in steps. Each ends
  /// once nothing happens any more.
  void runFor(duration Time) {
    constexpr auto Step = 250ms;
    constexpr auto Idle = 3ms;
    for (duration Passed{}; Passed < Time; Passed += Step) {
      Vm.Clock.advance(Step);
      Follower->pollNow();
      while (Vm.Context.run_one_for(Idle) > 0) {
      }
    }
  }
  void start() {
    Follower->setActive(true);
    while (Snapshots == 0)
      runFor(250ms);
    runFor(1s);
  }
  static std::string item(const std::string &Key, unsigned Offset) {
    return R"({"key":")" + Key + R"(","value":"Kg==","offset":)" +
           std::to_string(Offset) + "}";
  }
  static std::string page(const std::string &Items, unsigned End,
                          bool HasMore) {
    return "{\"items\":[" + Items + "],\"end_offset\":" + std::to_string(End) +
           ",\"has_more\":" + (HasMore ? "true}" : "false}");
  }
  /// The head of a page of records.
  static std::string head(char End) {
    return std::string(7, '\0') + End + std::string(8, '\0');
  }

  vm Vm{"127.0.0.1:17698"};
  standin::platform_store Store{Vm.Context, "127.0.0.1:17698"};
  std::map<std::string, std::string> Values;
  std::vector<std::uint64_t> Offsets; ///< of records after the listing
  unsigned Snapshots = 0;
  unsigned Confirmed = 0;
  std::optional<topic_follower> Follower;
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
  dropped_records Dropped([](std::string_view, std::string_view) {});
  std::optional<topic_follower> Follower;
  Follower.emplace(Context, Clock, Store, BackOff, Dropped,
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
                          Vm.Dropped,
                          follow_options{{"keyed.a"}, true, 0ms, 20ms}, Events);
  Follower.setActive(true);
  while (!Listed && Vm.Failed == 0)
    Vm.Context.run_one();
  BOOST_TEST(Vm.Failed == 0U);
  BOOST_TEST(Listed.value_or(0) == Keys.size());
}

// Failure: no item of a page has a key to go on from. The listing ends with
// what it has, and is tried again at a bounded rate.
BOOST_FIXTURE_TEST_CASE(listing_without_a_position_ends, follower_fixture) {
  Store.put("keyed.a", "b", "sound");
  for (const std::string Place : {"c", "d", "e"})
    Store.listItem("keyed.a", Place, "null");
  Store.put("keyed.a", "z", "beyond");
  Store.setPageSize(2);
  start();
  BOOST_TEST(Snapshots == 1U);
  BOOST_TEST(Values["b"] == "sound");
  BOOST_TEST(Confirmed > 0U);
  BOOST_TEST(Store.listings() == 2U);
  // What is written meanwhile is read from the log.
  Store.put("keyed.a", "b", "newer");
  runFor(60s);
  BOOST_TEST(Values["b"] == "newer");
  BOOST_TEST(Store.listings() <= 6U);
  BOOST_TEST(Snapshots == 1U);
  // Once each page has a key, the listing becomes complete.
  Store.listItem("keyed.a", "c", item("c", 0));
  Store.listItem("keyed.a", "d", item("d", 0));
  runFor(config::ListAnewInterval);
  BOOST_TEST(Snapshots == 2U);
  BOOST_TEST(Values["z"] == "beyond");
  BOOST_TEST(Vm.Failed == 0U);
}

// Failure: pages that lead back to keys from which the listing went on, or hold
// nothing though more is announced.
BOOST_FIXTURE_TEST_CASE(listing_that_does_not_advance_ends, follower_fixture) {
  for (const std::string Key : {"a", "b", "c"})
    Store.put("keyed.a", Key, "value");
  Store.setAnswer("newest?topic=keyed.a&part=0", page(item("a", 1), 3, true));
  Store.setAnswer("after=a", page(item("b", 2), 3, true));
  Store.setAnswer("after=b", page(item("a", 1), 3, true));
  start();
  BOOST_TEST(Snapshots == 1U);
  BOOST_TEST(Values.size() == 2U);
  BOOST_TEST(Store.listings() == 3U);
  Store.setAnswer("after=b", page("", 3, true));
  runFor(60s);
  BOOST_TEST(Store.listings() <= 9U);
}

// Failure: keys without end, each after the one before.
BOOST_AUTO_TEST_CASE(endless_listing_ends) {
  int Calls = 0;
  const scripted_endpoint Endless([&Calls](int, int) -> scripted_response {
    const std::string Body = follower_fixture::page(
        follower_fixture::item("k" + std::to_string(++Calls), 1), 2, true);
    return {"HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body};
  });
  vm Vm(Endless.address());
  std::optional<topic_listing::result> Listed;
  topic_listing Listing(Vm.Clock, Vm.Store, Vm.BackOff, Vm.Dropped,
                        {"keyed.a"});
  Listing.start(
      [&Listed](topic_listing::result Result) { Listed = std::move(Result); });
  while (!Listed)
    Vm.Context.run_one();
  BOOST_TEST(!Listed->IsComplete);
  BOOST_TEST(Listed->Records.size() == config::MaxListingPages);
}

// Failure: an answer that can't be read at all is taken for an outage of the
// store, and asked for again at once.
BOOST_FIXTURE_TEST_CASE(unreadable_listing_is_no_outage, follower_fixture) {
  Store.put("keyed.a", "a", "sound");
  Store.setAnswer("log-newest", "garbage");
  Follower->setActive(true);
  runFor(60s);
  BOOST_TEST(Snapshots == 0U);
  BOOST_TEST(Vm.Failed == 0U);
  BOOST_TEST(!Vm.BackOff.hasFailed());
  BOOST_TEST(Store.listings() <= 15U);
  Store.clearAnswers();
  runFor(config::MaxUnreadableDelay + 1s);
  BOOST_TEST(Values["a"] == "sound");
  BOOST_TEST(Confirmed > 0U);
}

// Failure: the second page can't be read. What the first one holds is used.
BOOST_FIXTURE_TEST_CASE(unreadable_page_leaves_those_before, follower_fixture) {
  Store.setPageSize(1);
  Store.put("keyed.a", "a", "first");
  Store.put("keyed.a", "b", "second");
  Store.setAnswer("after=a", "garbage");
  start();
  BOOST_TEST(Snapshots == 1U);
  BOOST_TEST(Values["a"] == "first");
  Store.clearAnswers();
  runFor(config::ListAnewInterval + 1s);
  BOOST_TEST(Values["b"] == "second");
  BOOST_TEST(Store.listings() <= 4U);
}

// Failure: a listing ends before the record that says what may be used. What
// was read before stays, and isn't taken for the newest.
BOOST_AUTO_TEST_CASE(listing_without_its_essential_key_is_not_up_to_date) {
  for (const bool IsFirst : {true, false}) {
    follower_fixture Vm("config");
    Vm.Store.setPageSize(2);
    if (!IsFirst) {
      Vm.Store.put("keyed.a", "config", "1");
      Vm.start();
      BOOST_TEST(Vm.Confirmed > 0U);
    }
    Vm.Store.put("keyed.a", "config", "2");
    for (const std::string Place : {"a", "b"})
      Vm.Store.listItem("keyed.a", Place, "null");
    Vm.Store.compact("keyed.a");
    const unsigned Before = Vm.Confirmed;
    Vm.Follower->setActive(true);
    Vm.runFor(5s);
    BOOST_TEST(Vm.Confirmed == Before);
    BOOST_TEST(Vm.Snapshots == 1U);
    BOOST_TEST(Vm.Values["config"] == (IsFirst ? "" : "1"));
    Vm.Store.listItem("keyed.a", "b", follower_fixture::item("b", 0));
    Vm.runFor(config::ListAnewInterval);
    BOOST_TEST(Vm.Values["config"] == "2");
    BOOST_TEST(Vm.Confirmed > Before);
  }
}

// Failure: a record in the log is longer than its page. Those around it are
// delivered once and in order, and the topic is listed anew once.
BOOST_FIXTURE_TEST_CASE(cut_record_is_skipped, follower_fixture) {
  start();
  Store.put("keyed.a", "a", "1");
  Store.addBytes("keyed.a", "\xff\xff\xff\xff\x01o");
  Store.put("keyed.a", "b", "2");
  runFor(5s);
  BOOST_TEST((Offsets == std::vector<std::uint64_t>{0, 2}));
  Store.put("keyed.a", "c", "3");
  runFor(60s);
  BOOST_TEST((Offsets == std::vector<std::uint64_t>{0, 2, 3}));
  BOOST_TEST(Values.size() == 3U);
  BOOST_TEST(Store.listings() == 2U);
  BOOST_TEST(Vm.DroppedCount > 0U);
  BOOST_TEST(Vm.Failed == 0U);
}

// Failure: a page of the log holds nothing though more is announced, or ends
// before what was read. Calls stay few, and the topic is followed again once
// pages are sound.
BOOST_FIXTURE_TEST_CASE(empty_pages_of_the_log_cost_few_calls,
                        follower_fixture) {
  for (const char End : {'\x09', '\x00'}) {
    Store.put("keyed.a", "a", "1");
    Follower->setActive(true);
    runFor(5s);
    const unsigned Before = Confirmed;
    Store.setAnswer("log-read", head(End));
    const unsigned Calls = Store.reads() + Store.listings();
    runFor(60s);
    BOOST_TEST(Store.reads() + Store.listings() - Calls <= 20U);
    Store.clearAnswers();
    Store.put("keyed.a", "a", "2");
    runFor(config::MaxUnreadableDelay + 1s);
    BOOST_TEST(Values["a"] == "2");
    BOOST_TEST(Confirmed > Before);
    BOOST_TEST(Vm.Failed == 0U);
  }
}

// Failure: the store has dropped what a listing ends with, each time.
BOOST_FIXTURE_TEST_CASE(listing_that_expires_each_time_costs_few_calls,
                        follower_fixture) {
  Store.put("keyed.a", "a", "1");
  Store.setAnswer("log-newest", page(item("a", 0), 900, false));
  Follower->setActive(true);
  runFor(60s);
  BOOST_TEST(Store.listings() + Store.reads() <= 30U);
  Store.clearAnswers();
  runFor(config::MaxUnreadableDelay + 1s);
  BOOST_TEST(Values["a"] == "1");
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
