#define BOOST_TEST_MODULE read_relay
#include "config.h"
#include "read_relay.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

topic_record record(std::uint64_t Offset, const std::string &Key,
                    std::optional<std::string> Value = "value") {
  return {Offset, Key, std::move(Value), mono_time{1h}};
}

/// Routers in one process with a simulated clock. Datagrams arrive at once
/// unless replies are delayed or a router is cut off.
struct fleet {
  struct vm;
  struct port final : relay_peers {
    port(fleet &Fleet, std::string Own) : Fleet(Fleet), Own(std::move(Own)) {}
    std::vector<relay_peer> livePeers(mono_time) const override {
      std::vector<relay_peer> Others;
      for (const auto &[Address, Vm] : Fleet.Vms)
        if (Address != Own && !Fleet.Unreachable.contains(Address))
          Others.push_back({Address, Fleet.coresOf(Address)});
      return Others;
    }
    void sendQuery(const std::string &To, std::string_view Bytes) override {
      ++Fleet.QueriesByReader[To];
      if (!Fleet.Unreachable.contains(To) && !Fleet.QueriesLost.contains(To))
        Fleet.Vms.at(To)->Relay.handleQuery(Own, Bytes, Fleet.Now);
    }
    void sendReply(const std::string &To, std::string_view Bytes) override {
      if (Fleet.DelaysReplies)
        Fleet.DelayedReplies.emplace_back(To, Bytes);
      else
        Fleet.Vms.at(To)->Relay.handleReply(Bytes, Fleet.Now);
    }
    void sendAnnouncement(std::string_view Bytes) override {
      for (const auto &[Address, Vm] : Fleet.Vms)
        if (Address != Own && !Fleet.Unreachable.contains(Address))
          if (!Fleet.AnnouncementsLost.contains(Address))
            Vm->Relay.handleAnnouncement(Bytes, Fleet.Now);
    }
    fleet &Fleet;
    std::string Own;
  };
  struct vm {
    vm(fleet &Fleet, const std::string &Address)
        : Port(Fleet, Address), Relay(Address, Fleet.coresOf(Address)) {
      Relay.connect(Port);
    }
    port Port;
    read_relay Relay;
  };

  explicit fleet(int Count, std::set<std::string> LargeVms = {})
      : Large(std::move(LargeVms)) {
    for (int Each = 0; Each < Count; ++Each) {
      const std::string Address = "10.0.0." + std::to_string(Each) + ":7000";
      Vms[Address] = std::make_unique<vm>(*this, Address);
    }
  }

  double coresOf(const std::string &Address) const {
    return Large.contains(Address) ? 0.5 : 0.12;
  }
  /// Addresses of the routers that read the store.
  std::set<std::string> readers() {
    std::set<std::string> Found;
    for (auto &[Address, Vm] : Vms)
      if (!Unreachable.contains(Address) &&
          !Vm->Relay.requestUpdates(relayed_topic::Orders, 0, false, Now,
                                    [](auto) {}))
        Found.insert(Address);
    return Found;
  }
  read_relay &follower() {
    const auto Readers = readers();
    for (auto &[Address, Vm] : Vms)
      if (!Readers.contains(Address))
        return Vm->Relay;
    throw std::logic_error("all read the store");
  }
  /// Confirms for all readers that they have read up to `End` now.
  void confirm(std::uint64_t End) {
    for (const std::string &Address : readers())
      Vms.at(Address)->Relay.confirm(relayed_topic::Orders, End, Now);
  }
  void cacheRecord(const topic_record &Record) {
    for (const std::string &Address : readers())
      Vms.at(Address)->Relay.cacheRecord(relayed_topic::Orders, Record);
  }
  void deliver() {
    DelaysReplies = false;
    for (const auto &[To, Bytes] : std::exchange(DelayedReplies, {}))
      Vms.at(To)->Relay.handleReply(Bytes, Now);
  }

  mono_time Now{1h};
  std::set<std::string> Large; ///< VMs with four times the cores
  std::map<std::string, std::unique_ptr<vm>> Vms;
  std::map<std::string, unsigned> QueriesByReader; ///< by receiver
  std::set<std::string> Unreachable;               ///< neither send nor receive
  std::set<std::string> QueriesLost;       ///< send, but receive no queries
  std::set<std::string> AnnouncementsLost; ///< receive no announcements
  bool DelaysReplies = false;
  std::vector<std::pair<std::string, std::string>> DelayedReplies;
};

