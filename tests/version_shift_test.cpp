#define BOOST_TEST_MODULE version_shift
#include "config.h"
#include "hashing.h"
#include "rollout_codec.h"
#include "version_shift.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace clementinelane;
using namespace std::chrono_literals;

namespace {

constexpr auto Length = 20s;

struct fixture {
  mono_time Now{1h};
  version_shift Shift{"vm1", 1};

  fixture() { list({"v1"}); }
  /// Four endpoints of each version.
  void list(const std::vector<std::string> &Versions) {
    std::vector<endpoint_info> Infos;
    Infos.reserve(Versions.size() * 4);
    for (const std::string &Version : Versions)
      for (int Each = 0; Each < 4; ++Each) {
        endpoint_info Info;
        Info.Id = Version + std::to_string(Each);
        Info.Version = Version;
        Infos.push_back(Info);
      }
    std::vector<const endpoint_info *> Views;
    Views.reserve(Infos.size());
    for (const endpoint_info &Info : Infos)
      Views.push_back(&Info);
    Shift.takeEndpoints(Views);
  }
  void order(const std::string &Target = "v2", std::uint64_t Offset = 5) {
    Shift.takeOrder({"engine", Target, Length, Offset}, Now);
    Shift.takeStatusesRead(Now);
    Shift.takeReportsRead(Now);
  }
  /// Passes the time, with a read of the reports every second.
  void pass(duration Time) {
    const mono_time End = Now + Time;
    do {
      Now = std::min<mono_time>(End, Now + 1s);
      Shift.takeReportsRead(Now);
    } while (Now < End);
  }
  version_side side(const std::string &Session) {
    return Shift.sideFor(Session, stableHash(Session), Now);
  }
  /// A request of the session runs on a version for a moment, at this VM.
  void run(const std::string &Session, std::string_view Version) {
    Shift.beginRun(stableHash(Session), Version, Now);
    Shift.endRun(stableHash(Session), Now);
  }
  /// The same at another VM.
  void runElsewhere(const std::string &Session, std::string_view Version) {
    Shift.takeRun({stableHash(Session), versionHash(Version), Now}, Now);
  }
  /// Sessions that are new on the new side, of 1,000.
  int newSessions(const std::string &Prefix) {
    int Count = 0;
    for (int Each = 0; Each < 1000; ++Each)
      Count += side(Prefix + std::to_string(Each)) == version_side::New ? 1 : 0;
    return Count;
  }
  void answers(version_shift &On, bool IsNew, int Count, int Failures,
               duration Wait, const std::string &Kind = "review|0") {
    for (int Each = 0; Each < Count; ++Each) {
      On.observe({Kind, IsNew, sample_kind::Sent, {}}, Now);
      On.observe({Kind, IsNew, sample_kind::FirstByte, Wait}, Now);
      On.observe({Kind, IsNew, sample_kind::Pace, 20ms}, Now);
      On.observe({Kind,
                  IsNew,
                  Each < Failures ? sample_kind::Failed : sample_kind::Answered,
                  {}},
                 Now);
    }
  }
};

} // namespace

// A version is bad but shows it to nobody before it has all traffic. What it
// meets from the order to the deadline stays within the bound all the same.
BOOST_FIXTURE_TEST_CASE(exposure_is_bounded_without_any_sign, fixture) {
  order();
  double Exposed = 0;
  constexpr int Steps = 200;
  for (int Step = 0; Step < Steps; ++Step) {
    pass(duration(Length) / Steps);
    Exposed += newSessions(std::to_string(Step) + "-") / 1000.0 / Steps;
  }
  BOOST_TEST(Exposed < 0.15);
  BOOST_TEST(Exposed > 0.12); // the bound isn't wasted either
  BOOST_TEST(newSessions("end") == 1000);
}

// What a VM doesn't know of a session may have run elsewhere: none is moved in
// the first half, whether known here or not. Requests without one are.
BOOST_FIXTURE_TEST_CASE(first_half_moves_no_session, fixture) {
  order();
  for (auto Left = Length / 2; Left > 0s; Left -= 1s) {
    BOOST_TEST(newSessions("at " + std::to_string(Left.count())) == 0);
    pass(1s);
  }
}

