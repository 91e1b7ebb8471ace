#include "cornelrelay/balance/switch_leader.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "switch_simulation.h"

namespace cornelrelay::balance {
namespace {

std::set<std::string> Detected(SwitchSimulationSettings settings, SwitchFault fault) {
  settings.fault = fault;
  std::set<std::string> detected;
  for (std::uint64_t seed = 1; seed <= 2000 && detected.empty(); ++seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    detected.insert(simulation.violations().begin(), simulation.violations().end());
  }
  return detected;
}

const SwitchSimulationSettings kFaultyGroup{.ranks = 3,
                                            .lost_order_rate = 0.05,
                                            .late_order_rate = 0.25,
                                            .lost_answer_rate = 0.05,
                                            .freeze_rate = 0.004,
                                            .lapse_rate = 0.002,
                                            .regroup_rate = 0.0005};

}  // namespace

// Guards against switches that hold passes although nothing is lost, late or frozen.
TEST_CASE("without faults, switches follow each other and hardly delay any pass") {
  SwitchSimulation simulation({.ranks = 4}, 1);
  simulation.Run(3000);
  CHECK(simulation.violations().empty());
  CHECK(simulation.switches() > 20);
  // More than twenty switches in 30 s may cost less than one pass in twenty.
  CHECK(simulation.passes() > 570);
}

// Guards against ranks that use different maps in one pass, for example after a late order.
TEST_CASE("no pass runs with two maps under lost or late orders and frozen leaders") {
  CHECK(rc::check([](std::uint64_t seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    RC_ASSERT(simulation.violations().empty());
  }));
}

// Load pattern: a large group, where one call carries an order to many ranks and brings all
// results.
TEST_CASE("no pass runs with two maps if the results of many orders arrive together") {
  SwitchSimulationSettings settings = kFaultyGroup;
  settings.batched_results = true;
  CHECK(rc::check([&](std::uint64_t seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    RC_ASSERT(simulation.violations().empty());
  }));
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    switches += simulation.switches();
    CHECK(simulation.passes() > 300);
    // A leader freezes for 4.5 s at most, and its lease runs out before that.
    CHECK(simulation.longest_hold() < 5'000 / 50);
  }
  CHECK(switches > 20);
  for (const SwitchFault fault : {SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                                  SwitchFault::kReuseVersions, SwitchFault::kIgnoreFence}) {
    CAPTURE(static_cast<int>(fault));
    CHECK_FALSE(Detected(settings, fault).empty());
  }
}

// Guards against a next map that is planned against old states, and against needless reads of all
// states. Load pattern: the demand shifts while hosts freeze and groups form again.
TEST_CASE("all states are read after a switch, and not after one that failed or was taken over") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    CHECK(simulation.state_reads() == simulation.switches());
  }
}

// Guards against a pass that stays held after its leader froze or lost its lease.
TEST_CASE("a group with faults still switches, and no pass is held forever") {
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    switches += simulation.switches();
    CHECK(simulation.passes() > 300);
    // A leader freezes for 4.5 s at most, and its lease runs out before that.
    CHECK(simulation.longest_hold() < 5'000 / 50);
  }
  CHECK(switches > 20);
}

// Guards against checks that cannot fail: each deliberate fault must produce a violation.
TEST_CASE("each deliberate fault is detected") {
  const auto fault = GENERATE(SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                              SwitchFault::kReuseVersions, SwitchFault::kAcceptOldStates,
                              SwitchFault::kIgnoreFence);
  CAPTURE(static_cast<int>(fault));
  CHECK_FALSE(Detected(kFaultyGroup, fault).empty());
}

// Guards against orders of a former leader that arrive after a newer one or after a restart.
TEST_CASE("a fence guard rejects all orders before a fence is known, and older ones after it") {
  FenceGuard guard;
  CHECK_FALSE(guard.Admit(7));
  guard.RaiseFence(5);
  CHECK(guard.Admit(7));
  CHECK_FALSE(guard.Admit(6));
}

}  // namespace cornelrelay::balance