/// Sends one query and records whether it was sent and how it ended.
struct relay_fetch {
  relay_fetch(fleet &Fleet, read_relay &Relay, std::uint64_t From,
              bool HasStoreFailed = false) {
    WasSent = Relay.requestUpdates(
        relayed_topic::Orders, From, HasStoreFailed, Fleet.Now,
        [this](std::optional<read_relay::topic_update> Value) {
          HasEnded = true;
          Update = std::move(Value);
        });
  }
  bool WasSent = false;
  bool HasEnded = false;
  std::optional<read_relay::topic_update> Update;
};

} // namespace

// Guards against store calls that grow with the fleet. 74 VMs that each confirm
// their configuration every half second would make 148 calls a second; two of
// them read for all.
BOOST_AUTO_TEST_CASE(two_readers_serve_a_fleet) {
  fleet Fleet(74);
  BOOST_TEST(Fleet.readers().size() == config::RelayReaders);
  Fleet.confirm(5);
  unsigned Reads = 0;
  unsigned Proofs = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (auto &[Address, Vm] : Fleet.Vms) {
      const relay_fetch Fetch(Fleet, Vm->Relay, 5);
      Reads += Fetch.WasSent ? 0 : 1;
      Proofs += Fetch.Update ? 1 : 0;
    }
    Fleet.Now += 400ms;
    Fleet.confirm(5);
  }
  BOOST_TEST(Reads == 10 * config::RelayReaders);
  BOOST_TEST(Proofs == 10 * (74 - config::RelayReaders));
  // The queries are spread over both readers.
  for (const std::string &Reader : Fleet.readers())
    BOOST_TEST(Fleet.QueriesByReader[Reader] > 200U);
}

// A single VM, or one that hears no other, reads the store itself.
BOOST_AUTO_TEST_CASE(isolated_router_reads_the_store) {
  fleet Fleet(5);
  BOOST_TEST(Fleet.readers().size() == 2U);
  const std::string Reader = *Fleet.readers().begin();
  for (const auto &[Address, Vm] : Fleet.Vms)
    Fleet.Unreachable.insert(Address);
  const relay_fetch Fetch(Fleet, Fleet.Vms.at(Reader)->Relay, 0);
  BOOST_TEST(!Fetch.WasSent);
}

// A reader that fails is no longer heard, and another router replaces it.
BOOST_AUTO_TEST_CASE(lost_reader_is_replaced) {
  fleet Fleet(9);
  const auto Before = Fleet.readers();
  Fleet.Unreachable.insert(*Before.begin());
  const auto After = Fleet.readers();
  BOOST_TEST(After.size() == 2U);
  BOOST_TEST(After.contains(*Before.rbegin()));
  BOOST_TEST(!After.contains(*Before.begin()));
}

// Guards against small readers: of 195 VMs three have four times the cores.
// Small VMs that reply to the whole fleet are late, and then every VM reads the
// store.
BOOST_AUTO_TEST_CASE(largest_vms_read) {
  const std::set<std::string> Large{"10.0.0.17:7000", "10.0.0.80:7000",
                                    "10.0.0.133:7000"};
  fleet Fleet(195, Large);
  const auto Readers = Fleet.readers();
  BOOST_TEST(Readers.size() == config::RelayReaders);
  for (const std::string &Reader : Readers)
    BOOST_TEST(Large.contains(Reader));
  Fleet.Unreachable = Large; // all fail at once
  BOOST_TEST(Fleet.readers().size() == config::RelayReaders);
}

BOOST_AUTO_TEST_CASE(records_arrive_in_order_and_complete) {
  fleet Fleet(4);
  for (auto &[Address, Vm] : Fleet.Vms)
    Vm->Relay.resetCache(relayed_topic::Orders, 3);
  for (std::uint64_t Offset = 3; Offset < 20; ++Offset)
    Fleet.cacheRecord(record(
        Offset, "key" + std::to_string(Offset),
        Offset == 7 ? std::nullopt : std::optional(std::string(8000, 'x'))));
  Fleet.confirm(20);
  read_relay &Follower = Fleet.follower();
  std::uint64_t Next = 3;
  unsigned Answers = 0;
  while (Next < 20) {
    const relay_fetch Fetch(Fleet, Follower, Next);
    BOOST_REQUIRE(Fetch.Update.has_value());
    BOOST_TEST(Fetch.Update->End == 20U);
    BOOST_REQUIRE(!Fetch.Update->Records.empty());
    for (const topic_record &Record : Fetch.Update->Records) {
      BOOST_TEST(Record.Offset == Next);
      BOOST_TEST(Record.Key == "key" + std::to_string(Next));
      BOOST_TEST(Record.Value.has_value() == (Next != 7));
      ++Next;
    }
    ++Answers;
  }
  BOOST_TEST(Answers > 1U); // split because each reply must fit into a datagram
}