BOOST_FIXTURE_TEST_CASE(first_half_tries_requests_without_a_session, fixture) {
  order();
  int Moved = 0;
  for (int Each = 0; Each < 10000; ++Each)
    Moved += Shift.sideFor("", stableHash(std::to_string(Each)), Now) ==
                     version_side::New
                 ? 1
                 : 0;
  BOOST_TEST(Moved > 100);
  BOOST_TEST(Moved < 200);
}

BOOST_FIXTURE_TEST_CASE(second_half_exposes_a_small_share, fixture) {
  order();
  pass(Length / 2);
  const int First = newSessions("a");
  BOOST_TEST(First > 70);
  BOOST_TEST(First < 130);
}

// A session's requests come in at VMs that know nothing of each other. From the
// half on they all place it by its hash.
BOOST_FIXTURE_TEST_CASE(vms_without_news_place_a_session_alike, fixture) {
  version_shift Other("vm2", 2);
  Other.setExposureBound(0.15, 0);
  Other.takeOrder({"engine", "v2", Length, 5}, Now);
  order();
  pass(Length / 2);
  Other.takeReportsRead(Now);
  for (int Each = 0; Each < 1000; ++Each) {
    const std::string Name = "s" + std::to_string(Each);
    BOOST_TEST((side(Name) == Other.sideFor(Name, stableHash(Name), Now)));
  }
}

// The store goes away at the last step. No VM learns what the others
// see, so none raises its share, and nothing is completed.
BOOST_FIXTURE_TEST_CASE(share_stays_without_reports, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  pass(Length / 2);
  version_shift AtHalf = Shift;
  const int First = newSessions("a");
  std::swap(Shift, AtHalf); // without the memory of these sessions
  Now += Length / 2;
  BOOST_TEST(newSessions("a") == First);
  BOOST_TEST(!Shift.due(Now).has_value());
  pass(0s);
  BOOST_TEST(newSessions("b") == 1000);
  BOOST_TEST(!Shift.due(Now).has_value()); // nothing is known of this step yet
  pass(config::RolloutLateProofTime);
  BOOST_TEST((*Shift.due(Now) == rollout_state::Completed));
}

// The store goes away after the last step, when sessions have moved that this
// VM hasn't heard of. The step isn't taken back, and nothing is completed
// unseen.
BOOST_FIXTURE_TEST_CASE(last_step_is_not_taken_back_without_reports, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  pass(Length - 500ms);
  BOOST_TEST(newSessions("a") == 1000);
  Now += config::RolloutReportLife + 1ms;
  BOOST_TEST(newSessions("b") == 1000);
  BOOST_TEST(!Shift.due(Now).has_value());
  pass(0s);
  pass(config::RolloutLateProofTime);
  BOOST_TEST((*Shift.due(Now) == rollout_state::Completed));
}

// A small service: no kind alone has enough answers to be judged. All are four
// times slower.
BOOST_FIXTURE_TEST_CASE(few_answers_of_each_kind_are_enough, fixture) {
  order();
  for (const std::string Kind : {"a|0", "b|0", "c|0", "a|2", "b|2"}) {
    const auto Usual = Kind.ends_with("2") ? 1000ms : 100ms;
    answers(Shift, false, 20, 0, Usual, Kind);
    answers(Shift, true, 3, 0, Usual * 4, Kind);
  }
  BOOST_TEST(Shift.verdict() == "slow_first_byte of all kinds");
}

// The first share of sessions meets a like share of the target's endpoints, so
// a version that fails under load fails there already; two at least.
BOOST_FIXTURE_TEST_CASE(first_share_meets_few_endpoints, fixture) {
  order();
  list({"v1", "v2"});
  const auto Used = [this] {
    int Count = 0;
    for (int Each = 0; Each < 4; ++Each)
      Count += Shift.allowsEndpoint("v2" + std::to_string(Each), Now) ? 1 : 0;
    return Count;
  };
  BOOST_TEST(Used() == 2);
  pass(Length);
  BOOST_TEST(Used() == 4);
}

