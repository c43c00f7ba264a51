#define BOOST_TEST_MODULE endpoint_directory
#include "config.h"
#include "endpoint_choice.h"
#include "endpoint_directory.h"
#include "key_lease.h"
#include "peer_loads.h"

#include <boost/test/unit_test.hpp>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

struct fixture {
  mono_time Now{1h};
  endpoint_directory Directory{2s};

  static endpoint_info info(const std::string &Id,
                            endpoint_state State = endpoint_state::Ready) {
    endpoint_info Info;
    Info.Id = Id;
    Info.Service = "engine";
    Info.Address = "127.0.0.1:1";
    Info.State = State;
    return Info;
  }
  void add(const std::string &Id) { Directory.apply(Id, info(Id), Now); }
  void remove(const std::string &Id) { Directory.apply(Id, std::nullopt, Now); }
  std::size_t usable() const { return Directory.usable("engine").size(); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(removed_and_leaving_endpoints_are_not_usable, fixture) {
  add("e1");
  add("e2");
  BOOST_TEST(usable() == 2U);
  remove("e1");
  BOOST_TEST(usable() == 1U);
  Directory.apply("e2", info("e2", endpoint_state::Leaving), Now);
  BOOST_TEST(usable() == 0U);
}

// The registry lists an endpoint as ready, whose answer says that it leaves.
// Guards against requests to it, also when its entry is written again.
BOOST_FIXTURE_TEST_CASE(answer_prevails_over_the_entry, fixture) {
  add("e1");
  BOOST_TEST(Directory.recordLeave("e1", Now));
  BOOST_TEST(!Directory.recordLeave("e1", Now));
  BOOST_TEST(usable() == 0U);
  add("e1");
  BOOST_TEST(usable() == 0U);
  remove("e1");
  add("e1");
  BOOST_TEST(usable() == 0U);
  Directory.replace({info("e1")}, Now);
  BOOST_TEST(usable() == 0U);
}

// The entry of an endpoint that leaves expires in an outage of the registry.
// Guards against the grace for such entries, which would bring it back.
BOOST_FIXTURE_TEST_CASE(lapsed_entry_of_a_leaving_endpoint_is_dropped,
                        fixture) {
  add("e1");
  Directory.recordLeave("e1", Now);
  Directory.onSourceLost(Now);
  remove("e1");
  BOOST_TEST(Directory.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(restarted_endpoint_is_not_leaving, fixture) {
  add("e1");
  Directory.recordLeave("e1", Now);
  endpoint_info Restarted = info("e1");
  Restarted.Incarnation = 2;
  Directory.apply("e1", Restarted, Now);
  BOOST_TEST(usable() == 1U);
}

// Guards against a forged or damaged answer that takes an endpoint away for
// good, and against a wrong note that lasts as long as an answer.
BOOST_FIXTURE_TEST_CASE(unfulfilled_leaves_expire, fixture) {
  add("e1");
  add("e2");
  Directory.recordLeave("e1", Now);
  Directory.applyPeerLeave({digestHash("e2"), 0ms}, Now);
  BOOST_TEST(usable() == 0U);
  Now += config::LeaveNoteTtl;
  BOOST_TEST(Directory.expire(Now));
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(Directory.leaves().ownNotes(Now).empty());
  Now += config::LeaveTtl;
  BOOST_TEST(Directory.expire(Now));
  BOOST_TEST(usable() == 2U);
  BOOST_TEST(!Directory.expire(Now));
}

// Guards against notes that VMs repeat to each other without end.
BOOST_FIXTURE_TEST_CASE(only_own_answers_are_passed_on, fixture) {
  Directory.applyPeerLeave({digestHash("e1"), 0ms}, Now);
  BOOST_TEST(Directory.leaves().ownNotes(Now).empty());
  Directory.recordLeave("e1", Now);
  const auto Notes = Directory.leaves().ownNotes(Now + 5s);
  BOOST_REQUIRE(Notes.size() == 1U);
  BOOST_TEST(Notes[0].Age.count() == 5000);
}

// The registry is down and all entries expire, although the endpoints are
// alive. They stay usable for the grace period; the one that doesn't register
// again is removed then.
BOOST_FIXTURE_TEST_CASE(lapsed_entries_stay_for_the_grace_period, fixture) {
  add("e1");
  add("e2");
  Directory.onSourceLost(Now);
  Now += 5s;
  Directory.onSourceRestored(Now);
  remove("e1");
  remove("e2");
  BOOST_TEST(usable() == 2U);
  Now += 1s;
  add("e1");
  Now += 1s;
  Directory.expire(Now);
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(Directory.find("e1"));
}

// The registry loses its history in an outage, so the expired entries show up
// as missing from a full list.
BOOST_FIXTURE_TEST_CASE(lapse_found_by_full_resync, fixture) {
  add("e1");
  Directory.onSourceLost(Now);
  Now += 5s;
  Directory.onSourceRestored(Now);
  Directory.replace({}, Now);
  BOOST_TEST(usable() == 1U);
  Now += 2s;
  Directory.expire(Now);
  BOOST_TEST(usable() == 0U);
}

// An endpoint announces that it is leaving, then the registry goes down and
// returns without its entry. That is a removal, not an expiry.
BOOST_FIXTURE_TEST_CASE(leaving_state_survives_an_outage, fixture) {
  add("e1");
  Directory.apply("e1", info("e1", endpoint_state::Leaving), Now);
  Directory.onSourceLost(Now);
  BOOST_TEST(usable() == 0U);
  Directory.onSourceRestored(Now);
  remove("e1");
  BOOST_TEST(usable() == 0U);
  BOOST_TEST(Directory.size() == 0U);
}

// An endpoint restarts under the same id. The failed connections of its
// previous incarnation must not count.
BOOST_FIXTURE_TEST_CASE(restart_under_the_same_id_resets_state, fixture) {
  const peer_loads Peers;
  endpoint_choice Choice(Directory, Peers, "hall-a", 1);
  add("e1");
  add("e2");
  endpoint_request Request;
  Request.Service = "engine";
  for (int Each = 0; Each < 20; ++Each) {
    const auto Chosen = Choice.choose(Request, Now);
    Choice.attemptEnded(Chosen->Id, 1,
                        Chosen->Id == "e1" ? attempt_result::Unreachable
                                           : attempt_result::Served,
                        10ms, Now);
  }
  BOOST_TEST(Choice.countAvoided(Now) == 1U);
  endpoint_info Restarted = info("e1");
  Restarted.Incarnation = 2;
  Directory.apply("e1", Restarted, Now);
  Choice.choose(Request, Now);
  BOOST_TEST(Choice.countAvoided(Now) == 0U);
}

// The store goes down just before it answers a poll, so the last confirming
// read was sent two polls earlier. Callers expect service for 0.6 of the bound
// from then on, and the lease must cover that.
BOOST_AUTO_TEST_CASE(lease_outlasts_two_polls) {
  const duration Bound = 5s;
  key_lease Lease(
      std::chrono::duration_cast<duration>(Bound * config::KeyLeaseFraction));
  const mono_time SentAt{1h};
  Lease.renew(SentAt);
  const mono_time LostAt =
      SentAt + 2 * config::OrderPollTimeout + config::RelayPollInterval;
  BOOST_TEST(Lease.isValid(LostAt + Bound * 6 / 10));
}

// A VM is cut off from the platform while a key is revoked. The lease counts
// from when the last confirming read was sent, not from its answer.
BOOST_AUTO_TEST_CASE(keys_are_valid_for_the_lease_only) {
  key_lease Lease(4s);
  mono_time Now{1h};
  BOOST_TEST(!Lease.isValid(Now));
  const mono_time SentAt = Now;
  Now += 1s; // answered late
  Lease.renew(SentAt);
  Now += 2s;
  BOOST_TEST(Lease.isValid(Now));
  Now += 1s;
  BOOST_TEST(!Lease.isValid(Now));
  Lease.renew(SentAt - 1s); // older read: no renewal
  BOOST_TEST((Lease.age(Now) == 4s));
}

// Guards against requests to an endpoint whose address now belongs to another
// one.
BOOST_FIXTURE_TEST_CASE(newer_endpoint_replaces_older_at_its_address, fixture) {
  const auto Add = [this](const std::string &Id, std::uint64_t Incarnation,
                          const std::string &Address) {
    endpoint_info Info = info(Id);
    Info.Incarnation = Incarnation;
    Info.Address = Address;
    Directory.apply(Id, Info, Now);
  };
  Add("old", 5, "127.0.0.1:1");
  Add("other", 5, "127.0.0.1:2");
  Add("new", 6, "127.0.0.1:1");
  BOOST_TEST(!Directory.find("old"));
  BOOST_TEST(Directory.find("other"));
  Add("late", 4, "127.0.0.1:1"); // older, so it replaces nothing
  BOOST_TEST(Directory.find("new"));
}

// --- the store goes back to an older copy ------------------------------------

namespace {

struct restored_fixture : fixture {
  using names = std::vector<std::string>;

  static endpoint_info at(const std::string &Id, const std::string &Address,
                          std::uint64_t Incarnation,
                          endpoint_state State = endpoint_state::Ready) {
    endpoint_info Info = info(Id, State);
    Info.Address = Address;
    Info.Incarnation = Incarnation;
    return Info;
  }
  static endpoint_info leaving(const std::string &Id,
                               const std::string &Address,
                               std::uint64_t Incarnation) {
    return at(Id, Address, Incarnation, endpoint_state::Leaving);
  }
  void write(const endpoint_info &Info) { Directory.apply(Info.Id, Info, Now); }
  /// The first list of a new era.
  void restore(std::vector<endpoint_info> Infos) {
    Directory.onStoreEra(Now);
    Directory.replace(std::move(Infos), Now);
  }
  void list(std::vector<endpoint_info> Infos) {
    Directory.replace(std::move(Infos), Now);
  }
  void pass(duration Time) {
    Now += Time;
    Directory.expire(Now);
  }
  names used(std::string_view Service = "engine") const {
    names Ids;
    for (const endpoint_info *Info : Directory.usable(Service))
      Ids.push_back(Info->Id);
    return Ids;
  }
  bool isEvacuated(std::string_view Centre) const {
    return Directory.evacuated().contains(Centre);
  }
};

} // namespace

// Guards against requests to an endpoint whose leave the copy doesn't have.
BOOST_FIXTURE_TEST_CASE(restored_list_ends_no_leave, restored_fixture) {
  write(at("e1", "a1", 1));
  write(leaving("e1", "a1", 1));
  restore({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
  pass(config::RemovedEntryTtl);
  list({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
}

// Guards against a leave that sticks to the endpoint's next life.
BOOST_FIXTURE_TEST_CASE(restored_list_with_a_restarted_endpoint_is_believed,
                        restored_fixture) {
  write(leaving("e1", "a1", 1));
  restore({at("e1", "a1", 2)});
  BOOST_TEST(used() == names{"e1"});
}

// Guards against a leave that outlasts what the endpoint writes itself.
BOOST_FIXTURE_TEST_CASE(leave_ends_with_the_endpoints_own_entry,
                        restored_fixture) {
  write(leaving("e1", "a1", 1));
  restore({at("e1", "a1", 1)});
  write(leaving("e1", "a1", 1));
  BOOST_TEST(used().empty());
  write(at("e1", "a1", 1));
  BOOST_TEST(used() == names{"e1"});
}

// Guards against a leave that outlasts the removal.
BOOST_FIXTURE_TEST_CASE(leave_ends_with_the_removal, restored_fixture) {
  write(leaving("e1", "a1", 1));
  restore({at("e1", "a1", 1)});
  remove("e1");
  BOOST_TEST(Directory.size() == 0U);
  write(at("e1", "a1", 1));
  BOOST_TEST(used() == names{"e1"});
}

// Guards against the grace for a leaving endpoint that the copy lacks.
BOOST_FIXTURE_TEST_CASE(leaving_endpoint_that_the_copy_lacks_is_dropped,
                        restored_fixture) {
  write(leaving("e1", "a1", 1));
  restore({});
  BOOST_TEST(Directory.size() == 0U);
}

// Guards against requests to endpoints that are gone.
BOOST_FIXTURE_TEST_CASE(removed_endpoint_in_the_copy_is_not_used,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  write(at("e2", "a2", 1));
  remove("e1");
  pass(30s);
  restore({at("e1", "a1", 1), at("e2", "a2", 1)});
  BOOST_TEST(used() == names{"e2"});
  pass(2 * config::RemovedEntryTtl);
  list({at("e1", "a1", 1), at("e2", "a2", 1)});
  BOOST_TEST(used() == names{"e2"});
}

// Guards against an endpoint that stays unused although it is alive.
BOOST_FIXTURE_TEST_CASE(removed_endpoint_in_the_copy_is_used_once_written,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  remove("e1");
  restore({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
  write(at("e1", "a1", 1));
  BOOST_TEST(used() == names{"e1"});
  list({at("e1", "a1", 1)});
  BOOST_TEST(used() == names{"e1"});
}

// The list of the new era arrives late. Guards against removals that are
// forgotten meanwhile.
BOOST_FIXTURE_TEST_CASE(removals_are_remembered_until_the_restored_list,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  remove("e1");
  pass(30s);
  Directory.onStoreEra(Now);
  pass(2 * config::RemovedEntryTtl);
  list({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
}

// Guards against an endpoint that is taken for removed although it registered
// again before the copy was restored, and after a gap without a new era.
BOOST_FIXTURE_TEST_CASE(endpoint_that_registered_again_is_used,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  remove("e1");
  list({at("e1", "a1", 1)});
  BOOST_TEST(used() == names{"e1"});
  remove("e1");
  write(at("e1", "a1", 1));
  restore({at("e1", "a1", 1)});
  BOOST_TEST(used() == names{"e1"});
}

// Guards against a memory of removals that grows without end, and one that
// keeps the wrong ones.
BOOST_FIXTURE_TEST_CASE(oldest_removals_are_forgotten, restored_fixture) {
  write(at("old", "a1", 1));
  remove("old");
  pass(config::RemovedEntryTtl);
  std::vector<endpoint_info> Infos{at("old", "a1", 1)};
  for (std::size_t Each = 0; Each <= config::MaxRemovedEntries; ++Each) {
    const std::string Id = "e" + std::to_string(Each);
    write(at(Id, Id, 1));
    Now += 1ms;
    remove(Id);
    Infos.push_back(at(Id, Id, 1));
  }
  restore(Infos);
  BOOST_TEST(used() == (names{"e0", "old"}));
}

// The copy holds an earlier life of an endpoint. Guards against requests to
// its earlier address and against the loss of the present one.
BOOST_FIXTURE_TEST_CASE(earlier_life_in_the_copy_replaces_nothing,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  write(at("e1", "a2", 2));
  restore({at("e1", "a1", 1)});
  BOOST_REQUIRE(used() == names{"e1"});
  BOOST_TEST(Directory.find("e1")->Address == "a2");
  pass(2s);
  list({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
  write(at("e1", "a2", 2));
  BOOST_TEST(used() == names{"e1"});
}

// Guards against the loss of endpoints that are alive, until they register
// again, and against those that don't.
BOOST_FIXTURE_TEST_CASE(endpoint_that_the_copy_lacks_is_used_for_the_grace,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  write(at("e2", "a2", 1));
  restore({});
  BOOST_TEST(used() == (names{"e1", "e2"}));
  pass(1s);
  list({});
  BOOST_TEST(used() == (names{"e1", "e2"}));
  write(at("e2", "a2", 1));
  pass(1s);
  BOOST_TEST(used() == names{"e2"});
}

// Guards against an endpoint that comes back with the next copy, after its
// grace ended.
BOOST_FIXTURE_TEST_CASE(next_copy_does_not_bring_back_what_was_dropped,
                        restored_fixture) {
  write(at("e1", "a1", 1));
  restore({});
  pass(2s);
  BOOST_TEST(used().empty());
  restore({at("e1", "a1", 1)});
  BOOST_TEST(used().empty());
}

// The copy lists an earlier owner of an address. Guards against requests of its
// service, which would reach the endpoint that is there now.
BOOST_FIXTURE_TEST_CASE(earlier_owner_of_an_address_is_not_used,
                        restored_fixture) {
  endpoint_info Other = at("a", "a1", 1);
  Other.Service = "other";
  write(at("e1", "a1", 2));
  restore({Other});
  BOOST_TEST(used("other").empty());
  BOOST_TEST(used() == names{"e1"});
  BOOST_REQUIRE(Directory.findByAddress("a1"));
  BOOST_TEST(Directory.findByAddress("a1")->Id == "e1");
  pass(2s);
  BOOST_TEST(used("other").empty());
}

// Guards against the grace for an endpoint whose address another one has now,
// as the restored list or a later entry says.
BOOST_FIXTURE_TEST_CASE(later_owner_of_an_address_ends_the_grace,
                        restored_fixture) {
  endpoint_info Other = at("other1", "a1", 1);
  Other.Service = "other";
  write(at("e1", "a1", 1));
  restore({Other});
  BOOST_TEST(used("other") == names{"other1"});
  BOOST_TEST(used().empty());

  write(at("e2", "a2", 2));
  restore({});
  endpoint_info Earlier = at("other2", "a2", 1);
  Earlier.Service = "other";
  write(Earlier);
  BOOST_TEST(used("other") == (names{"other1", "other2"}));
  BOOST_TEST(used().empty());
}

// A removed endpoint had a later clock than the one at its address now. Guards
// against the loss of the latter.
BOOST_FIXTURE_TEST_CASE(removed_endpoint_in_the_copy_replaces_nothing,
                        restored_fixture) {
  write(at("e1", "a1", 2));
  remove("e1");
  write(at("e2", "a1", 1));
  restore({at("e1", "a1", 2), at("e2", "a1", 1)});
  BOOST_TEST(used() == names{"e2"});
}

// As above, for an endpoint that the VM knows at another address.
BOOST_FIXTURE_TEST_CASE(moved_endpoint_ends_the_grace_at_its_address,
                        restored_fixture) {
  endpoint_info Other = at("other1", "a1", 1);
  Other.Service = "other";
  write(Other);
  write(at("e1", "a2", 1));
  restore({Other});
  Other.Address = "a2";
  Other.Incarnation = 2;
  write(Other);
  BOOST_TEST(used("other") == names{"other1"});
  BOOST_TEST(used().empty());
}

// Guards against requests to an evacuated data centre whose order the copy
// lacks, and against one that never ends.
BOOST_FIXTURE_TEST_CASE(lost_evacuation_holds_for_the_grace, restored_fixture) {
  endpoint_info Info = at("e1", "a1", 1);
  Info.DataCentre = "hall-a";
  write(Info);
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.onStoreEra(Now);
  pass(5s);
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  Directory.setEvacuated({}, Now);
  BOOST_TEST(used().empty());
  Now += config::LostEvacuationGrace - 1ms;
  Directory.setEvacuated({"hall-b"}, Now);
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  BOOST_TEST(isEvacuated("hall-a"));
  Now += 1ms;
  BOOST_TEST(Directory.expireEvacuations(Now) == names{"hall-a"});
  BOOST_TEST(!isEvacuated("hall-a"));
  BOOST_TEST(isEvacuated("hall-b"));
  BOOST_TEST(used() == names{"e1"});
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
}

// Guards against an evacuation that ends although it was ordered again, or
// that holds although it was taken back then.
BOOST_FIXTURE_TEST_CASE(evacuation_ordered_again_is_as_ordered,
                        restored_fixture) {
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.onStoreEra(Now);
  Directory.setEvacuated({}, Now);
  Directory.setEvacuated({"hall-a"}, Now);
  Now += config::LostEvacuationGrace;
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  BOOST_TEST(isEvacuated("hall-a"));

  Directory.onStoreEra(Now);
  Directory.setEvacuated({}, Now);
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.setEvacuated({}, Now);
  BOOST_TEST(!isEvacuated("hall-a"));
}

// Guards against requests to a data centre that the restored orders name.
BOOST_FIXTURE_TEST_CASE(restored_evacuation_counts, restored_fixture) {
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.setEvacuated({}, Now);
  BOOST_TEST(!isEvacuated("hall-a"));
  Directory.onStoreEra(Now);
  Directory.setEvacuated({"hall-a"}, Now);
  BOOST_TEST(isEvacuated("hall-a"));
  Directory.setEvacuated({}, Now);
  BOOST_TEST(!isEvacuated("hall-a"));
}

// The store is unreachable again. Guards against the end of an evacuation that
// can't be ordered again meanwhile.
BOOST_FIXTURE_TEST_CASE(lost_evacuation_outlasts_an_outage, restored_fixture) {
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.onStoreEra(Now);
  Directory.setEvacuated({}, Now);
  Directory.onSourceLost(Now);
  Now += 2 * config::LostEvacuationGrace;
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  Directory.onSourceRestored(Now);
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  BOOST_TEST(isEvacuated("hall-a"));
  Now += config::LostEvacuationGrace;
  BOOST_TEST(Directory.expireEvacuations(Now) == names{"hall-a"});
}

// The store goes back again within the grace. Guards against an evacuation
// that ends before the operator can order it again.
BOOST_FIXTURE_TEST_CASE(next_copy_renews_the_grace_of_an_evacuation,
                        restored_fixture) {
  Directory.setEvacuated({"hall-a"}, Now);
  Directory.onStoreEra(Now);
  Directory.setEvacuated({}, Now);
  Now += config::LostEvacuationGrace - 1ms;
  Directory.onStoreEra(Now);
  Directory.setEvacuated({}, Now);
  Now += 1ms;
  BOOST_TEST(Directory.expireEvacuations(Now).empty());
  BOOST_TEST(isEvacuated("hall-a"));
}
