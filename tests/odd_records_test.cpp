#define BOOST_TEST_MODULE odd_records
#include "config.h"
#include "standin/platform/store.h"
#include "topic_follower.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>
#include <vector>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr auto StoreAddress = "127.0.0.1:17697";
constexpr auto PollInterval = 1ms;

/// A key or a place: few bytes, so that they are near each other.
rc::Gen<std::string> keys() {
  return rc::gen::resize(
      3, rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::element(
             'a', 'b', 'z', '&', '+', '#', '%', ' ', '=', '"', '\\', '\0', '\n',
             '\x7f', '\x80', '\xc3', '\xa9', '\xff'))));
}

/// What another writer may make of an item.
rc::Gen<std::string> oddItems() {
  return rc::gen::element<std::string>(
      "null", "7", "[]", "{}", R"({"key":null,"value":"Kg==","offset":0})",
      R"({"key":7,"value":"Kg==","offset":0})",
      R"({"value":"Kg==","offset":0})", R"({"key":"","value":"","offset":0})");
}

/// Whether a page may hold none but items without a key, and more follow.
bool mayStop(const std::map<std::string, bool> &IsOdd, std::size_t PageSize) {
  std::size_t Odd = 0;
  for (const auto &[Place, Is] : IsOdd) {
    if (Odd >= PageSize)
      return true;
    Odd = Is ? Odd + 1 : 0;
  }
  return false;
}

struct followed {
  followed() {
    follow_events Events;
    Events.OnSnapshot = [this](const std::vector<topic_record> &Records) {
      ++Snapshots;
      for (const topic_record &Record : Records)
        RC_ASSERT(Values.emplace(Record.Key, *Record.Value).second);
    };
    Events.OnRecord = [this](const topic_record &Record) {
      if (!Record.Key.empty())
        Later.emplace_back(Record.Key, Record.Value.value_or(""));
    };
    Events.OnUpToDate = [this](mono_time) { ++Confirmed; };
    Follower.emplace(Context, Clock, Client, BackOff, Dropped,
                     follow_options{{"keyed.a"}, true, 0ms, PollInterval},
                     std::move(Events));
  }
  void runUntilConfirmed() {
    constexpr unsigned MaxSteps = 10'000;
    const unsigned Before = Confirmed;
    for (unsigned Step = 0; Confirmed < Before + 2; ++Step) {
      RC_ASSERT(Step < MaxSteps);
      Clock.advance(1ms);
      Context.run_one_for(20ms);
    }
  }

  boost::asio::io_context Context;
  standin::platform_store Store{Context, StoreAddress};
  manual_clock Clock;
  store_backoff BackOff{1, 5s, [](mono_time) { return store_fleet{}; }};
  dropped_records Dropped{[](std::string_view, std::string_view) {}};
  unsigned Failed = 0;
  store_client Client{
      Context, StoreAddress,
      [this](std::string_view, bool IsOk) { Failed += IsOk ? 0 : 1; }};
  std::map<std::string, std::string> Values;
  std::vector<std::pair<std::string, std::string>> Later;
  unsigned Snapshots = 0;
  unsigned Confirmed = 0;
  std::optional<topic_follower> Follower;
};

} // namespace

// Failure: odd items stand anywhere among sound ones, in pages of any size. All
// sound ones are listed once, with few calls.
BOOST_AUTO_TEST_CASE(odd_items_cost_no_sound_ones) {
  const bool IsOk = rc::check([] {
    followed Vm;
    const auto Sound = *rc::gen::resize(
        12, rc::gen::container<std::vector<std::string>>(keys()));
    const auto Odd = *rc::gen::resize(
        12, rc::gen::container<std::vector<std::string>>(keys()));
    const auto PageSize = *rc::gen::inRange<std::size_t>(1, 6);
    std::map<std::string, bool> IsOdd;
    std::map<std::string, std::string> Expected;
    for (const std::string &Place : Odd) {
      Vm.Store.listItem("keyed.a", Place, *oddItems());
      IsOdd[Place] = true;
    }
    for (std::size_t Each = 0; Each < Sound.size(); ++Each) {
      Expected[Sound[Each]] = "v" + std::to_string(Each);
      Vm.Store.put("keyed.a", Sound[Each], Expected[Sound[Each]]);
      IsOdd[Sound[Each]] = false;
    }
    Vm.Store.setPageSize(PageSize);
    Vm.Follower->setActive(true);
    Vm.runUntilConfirmed();
    RC_ASSERT(Vm.Snapshots == 1U);
    RC_ASSERT(Vm.Failed == 0U);
    RC_ASSERT(Vm.Store.listings() <= IsOdd.size() + 1);
    if (!mayStop(IsOdd, PageSize))
      RC_ASSERT(Vm.Values == Expected);
    for (const auto &[Key, Value] : Vm.Values)
      RC_ASSERT(Expected.at(Key) == Value);
  });
  BOOST_TEST(IsOk);
}

// Failure: odd records stand anywhere among sound ones in the log. All sound
// ones are delivered once and in order, with few calls.
BOOST_AUTO_TEST_CASE(odd_records_cost_no_sound_ones) {
  const bool IsOk = rc::check([] {
    followed Vm;
    Vm.Follower->setActive(true);
    Vm.runUntilConfirmed();
    std::vector<std::pair<std::string, std::string>> Expected;
    const bool MayCut = *rc::gen::inRange(0, 10) == 0;
    const auto Records = *rc::gen::resize(
        20,
        rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U)));
    unsigned Cuts = 0;
    for (std::size_t Each = 0; Each < Records.size(); ++Each) {
      if (Records[Each] == 0) { // a key longer than the record
        Vm.Store.addBytes("keyed.a", std::string("\0\0\0\x02\x09k", 6));
      } else if (Records[Each] == 1) { // no content
        Vm.Store.addBytes("keyed.a", std::string(4, '\0'));
      } else if (Records[Each] == 2 && MayCut &&
                 Cuts == 0) { // longer than its page
        ++Cuts;
        Vm.Store.addBytes("keyed.a", std::string("\xff\xff\xff\xff\x01k", 6));
      } else {
        Expected.emplace_back("k" + std::to_string(Each % 3),
                              std::to_string(Each));
        Vm.Store.put("keyed.a", Expected.back().first, Expected.back().second);
      }
    }
    const unsigned Calls = Vm.Store.reads();
    Vm.runUntilConfirmed();
    RC_ASSERT(Vm.Later == Expected);
    RC_ASSERT(Vm.Failed == 0U);
    RC_ASSERT(Vm.Store.reads() - Calls <= 6U + 2 * Cuts);
    RC_ASSERT(Vm.Store.listings() <= 1U + Cuts);
  });
  BOOST_TEST(IsOk);
}