// Statement reviews are under way when an order comes. Their sessions stay on
// the old version through the first half, whatever their hash.
BOOST_FIXTURE_TEST_CASE(sessions_before_the_order_stay, fixture) {
  for (int Each = 0; Each < 1000; ++Each)
    run("s" + std::to_string(Each), "v1");
  Now += 1s;
  order();
  BOOST_TEST(newSessions("s") == 0);
}

// A VM restarts amid a roll-out. It can't know which sessions are old, so it
// moves none until it has seen the last seconds of them.
BOOST_FIXTURE_TEST_CASE(restarted_vm_moves_no_session, fixture) {
  version_shift Fresh("vm2", 2);
  Fresh.takeOrder({"engine", "v2", Length, 5}, Now);
  int Moved = 0;
  for (int Each = 0; Each < 1000; ++Each) {
    const std::string Session = "s" + std::to_string(Each);
    Moved +=
        Fresh.sideFor(Session, stableHash(Session), Now) == version_side::New
            ? 1
            : 0;
  }
  BOOST_TEST(Moved == 0);
}

// A session's requests come in at two VMs. One knows it from before the order;
// the other, which hears of it, keeps it on the old version too.
BOOST_FIXTURE_TEST_CASE(sessions_of_other_vms_stay, fixture) {
  for (int Each = 0; Each < 1000; ++Each)
    runElsewhere("s" + std::to_string(Each), "v1");
  Now += 1s;
  order();
  BOOST_TEST(newSessions("s") == 0);
  runElsewhere("moved", "v2");
  BOOST_TEST((side("moved") == version_side::New));
}

// Two VMs differ on a session, and each hears of the other's side. It stays
// where it was moved to; before, the two swapped sides with each digest.
BOOST_FIXTURE_TEST_CASE(differing_vms_settle_on_the_moved_side, fixture) {
  order();
  runElsewhere("s", "v2");
  runElsewhere("s", "v1");
  BOOST_TEST((side("s") == version_side::New));
}

// A request is placed on the target but runs on the old version, since no
// endpoint of the target takes it. Its session hasn't moved.
BOOST_FIXTURE_TEST_CASE(session_stays_where_it_ran_not_where_it_was_placed,
                        fixture) {
  order();
  pass(Length / 2);
  std::string Placed;
  for (int Each = 0; Placed.empty(); ++Each)
    if (side("s" + std::to_string(Each)) == version_side::New)
      Placed = "s" + std::to_string(Each);
  run(Placed, "v1");
  const session_knowledge Known = Shift.knowledgeOf(stableHash(Placed), Now);
  BOOST_TEST((Known.Side == version_side::Old));
  BOOST_TEST((Known.Source == session_source::Own));
}

// A stream runs for longer than its session's time to live. The session is not
// forgotten meanwhile, nor within its time after the end.
BOOST_FIXTURE_TEST_CASE(session_lives_while_its_stream_runs, fixture) {
  Shift.setSessionTtl(5s);
  order();
  Shift.beginRun(stableHash("s"), "v2", Now);
  Now += 8s;
  BOOST_TEST((side("s") == version_side::New));
  Shift.endRun(stableHash("s"), Now);
  Now += 4s;
  BOOST_TEST((side("s") == version_side::New));
  Now += 1s;
  BOOST_TEST((side("s") == version_side::Old));
}

// The end of a request that ran on the target of an order is told after the
// next order: the session has run on the version in use, not on the new target.
BOOST_FIXTURE_TEST_CASE(run_on_the_target_before_is_none_on_the_next, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::Completed, Now);
  order("v3", 6);
  run("here", "v2");
  runElsewhere("elsewhere", "v2");
  BOOST_TEST((side("here") == version_side::Old));
  BOOST_TEST((side("elsewhere") == version_side::Old));
}

// A VM that hasn't read the order runs a session that another one has moved.
// When it reads the order it knows what ran, also if that is long ago.
BOOST_FIXTURE_TEST_CASE(order_read_late_keeps_what_was_told_before, fixture) {
  runElsewhere("moved", "v2");
  Now += 4s;
  order();
  BOOST_TEST((side("moved") == version_side::New));
}

