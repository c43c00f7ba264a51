#define BOOST_TEST_MODULE rollout_driver
// Before cpprest, which defines U as a macro.
#include <boost/test/unit_test.hpp>

#include "change.h"
#include "config.h"
#include "operator_client.h"

#include "rollout_driver.h"

using namespace clementinelane;
namespace event = driver_event;
namespace action = driver_action;

namespace {

const std::string Base =
    "[endpoints.e]\naddress = \"127.0.0.1:1\"\ndata_centre = \"hall-a\"\n"
    "pool = \"p\"\n[versions.\"m@1\"]\npool = \"p\"\n"
    "[versions.\"m@2\"]\npool = \"p\"\n";

/// A log of one reader; append() is what an operator or a driver does.
class world {
public:
  explicit world(bool Automatic) {
    rollout_spec Spec;
    Spec.Name = "r";
    Spec.From = "m@1";
    Spec.To = "m@2";
    Spec.StepsPercent = {1, 10, 100};
    Spec.Automatic = Automatic;
    append({"10.toml", Base});
    append(rolloutFile(Spec));
  }
  change_record make(const config_file &File) const {
    remote_folder Folder;
    Folder.Files = Replica.state().Files;
    return makeChange(Folder, {File}, false);
  }
  std::error_code append(const change_record &Change) {
    return Replica.apply(Replica.state().Next, encodeChange(Change)).Error;
  }
  std::error_code append(const config_file &File) { return append(make(File)); }
  const rollout_spec &rollout() const {
    return Replica.config()->Rollouts.at("r");
  }
  config_replica Replica;
};

const action::propose *proposal(const std::vector<driver_output> &Out) {
  for (const driver_output &Each : Out)
    if (const auto *Found = std::get_if<action::propose>(&Each))
      return Found;
  return nullptr;
}

bool brakes(const std::vector<driver_output> &Out) {
  return !Out.empty() && std::holds_alternative<action::brake>(Out[0]);
}

constexpr mono_time Start{};
const mono_time Later = Start + config::MinRolloutStepTime;

} // namespace

// The driver's VM is lost at each point of the roll-out: before its append,
// after it without an answer, after the answer. The next VM goes on from the
// configuration, and each step is taken once.
BOOST_AUTO_TEST_CASE(an_interrupted_rollout_is_gone_on_with) {
  for (const bool AppendArrives : {false, true}) {
    world World(true);
    mono_time Now = Later;
    for (std::uint64_t Step = 0; Step < 2; ++Step) {
      rollout_driver First;
      First.handle(event::config_changed{World.Replica.config()}, Start);
      First.handle(event::judged{"r", Step, candidate_verdict::Good}, Start);
      const auto Out = First.handle(event::tick{true}, Now);
      BOOST_REQUIRE(proposal(Out));
      const change_record Change = World.make(proposal(Out)->File);
      if (AppendArrives)
        BOOST_TEST(!World.append(Change));

      rollout_driver Second;
      Second.handle(event::config_changed{World.Replica.config()}, Start);
      Second.handle(event::judged{"r", Step, candidate_verdict::Good}, Start);
      const auto Again = Second.handle(event::tick{true}, Now);
      BOOST_TEST((proposal(Again) == nullptr) == AppendArrives);
      if (!AppendArrives) {
        BOOST_TEST(!World.append(proposal(Again)->File));
        // The first append arrives late: it rests on a base that is gone.
        BOOST_TEST((World.append(Change) == error_kind::ConfigConflict));
      }
      BOOST_TEST(World.rollout().Step == Step + 1);
    }
  }
}

// A data centre is cut off from the log while a version turns bad in it. It
// can't withdraw the version, but sends it no new sessions; and a good verdict
// does not take it a step further.
BOOST_AUTO_TEST_CASE(cut_off_exposure_never_rises) {
  world World(true);
  rollout_driver Driver;
  Driver.handle(event::config_changed{World.Replica.config()}, Start);
  Driver.handle(event::judged{"r", 0, candidate_verdict::Good}, Start);
  BOOST_TEST(Driver.handle(event::tick{false}, Later).empty());
  BOOST_TEST(brakes(
      Driver.handle(event::judged{"r", 0, candidate_verdict::Bad}, Later)));
  Driver.handle(event::judged{"r", 0, candidate_verdict::Good}, Later);
  BOOST_TEST(Driver.handle(event::tick{false}, Later).empty());
  BOOST_TEST(Driver.braked().contains("m@2"));
  // Back at the log, it withdraws.
  const auto Out = Driver.handle(event::tick{true}, Later);
  BOOST_REQUIRE(proposal(Out));
  BOOST_TEST(!World.append(proposal(Out)->File));
  BOOST_TEST((World.Replica.config()->Versions.at("m@2").State ==
              version_state::Withdrawn));
}

// An operator pauses the roll-out while the driver takes it on. Both rest on
// the same step; the log's order decides, the other is told.
BOOST_AUTO_TEST_CASE(operator_and_driver_race_and_one_is_accepted) {
  world World(true);
  rollout_driver Driver;
  Driver.handle(event::config_changed{World.Replica.config()}, Start);
  Driver.handle(event::judged{"r", 0, candidate_verdict::Good}, Start);
  const auto Out = Driver.handle(event::tick{true}, Later);
  BOOST_REQUIRE(proposal(Out));
  const change_record Advance = World.make(proposal(Out)->File);
  const auto Paused = applyOrder(World.rollout(), rollout_order::Pause);
  BOOST_TEST(!World.append(rolloutFile(Paused.value())));
  BOOST_TEST((World.append(Advance) == error_kind::ConfigConflict));
  BOOST_TEST(World.rollout().Step == 0U);
  // Paused, it is left alone, until an operator resumes it.
  Driver.handle(event::config_changed{World.Replica.config()}, Later);
  Driver.handle(event::judged{"r", 0, candidate_verdict::Good}, Later);
  BOOST_TEST(
      Driver.handle(event::tick{true}, Later + config::MinRolloutStepTime)
          .empty());
}

// An operator aborts. The target must not become an ordinary version that is
// open to all; it stays a roll-out's target, at no share.
BOOST_AUTO_TEST_CASE(an_aborted_rollout_stays_at_no_share) {
  world World(false);
  const auto Aborted = applyOrder(World.rollout(), rollout_order::Abort);
  BOOST_TEST(!World.append(rolloutFile(Aborted.value())));
  BOOST_TEST(exposureOf(World.rollout()) == 0);
  BOOST_TEST(!applyOrder(World.rollout(), rollout_order::Advance));
}

BOOST_AUTO_TEST_CASE(without_automatic_only_the_brake_acts) {
  world World(false);
  rollout_driver Driver;
  Driver.handle(event::config_changed{World.Replica.config()}, Start);
  BOOST_TEST(brakes(
      Driver.handle(event::judged{"r", 0, candidate_verdict::Bad}, Start)));
  BOOST_TEST(Driver.handle(event::tick{true}, Later).empty());
}
