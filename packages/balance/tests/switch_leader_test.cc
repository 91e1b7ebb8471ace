#include "cornelrelay/balance/switch_leader.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "armed_world.h"

namespace cornelrelay::balance {
namespace {

std::set<std::string> Detected(ArmedWorldSettings settings, SwitchFault fault) {
  settings.fault = fault;
  std::set<std::string> detected;
  for (std::uint64_t seed = 1; seed <= 2000 && detected.empty(); ++seed) {
    ArmedWorld world(settings, seed);
    world.Run(3000);
    detected.insert(world.violations().begin(), world.violations().end());
  }
  return detected;
}

const ArmedWorldSettings kTroubled{.ranks = 3,
                                   .lost = 0.05,
                                   .late = 0.25,
                                   .answer_lost = 0.05,
                                   .freeze = 0.004,
                                   .lapse = 0.002,
                                   .regroup = 0.0005};

}  // namespace

TEST_CASE("on a calm group switches follow each other and no pass waits") {
  ArmedWorld world({.ranks = 4}, 1);
  world.Run(3000);
  CHECK(world.violations().empty());
  CHECK(world.switches() > 20);
  // Less than one pass in twenty is lost to more than twenty switches in 30 s.
  CHECK(world.passes() > 570);
}

TEST_CASE("no pass runs with two maps, whatever is lost, late or frozen") {
  CHECK(rc::check([](std::uint64_t seed) {
    ArmedWorld world(kTroubled, seed);
    world.Run(3000);
    RC_ASSERT(world.violations().empty());
  }));
}

// Load pattern: the demand shifts while hosts freeze and groups form anew.
TEST_CASE("all states are read after a switch, and not after one that failed or was taken over") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ArmedWorld world(kTroubled, seed);
    world.Run(3000);
    CHECK(world.state_reads() == world.switches());
  }
}

TEST_CASE("the troubled world still switches and never stands still for good") {
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ArmedWorld world(kTroubled, seed);
    world.Run(3000);
    switches += world.switches();
    CHECK(world.passes() > 300);
    // A leader freezes for 4.5 s at most, and its lease runs out before that.
    CHECK(world.longest_hold() < 5'000 / 50);
  }
  CHECK(switches > 20);
}

TEST_CASE("each deliberate fault breaks the rule") {
  const auto fault = GENERATE(SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                              SwitchFault::kReuseVersions, SwitchFault::kBelieveOldStates,
                              SwitchFault::kIgnoreFence);
  CAPTURE(static_cast<int>(fault));
  CHECK_FALSE(Detected(kTroubled, fault).empty());
}

TEST_CASE("a gate lets nothing pass before it knows a fence, nor what is older") {
  FenceGuard gate;
  CHECK_FALSE(gate.Admit(7));
  gate.RaiseFence(5);
  CHECK(gate.Admit(7));
  CHECK_FALSE(gate.Admit(6));
}

}  // namespace cornelrelay::balance