// Notes arrive late and out of order: an older run than is known changes
// nothing.
BOOST_FIXTURE_TEST_CASE(late_note_of_an_older_run_changes_nothing, fixture) {
  order();
  run("s", "v2");
  Shift.takeStatus("v2", rollout_state::RolledBack, Now);
  Now += 1s;
  run("s", "v1");
  Shift.takeRun({stableHash("s"), versionHash("v2"), Now - 500ms}, Now);
  const auto Last = Shift.lastRun(stableHash("s"), Now);
  BOOST_REQUIRE(Last.has_value());
  BOOST_TEST(Last->Version == versionHash("v1"));
  BOOST_TEST((Last->LastAt == Now));
  BOOST_TEST(Shift.isNews(stableHash("s"), "v3", Now));
}

// The step is charged for what the trial was planned to meet, though it met
// less: more sessions than needed are left on the version that goes.
BOOST_FIXTURE_TEST_CASE(step_is_charged_for_what_the_target_met, fixture) {
  Shift.setExposureBound(0.15, 0);
  const auto StepWith = [this](int MetOfThousand) {
    order("v2", Shift.order() ? Shift.order()->Offset + 1 : 5);
    const mono_time Start = Now;
    double Met = 0;
    int Sent = 0;
    while (newSessions(std::to_string(Sent)) < 1000) {
      pass(100ms);
      const bool IsHalf = Now - Start >= Length / 2;
      for (int Each = 0; Each < 100; ++Each) {
        const bool IsNew =
            IsHalf && ++Sent * MetOfThousand % 1000 < MetOfThousand;
        Met += IsNew ? 1 : 0;
        Shift.observe({"review|0", IsNew, sample_kind::Sent, {}}, Now);
      }
      answers(Shift, true, 1, 0, 300ms);
    }
    const duration Rest = Start + Length - Now;
    const double All = 100 * std::chrono::duration<double>(Length) / 100ms;
    const double Exposed =
        Met + 100 * std::chrono::duration<double>(Rest) / 100ms;
    BOOST_TEST(Exposed <= 0.15 * All);
    return Rest;
  };
  const duration Planned = StepWith(100);
  const duration Quiet = StepWith(20);
  BOOST_TEST((Quiet >= Planned + 200ms));
}

// The others step some moments before this VM, and tell of all that their
// sessions now send to the target. Counted as met before, it moves this VM's
// step away.
BOOST_FIXTURE_TEST_CASE(step_of_the_others_moves_no_step, fixture) {
  order();
  pass(Length - 2400ms);
  BOOST_TEST(newSessions("a") < 200);
  version_shift Other("vm2", 2);
  Other.takeOrder({"engine", "v2", Length, 5}, Now - Length + 2400ms);
  for (int Each = 0; Each < 2000; ++Each)
    Other.observe({"review|0", true, sample_kind::Sent, {}}, Now);
  Shift.takeReport(Other.report(Now), Now);
  pass(1000ms);
  BOOST_TEST(newSessions("b") == 1000);
}

// A small service: the tolerance in requests is a good part of all, so the last
// step may come earlier and old requests have time to end.
BOOST_FIXTURE_TEST_CASE(quiet_services_step_earlier, fixture) {
  Shift.setExposureBound(0.15, 30);
  order();
  Now += 10s;
  answers(Shift, false, 100, 0, 300ms);
  answers(Shift, true, 5, 0, 300ms);
  pass(7s);
  BOOST_TEST(newSessions("a") == 1000);
}

// A session that moved never goes back while the new version is good.
BOOST_FIXTURE_TEST_CASE(moved_sessions_stay_moved, fixture) {
  order();
  pass(Length / 2);
  std::string Moved;
  for (int Each = 0; Moved.empty(); ++Each)
    if (side("s" + std::to_string(Each)) == version_side::New)
      Moved = "s" + std::to_string(Each);
  for (auto At = Length / 2; At < Length; At += 1s) {
    BOOST_TEST((side(Moved) == version_side::New));
    pass(1s);
  }
}