// Guards against a key lease that is too long: the sender of the query stalls,
// or the reply is delayed, while a key is withdrawn. The confirmation counts
// from when the query was sent, so the lease lasts no longer than if the router
// had read the store itself.
BOOST_AUTO_TEST_CASE(late_reply_confirms_no_more_than_its_query) {
  fleet Fleet(4);
  read_relay &Follower = Fleet.follower();
  Fleet.confirm(5);
  Fleet.Now += 300ms;
  const mono_time AskedAt = Fleet.Now;
  Fleet.DelaysReplies = true;
  relay_fetch Fetch(Fleet, Follower, 5);
  Fleet.Now += 100ms;
  Fleet.deliver();
  BOOST_REQUIRE(Fetch.Update.has_value());
  BOOST_TEST((Fetch.Update->ConfirmedAt <= AskedAt - 300ms));

  Fleet.DelaysReplies = true;
  const relay_fetch Frozen(Fleet, Follower, 5);
  Fleet.Now += 10s;
  Fleet.deliver();
  BOOST_TEST(Frozen.HasEnded);
  BOOST_TEST(!Frozen.Update.has_value());
}

// Guards against stale replies: a reader loses the store but not its peers. A
// router discards its reply, reads the store itself and queries the other
// reader next.
BOOST_AUTO_TEST_CASE(stale_reader_is_not_used) {
  fleet Fleet(4);
  read_relay &Follower = Fleet.follower();
  Fleet.confirm(5);
  Fleet.Now += duration(config::MaxRelayedAge) + 1ms;
  const auto Readers = Fleet.readers();
  Fleet.QueriesByReader.clear();
  const relay_fetch First(Fleet, Follower, 5);
  BOOST_TEST(First.HasEnded);
  BOOST_TEST(!First.Update.has_value());
  const relay_fetch Second(Fleet, Follower, 5);
  for (const std::string &Reader : Readers)
    BOOST_TEST(Fleet.QueriesByReader[Reader] == 1U);
}

// Guards against waiting for a reader that sends but receives nothing. The
// query times out, and the next one goes to the other reader.
BOOST_AUTO_TEST_CASE(unanswered_query_times_out) {
  fleet Fleet(4);
  read_relay &Follower = Fleet.follower();
  Fleet.confirm(5);
  const auto Readers = Fleet.readers();
  Fleet.QueriesByReader.clear();
  Fleet.QueriesLost = {Readers.begin(), Readers.end()};
  const relay_fetch First(Fleet, Follower, 5);
  Fleet.Now += duration(config::RelayReplyTimeout) - 1ms;
  Follower.expire(Fleet.Now);
  BOOST_TEST(!First.HasEnded);
  Fleet.Now += 1ms;
  Follower.expire(Fleet.Now);
  BOOST_TEST(First.HasEnded);
  BOOST_TEST(!First.Update.has_value());
  Fleet.QueriesLost.clear();
  const relay_fetch Second(Fleet, Follower, 5);
  BOOST_TEST(Second.Update.has_value());
  for (const std::string &Reader : Readers)
    BOOST_TEST(Fleet.QueriesByReader[Reader] == 1U);
}

// Guards against a reader whose store call was rejected and whose key lease
// then expires: it queries the other reader.
BOOST_AUTO_TEST_CASE(reader_queries_another_after_store_failure) {
  fleet Fleet(4);
  const auto Readers = Fleet.readers();
  Fleet.confirm(5);
  const relay_fetch Fetch(Fleet, Fleet.Vms.at(*Readers.begin())->Relay, 5,
                          true);
  BOOST_TEST(Fetch.WasSent);
  BOOST_TEST(Fetch.Update.has_value());
}

