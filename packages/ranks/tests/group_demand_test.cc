#include "cornelrelay/ranks/group_demand.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

const balance::LayerMap kInTurn = {{{0, 2}, {1, 3}}};

GroupDemandConfig Config() {
  GroupDemandConfig config;
  config.experts = 4;
  config.limits = {.places = 3, .spares = 1};
  return config;
}

}  // namespace

// Load pattern: one expert is in demand.
TEST_CASE("an expert in demand gets a second copy") {
  GroupDemand demand(Config());
  demand.Count({900, 100, 100, 100});
  demand.EndWindow();
  const auto proposal = demand.Propose(kInTurn);
  REQUIRE(proposal);
  CHECK(proposal->map[0][1] == std::vector<std::uint16_t>{0, 1, 3});
  CHECK(proposal->after < proposal->before);
}

TEST_CASE("counts of all ranks add up, others than of all experts do not count") {
  GroupDemand demand(Config());
  demand.Count({500, 0, 0, 0});
  demand.Count({0, 500, 500, 500});
  demand.Count({9'000});
  demand.EndWindow();
  CHECK_FALSE(demand.Propose(kInTurn));
}

// Load pattern: the demand moves to another expert in the middle of a window.
TEST_CASE("a shift seen in part does not start a switch") {
  const balance::LayerMap four_ranks = {{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
  GroupDemandConfig config = Config();
  config.experts = 8;
  GroupDemand demand(config);
  const auto window = [&](std::uint16_t of_expert_0, std::uint16_t of_others) {
    std::vector<std::uint16_t> picks(8, of_others);
    picks[0] = of_expert_0;
    demand.Count(picks);
    demand.EndWindow();
    return demand.Propose(four_ranks);
  };
  CHECK_FALSE(window(250, 250));
  CHECK_FALSE(window(550, 210));  // the shift came late in the window
  const auto proposal = window(2'000, 100);
  REQUIRE(proposal);
  CHECK(proposal->before > config.urgent);
}

// Load pattern: a lasting, moderate imbalance.
TEST_CASE("an imbalance that stays is mended after one window") {
  GroupDemand demand(Config());
  const auto window = [&demand] {
    demand.Count({500, 250, 250, 250});
    demand.EndWindow();
    return demand.Propose(kInTurn).has_value();
  };
  const bool first = window();
  CHECK((first || window()));
}

TEST_CASE("without counts there is nothing to propose") {
  CHECK_FALSE(GroupDemand(Config()).Propose(kInTurn));
  CHECK_FALSE(GroupDemand(Config()).Propose({}));
}

}  // namespace cornelrelay::ranks