// Endpoints of the next version are listed before its order is read. Nothing
// goes there until the order is known.
BOOST_FIXTURE_TEST_CASE(unordered_version_gets_nothing, fixture) {
  list({"v1", "v2"});
  BOOST_TEST(Shift.allows("v1", version_side::Old));
  BOOST_TEST(!Shift.allows("v2", version_side::Old));
  order();
  list({"v1", "v2"});
  BOOST_TEST(!Shift.allows("v2", version_side::Old));
  BOOST_TEST(Shift.allows("v2", version_side::New));
  BOOST_TEST(!Shift.allows("v1", version_side::New));
}

BOOST_FIXTURE_TEST_CASE(completed_and_rolled_back_settle_it, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::RolledBack, Now);
  BOOST_TEST(!Shift.isActive());
  BOOST_TEST(!Shift.allows("v2", version_side::New));
  BOOST_TEST(Shift.allows("v1", version_side::Old));
  order("v3", 6);
  Shift.takeStatus("v3", rollout_state::Completed, Now);
  BOOST_TEST(Shift.allows("v3", version_side::Old));
  BOOST_TEST(!Shift.allows("v1", version_side::Old));
}

// Half of a version's answers are failures from the start. It is judged after
// some twenty answers, and its sessions go back.
BOOST_FIXTURE_TEST_CASE(failing_version_is_stopped, fixture) {
  order();
  answers(Shift, false, 200, 2, 300ms);
  answers(Shift, true, 20, 10, 300ms);
  BOOST_TEST(!Shift.verdict().empty());
  BOOST_TEST((*Shift.due(Now) == rollout_state::RolledBack));
  BOOST_TEST(newSessions("a") == 0);
}

// Half of the answers are eight times slower, none fails.
BOOST_FIXTURE_TEST_CASE(slow_version_is_stopped, fixture) {
  order();
  answers(Shift, false, 200, 0, 300ms);
  answers(Shift, true, 12, 0, 300ms);
  answers(Shift, true, 12, 0, 2400ms);
  BOOST_TEST(!Shift.verdict().empty());
}

// Engines work eight times as long on half of the requests, and waits vary so
// much by load that they show nothing yet. The pace of the first events does.
BOOST_FIXTURE_TEST_CASE(slow_events_stop_a_version_early, fixture) {
  order();
  answers(Shift, false, 100, 0, 300ms);
  for (int Each = 0; Each < 20; ++Each)
    Shift.observe(
        {"review|0", true, sample_kind::Pace, Each % 2 == 0 ? 20ms : 160ms},
        Now);
  BOOST_TEST(Shift.verdict().starts_with("slow_events"));
}

// One kind of request fails, and it is a tenth of all.
BOOST_FIXTURE_TEST_CASE(one_failing_kind_is_enough, fixture) {
  order();
  answers(Shift, false, 300, 3, 300ms, "review|0");
  answers(Shift, false, 30, 0, 300ms, "tag|0");
  answers(Shift, true, 90, 1, 300ms, "review|0");
  BOOST_TEST(Shift.verdict().empty());
  answers(Shift, true, 10, 7, 300ms, "tag|0");
  BOOST_TEST(!Shift.verdict().empty());
}

// Each VM sees too few answers to judge; together they see enough.
BOOST_FIXTURE_TEST_CASE(reports_of_others_count, fixture) {
  order();
  answers(Shift, false, 50, 0, 300ms);
  answers(Shift, true, 4, 2, 300ms);
  BOOST_TEST(Shift.verdict().empty());
  for (unsigned Vm = 2; Vm < 6; ++Vm) {
    version_shift Other("vm" + std::to_string(Vm), Vm);
    Other.takeOrder({"engine", "v2", Length, 5}, Now);
    answers(Other, false, 50, 0, 300ms);
    answers(Other, true, 4, 2, 300ms);
    const auto Report = decodeReport(encodeReport(Other.report(Now)));
    BOOST_REQUIRE(Report.has_value());
    Shift.takeReport(*Report, Now);
    Shift.takeReport(*Report, Now); // twice does no harm
  }
  BOOST_TEST(!Shift.verdict().empty());
}