// Records that the readers no longer hold after a long outage of a router, or
// that don't fit into a datagram, are read from the store.
BOOST_AUTO_TEST_CASE(gaps_and_large_records_are_read_from_the_store) {
  fleet Fleet(4);
  read_relay &Follower = Fleet.follower();
  const std::string Value(config::MaxRelayCacheBytes / 100, 'x');
  std::uint64_t Next = 0;
  for (; Next < 110; ++Next)
    Fleet.cacheRecord(record(Next, "k" + std::to_string(Next), Value));
  Fleet.confirm(Next);
  BOOST_TEST(!relay_fetch(Fleet, Follower, 5).Update.has_value());
  BOOST_TEST(relay_fetch(Fleet, Follower, 12).Update.has_value());

  Fleet.cacheRecord(
      record(Next, "large", std::string(config::MaxRelayReplyBytes + 1, 'x')));
  Fleet.confirm(Next + 1);
  BOOST_TEST(!relay_fetch(Fleet, Follower, Next).Update.has_value());
}

// Guards against every VM listing the store when all start at once. Readers
// relay their listing page by page, without the keys dropped meanwhile.
BOOST_AUTO_TEST_CASE(listing_is_relayed_in_pages) {
  fleet Fleet(5);
  read_relay &Follower = Fleet.follower();
  const auto List = [&](std::uint64_t From) {
    std::optional<read_relay::topic_update> Update;
    BOOST_TEST(Follower.requestListing(
        relayed_topic::Endpoints, From, Fleet.Now,
        [&Update](const std::optional<read_relay::topic_update> &Value) {
          Update = Value;
        }));
    return Update;
  };
  BOOST_TEST(!List(0).has_value()); // the readers have no listing yet
  const auto IsAnyWanted = [&Fleet] {
    const auto Readers = Fleet.readers();
    return std::any_of(Readers.begin(), Readers.end(), [&](const auto &Reader) {
      return Fleet.Vms.at(Reader)->Relay.isRequested(relayed_topic::Endpoints,
                                                     Fleet.Now);
    });
  };
  BOOST_TEST(
      IsAnyWanted()); // the readers follow the topics they are queried for
  Fleet.Now += config::RelayRequestTtl;
  BOOST_TEST(!IsAnyWanted());
  std::vector<topic_record> Records;
  for (std::uint64_t Each = 0; Each < 40; ++Each)
    Records.push_back(
        record(Each * 2, "k" + std::to_string(Each), std::string(3000, 'x')));
  for (const std::string &Reader : Fleet.readers()) {
    read_relay &Relay = Fleet.Vms.at(Reader)->Relay;
    Relay.cacheListing(relayed_topic::Endpoints, Records, 100);
    Relay.cacheRecord(relayed_topic::Endpoints,
                      record(100, "k3", std::nullopt));
    Relay.cacheRecord(relayed_topic::Endpoints, record(101, "k4", "new"));
    Relay.confirm(relayed_topic::Endpoints, 102, Fleet.Now);
  }
  // Records before the listing are gone, so the router is told to list.
  const relay_fetch Behind(Fleet, Follower, 50);
  BOOST_TEST(
      !Behind.Update.has_value()); // another topic, unknown to all routers
  std::optional<read_relay::topic_update> Gap;
  Follower.requestUpdates(
      relayed_topic::Endpoints, 50, false, Fleet.Now,
      [&Gap](const std::optional<read_relay::topic_update> &Value) {
        Gap = Value;
      });
  BOOST_REQUIRE(Gap.has_value());
  BOOST_TEST(Gap->NeedsListing);
  std::map<std::string, std::optional<std::string>> Received;
  unsigned Pages = 0;
  for (std::uint64_t From = 0; From < 102; ++Pages) {
    const auto Update = List(From);
    BOOST_REQUIRE(Update.has_value());
    for (const topic_record &Record : Update->Records) {
      Received[Record.Key] = Record.Value;
      From = Record.Offset + 1;
    }
  }
  BOOST_TEST(Pages > 1U);
  // A router that lacks only the last record receives that one alone.
  std::optional<read_relay::topic_update> Last;
  Follower.requestUpdates(
      relayed_topic::Endpoints, 101, false, Fleet.Now,
      [&Last](const std::optional<read_relay::topic_update> &Value) {
        Last = Value;
      });
  BOOST_REQUIRE(Last.has_value());
  BOOST_TEST(Last->Records.size() == 1U);
  BOOST_TEST(Received.size() == 40U);
  BOOST_TEST(!Received["k3"].has_value());
  BOOST_TEST((Received["k4"] == std::optional<std::string>("new")));
}

