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

TEST_CASE("without counts there is nothing to propose") {
  CHECK_FALSE(GroupDemand(Config()).Propose(kInTurn));
  CHECK_FALSE(GroupDemand(Config()).Propose({}));
}

}  // namespace cornelrelay::ranks