// A stream ends after its version has gone: its session is without a version
// from that end on, not on the new one.
BOOST_AUTO_TEST_CASE(
    stream_that_outlives_its_version_leaves_its_session_without) {
  mono_time Now{1h};
  version_shift Shift("vm1", 1);
  Shift.setSessionTtl(5s);
  const std::uint64_t Hash = stableHash("s");
  Shift.takeOrder({"engine", "v1", 20s, 1}, Now);
  Shift.beginRun(Hash, "v0", Now);
  Shift.takeStatus("v1", rollout_state::Completed, Now);
  Now += 3s;
  Shift.endRun(Hash, Now);
  BOOST_TEST(Shift.isNews(Hash, "v0", Now));
  Now += 4s;
  Shift.takeOrder({"engine", "v2", 20s, 2}, Now);
  BOOST_TEST((Shift.untilLapse("s", Hash, Now) == std::optional<duration>(1s)));
}

// Good versions of many kinds, on services that fail by themselves at times:
// none is stopped.
BOOST_AUTO_TEST_CASE(good_versions_pass) {
  int Stopped = 0;
  for (unsigned Seed = 1; Seed <= 100; ++Seed) {
    std::mt19937 Random(Seed);
    std::bernoulli_distribution IsFailure(0.14);
    std::lognormal_distribution<double> Wait(std::log(300.0), 0.7);
    version_shift Shift("vm", 1);
    Shift.takeOrder({"engine", "v2", Length, 1}, mono_time{1h});
    for (int Each = 0; Each < 600; ++Each) {
      const std::string Kind = "kind" + std::to_string(Each % 5);
      const bool IsNew = Each % 3 == 0;
      Shift.observe(
          {Kind,
           IsNew,
           IsFailure(Random) ? sample_kind::Failed : sample_kind::Answered,
           {}},
          mono_time{1h});
      for (const auto What : {sample_kind::FirstByte, sample_kind::Pace})
        Shift.observe({Kind, IsNew, What,
                       std::chrono::microseconds(
                           static_cast<std::int64_t>(Wait(Random) * 1000))},
                      mono_time{1h});
    }
    Stopped += Shift.verdict().empty() ? 0 : 1;
  }
  BOOST_TEST(Stopped == 0);
}

// A process starts amid a roll-out: the others tell it how far it is, so it
// doesn't begin the first half again.
BOOST_FIXTURE_TEST_CASE(time_since_the_order_is_learned, fixture) {
  order();
  rollout_report Report = Shift.report(Now);
  Report.Vm = "vm2";
  Report.Elapsed = 12s;
  Shift.takeReport(Report, Now);
  BOOST_TEST((Shift.elapsed(Now) == 12s));
}

// The old endpoints stop at once when an order is completed: requests on them
// are cut, and a version that turns bad then is all that is left. So it is
// completed as late as the operator's look before the deadline allows.
BOOST_FIXTURE_TEST_CASE(completion_comes_just_before_the_deadline, fixture) {
  order();
  BOOST_TEST((*Shift.due(Now) == rollout_state::InProgress));
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  BOOST_TEST(!Shift.due(Now).has_value());
  pass(18600ms);
  BOOST_TEST((side("any") == version_side::New)); // the last step is done
  pass(Length - config::RolloutDeadlineMargin - Shift.elapsed(Now) - 1ms);
  BOOST_TEST(!Shift.due(Now).has_value());
  pass(1ms);
  BOOST_TEST((*Shift.due(Now) == rollout_state::Completed));
}

