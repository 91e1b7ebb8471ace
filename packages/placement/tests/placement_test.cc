#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cornelrelay/core/random.h"
#include "cornelrelay/placement/load_estimator.h"
#include "cornelrelay/placement/placement_planner.h"

namespace cornelrelay::placement {
namespace {

std::vector<double> RandomLoads(core::Random& random, std::size_t experts) {
  std::vector<double> loads;
  for (std::size_t i = 0; i < experts; ++i)
    loads.push_back(0.1 + random.Unit() * (random.Below(5) == 0 ? 6 : 1));
  return loads;
}

// Guards against plans that lose an expert, exceed a rank's memory, do not match their moves or
// raise the skew.
TEST_CASE("plans keep every expert, respect the slots and predict the skew they reach") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    const std::size_t ranks = 2 + random.Below(6), slots = 2 + random.Below(3);
    const std::size_t experts = slots + random.Below(ranks * slots - slots);
    const std::vector<double> speeds(ranks, 1);
    const Placement start = MakeFullPlacement(ranks, slots, RandomLoads(random, experts), speeds);
    RC_ASSERT(start.Complete());
    const auto loads = RandomLoads(random, experts);
    PlacementPlanner planner({});
    const PlacementPlan plan =
        planner.MakePlan(start, loads, std::vector<double>(experts, 0), speeds);
    Placement next = start;
    for (const auto& move : plan.moves) next = next.With(move);
    RC_ASSERT(next.Complete());
    for (std::size_t r = 0; r < ranks; ++r) RC_ASSERT(next.Experts(r).size() == slots);
    RC_ASSERT(Skew(RankTimes(next, loads, speeds)) == plan.skew_after);
    RC_ASSERT(plan.skew_after <= plan.skew_before + 1e-9);
    PlacementPlanner again({});
    RC_ASSERT(again.MakePlan(start, loads, std::vector<double>(experts, 0), speeds) == plan);
  }));
}

// Guards against moves, and so rebalancing cost, that only noise causes.
TEST_CASE("a uniform load causes no moves despite noise") {
  core::Random random(4);
  const std::size_t experts = 64, ranks = 32;
  const std::vector<double> speeds(ranks, 1);
  Placement placement = MakeFullPlacement(ranks, 4, std::vector<double>(experts, 1), speeds);
  LoadEstimator estimator(experts, {});
  PlacementPlanner planner({});
  std::size_t moves = 0;
  for (int window = 0; window < 500; ++window) {
    std::vector<std::optional<double>> counts;
    for (std::size_t e = 0; e < experts; ++e) {
      counts.emplace_back(100 + 20 * (random.Unit() + random.Unit() - 1));
      if (random.Below(5) == 0) counts.back().reset();
    }
    estimator.Observe(counts);
    moves +=
        planner.MakePlan(placement, estimator.Means(), estimator.Deviations(), speeds).moves.size();
  }
  CHECK(moves == 0);
}

// Guards against loading experts for a burst that is over before they are loaded, and against
// missing a lasting shift.
TEST_CASE("one outlier is a burst, several are a shift") {
  LoadEstimator estimator(2, {});
  const auto observe = [&](double a, double b) { estimator.Observe({a, b}); };
  for (int i = 0; i < 50; ++i) observe(100 + i % 3, 100 - i % 3);
  observe(400, 100);
  CHECK(estimator.Means()[0] == Approx(0.5).margin(0.02));
  for (int i = 0; i < 20; ++i) observe(100 + i % 3, 100 - i % 3);
  for (int i = 0; i < 4; ++i) observe(400, 100);
  CHECK(estimator.Means()[0] == Approx(0.8).margin(0.05));
}

// Guards against a slow rank that keeps an equal share of the work and delays every step.
TEST_CASE("a slow rank gets less work") {
  const std::size_t experts = 16, ranks = 8;
  std::vector<double> speeds(ranks, 1);
  const std::vector<double> loads(experts, 1);
  const Placement start = MakeFullPlacement(ranks, 4, loads, speeds);
  speeds[2] = 0.5;
  PlacementPlanner planner({.skew_weight = 0.9});
  const PlacementPlan plan =
      planner.MakePlan(start, loads, std::vector<double>(experts, 0), speeds);
  CHECK(plan.skew_before > 1.7);
  CHECK(plan.skew_after < 1.45);
}

}  // namespace
}  // namespace cornelrelay::placement
