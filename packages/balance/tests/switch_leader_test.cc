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

TEST_CASE("on a calm group switches follow each other and no pass waits") {
  SwitchSimulation simulation({.ranks = 4}, 1);
  simulation.Run(3000);
  CHECK(simulation.violations().empty());
  CHECK(simulation.switches() > 20);
  // Less than one pass in twenty is lost to more than twenty switches in 30 s.
  CHECK(simulation.passes() > 570);
}

TEST_CASE("no pass runs with two maps, whatever is lost, late or frozen") {
  CHECK(rc::check([](std::uint64_t seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    RC_ASSERT(simulation.violations().empty());
  }));
}

// Load pattern: the demand shifts while hosts freeze and groups form anew.
TEST_CASE("all states are read after a switch, and not after one that failed or was taken over") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    CHECK(simulation.state_reads() == simulation.switches());
  }
}

TEST_CASE("the troubled world still switches and never stands still for good") {
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

TEST_CASE("each deliberate fault breaks the rule") {
  const auto fault = GENERATE(SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                              SwitchFault::kReuseVersions, SwitchFault::kAcceptOldStates,
                              SwitchFault::kIgnoreFence);
  CAPTURE(static_cast<int>(fault));
  CHECK_FALSE(Detected(kFaultyGroup, fault).empty());
}

TEST_CASE("a gate lets nothing pass before it knows a fence, nor what is older") {
  FenceGuard gate;
  CHECK_FALSE(gate.Admit(7));
  gate.RaiseFence(5);
  CHECK(gate.Admit(7));
  CHECK_FALSE(gate.Admit(6));
}

}  // namespace cornelrelay::balance