// A second order comes right after the first was completed. A session that last
// ran before has no version left and waits until it counts as a new one; one
// that has run on the new version since, or is new, does not.
BOOST_FIXTURE_TEST_CASE(second_order_finds_sessions_without_a_version,
                        fixture) {
  Shift.setSessionTtl(5s);
  const auto Waits = [this](const std::string &Session) {
    return Shift.untilLapse(Session, stableHash(Session), Now);
  };
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  pass(Length / 2);
  run("stranded", "v1");
  run("moved on", "v1");
  Shift.takeStatus("v2", rollout_state::Completed, Now);
  pass(1s);
  run("moved on", "v2");
  BOOST_TEST(!Waits("stranded").has_value()); // no order is under way
  order("v3", 6);
  BOOST_TEST((Waits("stranded") == std::optional<duration>(4s)));
  BOOST_TEST(Shift.stranded(Now).size() == 1U);
  for (const session_run &Run : Shift.stranded(Now)) {
    version_shift Other("vm2", 1);
    Other.setSessionTtl(5s);
    Other.takeOrder({"engine", "v2", Length, 5}, Now);
    Other.takeStatus("v2", rollout_state::Completed, Now);
    Other.takeRun(Run, Now);
    Other.takeOrder({"engine", "v3", Length, 6}, Now);
    BOOST_TEST((Other.untilLapse("any", Run.Session, Now) ==
                std::optional<duration>(4s)));
    BOOST_TEST(Other.stranded(Now).empty()); // each VM tells of its own
  }
  BOOST_TEST(!Waits("moved on").has_value());
  BOOST_TEST(!Waits("fresh").has_value());
  pass(4s);
  BOOST_TEST(!Waits("stranded").has_value());
}

// A version turns bad with the last step, a second before its deadline. The few
// failures are too few for a verdict, but the good answers of the trial must
// not outweigh them: completed, it would be all that is left to run on.
BOOST_FIXTURE_TEST_CASE(doubt_holds_the_completion_back, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  answers(Shift, false, 400, 2, 300ms);
  answers(Shift, true, 60, 0, 300ms);
  pass(Length - config::RolloutDeadlineMargin);
  answers(Shift, true, 6, 3, 300ms);
  BOOST_TEST(Shift.verdict().empty());
  BOOST_TEST(!Shift.due(Now).has_value());
  answers(Shift, true, 8, 4, 300ms);
  BOOST_TEST(!Shift.verdict().empty());
  BOOST_TEST((*Shift.due(Now) == rollout_state::RolledBack));
}

// The same, but the next answers are good, or none come: it is completed.
BOOST_FIXTURE_TEST_CASE(doubt_passes, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  answers(Shift, false, 400, 2, 300ms);
  pass(Length - config::RolloutDeadlineMargin);
  answers(Shift, true, 6, 2, 300ms);
  BOOST_TEST(!Shift.due(Now).has_value());
  version_shift Fewer = Shift;
  answers(Shift, true, 200, 1, 300ms);
  BOOST_TEST((*Shift.due(Now) == rollout_state::Completed));
  for (auto At = 0s; At < config::RolloutDoubtTime; At += 1s) {
    Now += 1s;
    Fewer.takeReportsRead(Now);
  }
  BOOST_TEST((*Fewer.due(Now) == rollout_state::Completed));
}

// The store loses answers while a bad version is under way. Those who heard all
// reports know that it is bad; the others hear it from them, not by the store.
BOOST_FIXTURE_TEST_CASE(told_verdict_stops_a_version, fixture) {
  order();
  pass(Length / 2);
  BOOST_TEST(newSessions("a") > 0);
  version_shift Other("vm2", 2);
  Other.takeOrder({"engine", "v2", Length, 5}, Now);
  answers(Other, false, 200, 2, 300ms);
  answers(Other, true, 20, 10, 300ms);
  BOOST_TEST(Other.hasUntoldFailure(Now));
  rollout_report Report = *decodeReport(encodeReport(Other.report(Now)));
  Report.Tally = {}; // the reports behind it were lost
  Shift.takeReport(Report, Now);
  BOOST_TEST(Shift.verdict() == Other.verdict());
  BOOST_TEST(newSessions("b") == 0);
  Report.OrderOffset = 4; // of an order before
  version_shift Third("vm3", 3);
  Third.takeOrder({"engine", "v2", Length, 5}, Now);
  Third.takeReport(Report, Now);
  BOOST_TEST(Third.verdict().empty());
}

