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
  demand.Count(0, 1, {0, 0, 0, 0});
  demand.Count(0, 1, {900, 100, 100, 100});
  demand.EndWindow();
  const auto proposal = demand.Propose(kInTurn);
  REQUIRE(proposal);
  CHECK(proposal->map[0][1] == std::vector<std::uint16_t>{0, 1, 3});
  CHECK(proposal->after < proposal->before);
}

TEST_CASE("counts wrap around and start anew with the engine") {
  GroupDemand demand(Config());
  demand.Count(0, 1, {65'500, 0, 0, 0});
  demand.Count(0, 1, {464, 500, 500, 500});  // 500 of each
  demand.Count(0, 2, {9'000, 0, 0, 0});      // a baseline, not a demand
  demand.EndWindow();
  CHECK_FALSE(demand.Propose(kInTurn));
}

// Load pattern: the demand moves to another expert in the middle of a window.
TEST_CASE("a shift seen in part does not start a switch") {
  const balance::LayerMap four_ranks = {{{0, 4}, {1, 5}, {2, 6}, {3, 7}}};
  GroupDemandConfig config = Config();
  config.experts = 8;
  GroupDemand demand(config);
  std::vector<std::uint16_t> picks(8, 0);
  const auto window = [&](std::uint16_t of_expert_0, std::uint16_t of_others) {
    for (std::size_t i = 0; i < picks.size(); ++i) {
      picks[i] = static_cast<std::uint16_t>(picks[i] + (i == 0 ? of_expert_0 : of_others));
    }
    demand.Count(0, 1, picks);
    demand.EndWindow();
    return demand.Propose(four_ranks);
  };
  demand.Count(0, 1, picks);
  CHECK_FALSE(window(250, 250));
  CHECK_FALSE(window(550, 210));  // the shift came late in the window
  const auto proposal = window(2'000, 100);
  REQUIRE(proposal);
  CHECK(proposal->before > config.urgent);
}

// Load pattern: a lasting, moderate imbalance.
TEST_CASE("an imbalance that stays is mended after one window") {
  GroupDemand demand(Config());
  std::uint16_t turns = 0;
  const auto window = [&demand, &turns] {
    ++turns;
    const auto picks = [&turns](int each) { return static_cast<std::uint16_t>(turns * each); };
    demand.Count(0, 1, {picks(500), picks(250), picks(250), picks(250)});
    demand.EndWindow();
    return demand.Propose(kInTurn).has_value();
  };
  demand.Count(0, 1, {0, 0, 0, 0});
  const bool first = window();
  CHECK((first || window()));
}

TEST_CASE("without counts there is nothing to propose") {
  CHECK_FALSE(GroupDemand(Config()).Propose(kInTurn));
  CHECK_FALSE(GroupDemand(Config()).Propose({}));
}

}  // namespace cornelrelay::ranks
