#include "cornelrelay/ranks/expert_map_planner.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

const balance::LayerMap kRoundRobinMap = {{{0, 2}, {1, 3}}};

ExpertMapPlannerConfig Config() {
  ExpertMapPlannerConfig config;
  config.experts_per_set = 4;
  config.limits = {.slots_per_rank = 3, .max_new_per_rank = 1};
  return config;
}

}  // namespace

// Guards against a popular expert that stays on one rank and makes it the busiest.
TEST_CASE("an expert in demand gets a second copy") {
  ExpertMapPlanner planner(Config());
  planner.AddCounts({900, 100, 100, 100});
  planner.EndWindow();
  const auto proposal = planner.ProposeMap(kRoundRobinMap);
  REQUIRE(proposal);
  CHECK(proposal->map[0][1] == std::vector<std::uint16_t>{0, 1, 3});
  CHECK(proposal->skew_after < proposal->skew_before);
}

TEST_CASE("counts of all ranks are added up, counts of the wrong size are ignored") {
  ExpertMapPlanner planner(Config());
  planner.AddCounts({500, 0, 0, 0});
  planner.AddCounts({0, 500, 500, 500});
  planner.AddCounts({9'000});
  planner.EndWindow();
  CHECK_FALSE(planner.ProposeMap(kRoundRobinMap));
}

// Guards against a change of the expert map that is planned from part of a shift: the demand moves
// to expert 0 late in a window, and the change would delay the one that fits the new demand.
TEST_CASE("no map is proposed while the skew is still growing and not urgent") {
  const balance::LayerMap four_ranks = {{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
  ExpertMapPlannerConfig config = Config();
  config.experts_per_set = 8;
  ExpertMapPlanner planner(config);
  const auto window = [&](std::uint16_t of_expert_0, std::uint16_t of_others) {
    std::vector<std::uint16_t> counts(8, of_others);
    counts[0] = of_expert_0;
    planner.AddCounts(counts);
    planner.EndWindow();
    return planner.ProposeMap(four_ranks);
  };
  CHECK_FALSE(window(250, 250));
  CHECK_FALSE(window(550, 210));  // the shift came late in the window
  const auto proposal = window(2'000, 100);
  REQUIRE(proposal);
  CHECK(proposal->skew_before > config.urgent_skew);
}

// Guards against a moderate imbalance that lasts and never reaches the threshold for urgent
// switches.
TEST_CASE("a lasting imbalance is corrected within two windows") {
  ExpertMapPlanner planner(Config());
  const auto window = [&planner] {
    planner.AddCounts({500, 250, 250, 250});
    planner.EndWindow();
    return planner.ProposeMap(kRoundRobinMap).has_value();
  };
  const bool first = window();
  CHECK((first || window()));
}

TEST_CASE("no map is proposed without counts") {
  CHECK_FALSE(ExpertMapPlanner(Config()).ProposeMap(kRoundRobinMap));
  CHECK_FALSE(ExpertMapPlanner(Config()).ProposeMap({}));
}

}  // namespace cornelrelay::ranks