// The store is away from the trial to just past the deadline, and the version
// is bad only under load. When the store is back all sessions move; the order
// must not be completed before the reports on them could come in.
BOOST_FIXTURE_TEST_CASE(late_last_step_is_not_completed_unseen, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  pass(12s);
  Now += 8500ms; // no reads
  Shift.takeReportsRead(Now);
  BOOST_TEST((side("any") == version_side::New));
  BOOST_TEST(!Shift.due(Now).has_value());
  pass(duration(config::RolloutLateProofTime) - 1ms);
  BOOST_TEST(!Shift.due(Now).has_value());
  answers(Shift, true, 60, 30, 50ms);
  BOOST_TEST((*Shift.due(Now) == rollout_state::RolledBack));
}

// The same with a good version: it is completed, late.
BOOST_FIXTURE_TEST_CASE(late_last_step_is_completed_late, fixture) {
  order();
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  pass(12s);
  Now += 8500ms; // no reads
  Shift.takeReportsRead(Now);
  pass(config::RolloutLateProofTime);
  BOOST_TEST((*Shift.due(Now) == rollout_state::Completed));
}

// A process starts after an order has ended. It reads the order first and must
// not write "in progress" over its end.
BOOST_FIXTURE_TEST_CASE(nothing_is_due_before_the_statuses_are_known, fixture) {
  Shift.takeOrder({"engine", "v2", Length, 5}, Now);
  BOOST_TEST(!Shift.due(Now).has_value());
  Shift.takeStatusesRead(Now - 1s); // sent before the order was seen
  BOOST_TEST(!Shift.due(Now).has_value());
  Shift.takeStatus("v2", rollout_state::Completed, Now);
  Shift.takeStatusesRead(Now);
  BOOST_TEST(!Shift.due(Now).has_value());
}

// A VM stands still through a whole roll-out while it follows that of another
// service. When it goes on, it reads the final status before the order. It must
// not take the order for a new one and write "in progress" over its end.
BOOST_FIXTURE_TEST_CASE(status_before_its_order_counts, fixture) {
  Shift.takeStatus("v2", rollout_state::InProgress, Now);
  Shift.takeStatus("v2", rollout_state::Completed, Now);
  pass(1s);
  order();
  BOOST_TEST(!Shift.isActive());
  BOOST_TEST(!Shift.due(Now).has_value());
  BOOST_TEST(Shift.allows("v2", version_side::Old));
}

// Two VMs read the order half a second apart. The first moves a session and
// tells the other, which must not take it back when it reads the order in turn:
// it learns when that was read first.
BOOST_FIXTURE_TEST_CASE(late_reader_keeps_what_others_moved, fixture) {
  const mono_time OrderedAt = Now;
  run("before", "v1");
  pass(200ms);
  runElsewhere("moved", "v2");
  pass(300ms);
  Shift.takeOrder({"engine", "v2", Length, 5}, OrderedAt);
  BOOST_TEST((Shift.elapsed(Now) == 500ms));
  BOOST_TEST((side("moved") == version_side::New));
  BOOST_TEST((side("before") == version_side::Old));
}

// A version is ordered again some time after it was rolled back: the old status
// says nothing of the new order, nor does that of another version.
BOOST_FIXTURE_TEST_CASE(old_or_other_status_is_not_the_orders, fixture) {
  Shift.takeStatus("v2", rollout_state::RolledBack, Now);
  pass(config::RolloutEarlyStatusLife + 1ms);
  order();
  BOOST_TEST(Shift.isActive());
  Shift.takeStatus("v4", rollout_state::Completed, Now);
  order("v3", 6);
  BOOST_TEST(Shift.isActive());
}

BOOST_AUTO_TEST_CASE(any_bytes_are_no_report_or_one) {
  const bool IsOk = rc::check([](const std::string &Bytes) {
    decodeReport(Bytes); // must not throw
  });
  BOOST_TEST(IsOk);
}

BOOST_AUTO_TEST_CASE(binomial_tail_is_exact) {
  BOOST_TEST(binomialTail(4, 4, 0.5) == 0.0625,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(binomialTail(3, 0, 0.2) == 1.0,
             boost::test_tools::tolerance(1e-9));
}