// Failure: another writer's item names the offset of a sound record. The cache
// can't hold both, and must not relay its listing as complete.
BOOST_AUTO_TEST_CASE(listing_with_an_offset_twice_is_not_relayed) {
  fleet Fleet(5);
  const std::vector<topic_record> Records{record(3, "a"), record(4, "b"),
                                          record(4, "odd")};
  for (const std::string &Reader : Fleet.readers()) {
    read_relay &Relay = Fleet.Vms.at(Reader)->Relay;
    Relay.cacheListing(relayed_topic::Endpoints, Records, 5);
    Relay.cacheRecord(relayed_topic::Endpoints, record(5, "b"));
    Relay.cacheRecord(relayed_topic::Endpoints, record(6, "odd"));
    Relay.confirm(relayed_topic::Endpoints, 7, Fleet.Now);
  }
  std::optional<read_relay::topic_update> Update;
  Fleet.follower().requestListing(
      relayed_topic::Endpoints, 0, Fleet.Now,
      [&Update](const std::optional<read_relay::topic_update> &Value) {
        Update = Value;
      });
  BOOST_TEST(!Update.has_value());
}

// A router that has just started has confirmed nothing yet.
BOOST_AUTO_TEST_CASE(unconfirmed_records_are_not_relayed) {
  fleet Fleet(4);
  BOOST_TEST(!relay_fetch(Fleet, Fleet.follower(), 0).Update.has_value());
}

BOOST_AUTO_TEST_CASE(decoders_accept_any_bytes) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodeRelayQuery(Bytes); // must not throw
    decodeRelayReply(Bytes, mono_time{1h});
    std::string Corrupted = encodeRelayReply(
        {7, false, false, 9, 30ms, {record(8, "k", "v")}}, mono_time{1h});
    Corrupted[Bytes.size() % Corrupted.size()] ^= 0x55;
    decodeRelayReply(Corrupted, mono_time{1h});
  });
  BOOST_TEST(IsOk);
}

// Guards against routers that learn of an order, or that the store is reachable
// again, only with their next query.
BOOST_AUTO_TEST_CASE(readers_announce_new_records) {
  fleet Fleet(9);
  read_relay &Follower = Fleet.follower();
  std::vector<relayed_topic> Announcements;
  Follower.onAnnouncement([&Announcements](relayed_topic Topic) {
    Announcements.push_back(Topic);
  });
  Fleet.confirm(7);
  BOOST_TEST(Announcements.size() == config::RelayReaders);
  Fleet.Now += 400ms;
  Fleet.confirm(7); // no new records
  BOOST_TEST(Announcements.size() == config::RelayReaders);
  Fleet.Now += 400ms;
  Fleet.confirm(8);
  BOOST_TEST(Announcements.size() == 2 * config::RelayReaders);
  Fleet.Now += 10s; // the store was unreachable
  Fleet.confirm(8);
  BOOST_TEST(Announcements.size() == 3 * config::RelayReaders);
  for (const relayed_topic Topic : Announcements)
    BOOST_TEST((Topic == relayed_topic::Orders));
}

// Guards against announcements for each change of an endpoint, and from routers
// that aren't readers.
BOOST_AUTO_TEST_CASE(only_readers_announce_and_only_orders) {
  fleet Fleet(9);
  unsigned Announcements = 0;
  for (auto &[Address, Vm] : Fleet.Vms)
    Vm->Relay.onAnnouncement(
        [&Announcements](relayed_topic) { ++Announcements; });
  Fleet.follower().confirm(relayed_topic::Orders, 5, Fleet.Now);
  for (auto &[Address, Vm] : Fleet.Vms)
    Vm->Relay.confirm(relayed_topic::Endpoints, 5, Fleet.Now);
  BOOST_TEST(Announcements == 0U);
  Fleet.follower().handleAnnouncement("no message", Fleet.Now);
  Fleet.follower().handleAnnouncement({}, Fleet.Now);
  BOOST_TEST(Announcements == 0U);
}

