#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>

#include "coordinator_simulation.h"
#include "cornelrelay/balance/corrupt_plan.h"
#include "cornelrelay/balance/invalid_expert_map.h"

namespace cornelrelay::balance::testing {
namespace {

constexpr int kSteps = 3000;

// Guards against two maps in one step, a step without its weights, an old order that reaches an
// engine, weights left by an aborted plan, and a group that stays held after its coordinator,
// agents or ranks died.
TEST_CASE("all ranks use one map in each step under faults") {
  std::uint64_t cases = 0;
  std::uint64_t committed = 0;
  CHECK(rc::check([&](std::uint64_t seed, bool engines_check_fences) {
    CoordinatorSimulation simulation(seed, {}, engines_check_fences);
    for (int i = 0; i < kSteps; ++i) simulation.RandomStep();
    ++cases;
    committed += simulation.committed_plans();
    simulation.EndFaults();
    simulation.RunWithoutFaults();
    const StepIndex last_step = simulation.last_common_step();
    simulation.RequestSwitch();
    simulation.RunWithoutFaults();
    if (!simulation.violations().empty()) RC_FAIL(simulation.violations().front());
    RC_ASSERT(simulation.last_common_step() > last_step + 6);
    RC_ASSERT(simulation.coordinator().record().state == PlanState::kCommitted);
    RC_ASSERT(simulation.RanksWithWrongWeights() == 0);
    RC_ASSERT(simulation.coordinator().unserved().empty());
    simulation.KillRank(0);
    const ExpertMap map = simulation.coordinator().record().CurrentMap();
    RC_ASSERT(simulation.coordinator().unserved() == map.UnservedExperts(simulation.LiveRanks()));
  }));
  // A simulation that commits hardly any plan would pass without checking anything.
  CHECK(committed > 2 * cases);
}

bool Detected(const BalanceFaults& faults) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    CoordinatorSimulation simulation(seed, faults, false);
    for (int i = 0; i < kSteps; ++i) simulation.RandomStep();
    if (!simulation.violations().empty()) return true;
  }
  return false;
}

// Guards against checks that cannot fail: each deliberate fault must produce a violation.
TEST_CASE("deliberate faults of the map switch are detected") {
  BalanceFaults faults;
  SECTION("old fence accepted") { faults.accept_old_fence = true; }
  SECTION("confirmation skipped") { faults.skip_confirmation = true; }
  SECTION("gate does not hold") { faults.gate_does_not_hold = true; }
  CHECK(Detected(faults));
}

// Guards against maps that leave an expert without a rank, and against damaged plans being used.
TEST_CASE("invalid maps and plans are rejected") {
  CHECK_THROWS_AS(ExpertMap(1, 2, {{0, {}}}), InvalidExpertMap);
  CHECK_THROWS_AS(ExpertMap(1, 2, {{0, {2}}}), InvalidExpertMap);
  for (const char* text : {"", "{}", "[1]", "{\"number\":1,\"fence\":1,\"state\":9}"}) {
    CHECK_THROWS_AS(DecodePlan(text), CorruptPlan);
  }
  const PlanRecord plan = PlanRecord{}.Propose(3, ExpertMap(1, 2, {{0, {0, 1}}}), 8);
  CHECK(DecodePlan(EncodePlan(plan)) == plan);
}

}  // namespace
}  // namespace cornelrelay::balance::testing