// Guards against the loss of the datagram that announces an order: its receiver
// would keep running sessions by the previous order one poll interval longer
// than the other routers.
BOOST_AUTO_TEST_CASE(lost_announcements_are_repeated) {
  fleet Fleet(9);
  read_relay &Follower = Fleet.follower();
  unsigned Announcements = 0;
  Follower.onAnnouncement([&Announcements](relayed_topic) { ++Announcements; });
  Fleet.AnnouncementsLost.insert(Follower.ownAddress());
  Fleet.confirm(7);
  BOOST_TEST(Announcements == 0U);
  Fleet.AnnouncementsLost.clear();
  for (auto &[Address, Vm] : Fleet.Vms)
    Vm->Relay.expire(Fleet.Now);
  BOOST_TEST(Announcements == config::RelayReaders);
  Follower.confirm(relayed_topic::Orders, 7, Fleet.Now);
  for (auto &[Address, Vm] : Fleet.Vms)
    Vm->Relay.expire(Fleet.Now);
  BOOST_TEST(
      Announcements ==
      config::RelayReaders); // repeats are ignored once it has the records
}

// Guards against a queried reader that lags behind the announcing one and
// replies that there is nothing new, so half of the VMs learn of an order one
// poll interval late.
BOOST_AUTO_TEST_CASE(reader_behind_an_announcement_is_skipped) {
  fleet Fleet(9);
  Fleet.confirm(7);
  read_relay &Follower = Fleet.follower();
  const auto Readers = Fleet.readers();
  const topic_record Order = record(7, "rollout");
  for (const std::string &Ahead : Readers) {
    fleet Each(9);
    Each.confirm(7);
    read_relay &Its = Each.Vms.at(Follower.ownAddress())->Relay;
    Each.Vms.at(Ahead)->Relay.cacheRecord(relayed_topic::Orders, Order);
    Each.Vms.at(Ahead)->Relay.confirm(relayed_topic::Orders, 8, Each.Now);
    const relay_fetch Fetch(Each, Its, 7);
    BOOST_REQUIRE(Fetch.Update.has_value());
    BOOST_TEST(Fetch.Update->End == 8U);
    BOOST_TEST(Fetch.Update->Records.size() == 1U);
  }
}

namespace {

/// Sets the store's era at all VMs but those of `Behind`; they learn of it only
/// from peers.
void setEra(fleet &Fleet, std::uint64_t Era,
            const std::set<std::string> &Behind = {}) {
  for (auto &[Address, Vm] : Fleet.Vms) {
    Vm->Relay.onEra(
        [Relay = &Vm->Relay](std::uint64_t Value) { Relay->setEra(Value); });
    if (!Behind.contains(Address))
      Vm->Relay.setEra(Era);
  }
}

std::string addressOf(fleet &Fleet, const read_relay &Relay) {
  for (const auto &[Address, Vm] : Fleet.Vms)
    if (&Vm->Relay == &Relay)
      return Address;
  return {};
}

void listAt(fleet &Fleet, const std::set<std::string> &Readers,
            std::uint64_t End) {
  const std::vector<topic_record> Records{record(0, "a"), record(1, "b")};
  for (const std::string &Address : Readers) {
    read_relay &Reader = Fleet.Vms.at(Address)->Relay;
    Reader.cacheListing(relayed_topic::Orders, Records, End);
    Reader.confirm(relayed_topic::Orders, End, Fleet.Now);
  }
}

} // namespace

// The store goes back to a copy. A router that hasn't heard of it asks from its
// old position, which is beyond the end, and must not take that for up to date.
BOOST_AUTO_TEST_CASE(position_of_an_old_era_needs_a_listing) {
  fleet Fleet(5);
  setEra(Fleet, 1);
  Fleet.confirm(10);
  read_relay &Follower = Fleet.follower();
  const auto Readers = Fleet.readers();
  const std::string Address = addressOf(Fleet, Follower);
  Fleet.AnnouncementsLost.insert(Address);
  setEra(Fleet, 2, {Address});
  listAt(Fleet, Readers, 2);
  const relay_fetch Old(Fleet, Follower, 10);
  BOOST_REQUIRE(Old.Update);
  BOOST_TEST(Old.Update->NeedsListing);
  BOOST_TEST(Old.Update->Records.empty());
  const relay_fetch New(Fleet, Follower, 2);
  BOOST_REQUIRE(New.Update);
  BOOST_TEST(!New.Update->NeedsListing);
}

// A reader that hasn't heard of the new era confirms nothing, and learns of it
// from the query.
BOOST_AUTO_TEST_CASE(reader_of_an_old_era_confirms_nothing) {
  fleet Fleet(5);
  setEra(Fleet, 1);
  Fleet.confirm(10);
  read_relay &Follower = Fleet.follower();
  const auto Readers = Fleet.readers();
  setEra(Fleet, 2, Readers);
  const relay_fetch Fetch(Fleet, Follower, 10);
  BOOST_TEST(Fetch.HasEnded);
  BOOST_TEST(!Fetch.Update);
  BOOST_TEST(!Follower.hasRecentReply(Fleet.Now));
}

// A reply that is on its way while the store goes back is of the old era.
BOOST_AUTO_TEST_CASE(late_reply_of_an_old_era_is_dropped) {
  fleet Fleet(5);
  setEra(Fleet, 1);
  Fleet.confirm(10);
  read_relay &Follower = Fleet.follower();
  Fleet.DelaysReplies = true;
  const relay_fetch Fetch(Fleet, Follower, 10);
  setEra(Fleet, 2);
  Fleet.deliver();
  BOOST_TEST(Fetch.HasEnded);
  BOOST_TEST(!Fetch.Update);
}

// Eras rise twice while a router is cut off; an announcement tells it.
BOOST_AUTO_TEST_CASE(announcement_tells_of_a_new_era) {
  fleet Fleet(5);
  setEra(Fleet, 1);
  Fleet.confirm(10);
  read_relay &Follower = Fleet.follower();
  const std::string Address = addressOf(Fleet, Follower);
  const auto Readers = Fleet.readers();
  std::uint64_t Heard = 0;
  setEra(Fleet, 2, {Address});
  setEra(Fleet, 3, {Address});
  Follower.onEra([&](std::uint64_t Era) { Heard = Era; });
  listAt(Fleet, Readers, 2);
  BOOST_TEST(Heard == 3U);
}

// Readers and followers over eras, with every order of writes, restored copies
// and reads of a few steps: a router that was told that it is up to date has
// the newest value of each key.
BOOST_AUTO_TEST_CASE(up_to_date_means_newest_values_over_eras) {
  constexpr unsigned Steps = 7;
  constexpr unsigned Kinds = 4;
  unsigned Cases = 1;
  for (unsigned Each = 0; Each < Steps; ++Each)
    Cases *= Kinds;
  unsigned Proofs = 0;
  for (unsigned Case = 0; Case < Cases; ++Case) {
    fleet Fleet(3);
    setEra(Fleet, 1);
    std::vector<int> Log{0};
    std::vector<int> Copy = Log;
    std::uint64_t Era = 1;
    const auto Readers = Fleet.readers();
    read_relay &Follower = Fleet.follower();
    std::optional<std::uint64_t> Next;
    int Value = -1;
    const auto ReadAtReaders = [&] {
      setEra(Fleet, Era, {addressOf(Fleet, Follower)});
      Follower.onEra([&](std::uint64_t Heard) {
        Follower.setEra(Heard);
        Next.reset(); // as platform_adapter restarts its followers
      });
      const topic_record Newest =
          record(Log.size() - 1, "key", std::to_string(Log.back()));
      for (const std::string &Address : Readers)
        Fleet.Vms.at(Address)->Relay.cacheListing(relayed_topic::Orders,
                                                  {&Newest, 1}, Log.size());
      Fleet.confirm(Log.size());
    };
    const auto Take = [&](const std::optional<read_relay::topic_update> &Update,
                          bool IsListing) {
      if (!Update || Update->NeedsListing) {
        Next.reset();
        return;
      }
      for (const topic_record &Record : Update->Records)
        Value = std::stoi(*Record.Value);
      Next = std::max(Update->End, IsListing ? 0 : Next.value_or(0));
      ++Proofs;
      if (Value != Log.back())
        BOOST_ERROR("case " << Case << ": up to date with " << Value
                            << " instead of " << Log.back());
    };
    const auto FollowerReads = [&] {
      if (Next)
        Follower.requestUpdates(relayed_topic::Orders, *Next, false, Fleet.Now,
                                [&](auto Update) { Take(Update, false); });
      else
        Follower.requestListing(relayed_topic::Orders, 0, Fleet.Now,
                                [&](auto Update) { Take(Update, true); });
    };
    unsigned Left = Case;
    for (unsigned Step = 0; Step < Steps; ++Step, Left /= Kinds) {
      switch (Left % Kinds) {
      case 0:
        Log.push_back(static_cast<int>(Step) + 1);
        break;
      case 1:
        Copy = Log;
        break;
      case 2:
        Log = Copy;
        ++Era;
        break;
      default:
        break;
      }
      ReadAtReaders();
      FollowerReads();
    }
  }
  BOOST_TEST(Proofs > Cases);
}
