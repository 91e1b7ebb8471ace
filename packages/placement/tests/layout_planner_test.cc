#include "cornelrelay/placement/layout_planner.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>

#include "cornelrelay/core/random.h"

namespace cornelrelay::placement {
namespace {

/// \brief Assigns the experts to the ranks round-robin, as in a group that starts.
ExpertLayout RoundRobinLayout(std::size_t experts, std::size_t ranks) {
  std::vector<std::vector<Expert>> held(ranks);
  for (std::size_t e = 0; e < experts; ++e) held[e % ranks].push_back(static_cast<Expert>(e));
  return {experts, held};
}

std::vector<double> SkewedLoads(std::size_t experts, std::uint64_t seed) {
  core::Random random(seed);
  std::vector<double> loads(experts);
  for (std::size_t i = 0; i < experts; ++i) loads[i] = std::pow(static_cast<double>(i + 1), -1.1);
  for (std::size_t i = experts; i > 1; --i) std::swap(loads[i - 1], loads[random.Below(i)]);
  return loads;
}

}  // namespace

// Guards against a persistent imbalance after other experts have come into demand during a rush.
TEST_CASE("two plans after a shift of the demand bring the busiest rank near the mean") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto loads = SkewedLoads(64, seed);
    const LayoutLimits limits{.slots_per_rank = 5, .max_new_per_rank = 2};
    const LayoutPlan first = PlanLayout(RoundRobinLayout(64, 16), loads, limits);
    const LayoutPlan second = PlanLayout(first.layout, loads, limits);
    CAPTURE(seed, first.skew_before, first.skew_after, second.skew_after);
    CHECK(first.skew_after < 0.75 * first.skew_before);
    CHECK(second.skew_after < 1.35);
  }
}

TEST_CASE(
    "a plan respects the limits of slots and new copies, loses no expert and never raises the "
    "skew") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    const std::size_t ranks = 2 + random.Below(10);
    const std::size_t slots = 2 + random.Below(4);
    const std::size_t experts = ranks + random.Below(ranks * (slots - 1));
    const LayoutLimits limits{.slots_per_rank = slots, .max_new_per_rank = 1 + random.Below(3)};
    ExpertLayout layout = RoundRobinLayout(experts, ranks);
    for (int round = 0; round < 3; ++round) {
      const auto plan = PlanLayout(layout, SkewedLoads(experts, random()), limits);
      RC_ASSERT(plan.layout.Complete());
      RC_ASSERT(plan.skew_after <= plan.skew_before + 1e-9);
      std::size_t copies = 0;
      for (std::size_t rank = 0; rank < ranks; ++rank) {
        std::size_t added = 0;
        for (const Expert expert : plan.layout.ranks()[rank]) {
          added += layout.Holds(rank, expert) ? 0 : 1;
        }
        RC_ASSERT(plan.layout.ranks()[rank].size() <= slots);
        RC_ASSERT(added <= limits.max_new_per_rank);
        copies += added;
      }
      RC_ASSERT(copies == plan.new_copies);
      layout = plan.layout;
    }
  }));
}

// Load pattern: some ranks of a group turn slow, and all ranks wait for them in each pass.
TEST_CASE("plans take the experts away from slow ranks, so that the group does not wait for them") {
  constexpr std::size_t kExperts = 252, kRanks = 63;
  for (const double slow : {4.0, 12.0}) {
    const auto loads = SkewedLoads(kExperts, 3);
    const LayoutLimits limits{.slots_per_rank = 5, .max_new_per_rank = 3};
    std::vector<double> pace(kRanks, 1);
    for (std::size_t rank = 0; rank < kRanks; rank += 7) pace[rank] = slow;
    ExpertLayout layout = RoundRobinLayout(kExperts, kRanks);
    const double before = PlanLayout(layout, loads, limits, {}, pace).skew_before;
    double after = before;
    for (int round = 0; round < 4; ++round) {
      const LayoutPlan plan = PlanLayout(layout, loads, limits, {}, pace);
      CHECK(plan.layout.Complete());
      layout = plan.layout;
      after = plan.skew_after;
    }
    CAPTURE(slow, before, after);
    CHECK(before > slow);
    // A pass of the group may take twice as long as one of sound ranks, not as long as a slow rank.
    CHECK(after < 2);
  }
}

// Load pattern: a shift of the demand in a group of 192 ranks, planned on a small share of a core.
TEST_CASE("the work of a plan does not grow with the square of the number of ranks") {
  const auto work = [](std::size_t experts, std::size_t ranks) {
    const LayoutLimits limits{.slots_per_rank = 3, .max_new_per_rank = 2};
    return PlanLayout(RoundRobinLayout(experts, ranks), SkewedLoads(experts, 5), limits)
        .changes_considered;
  };
  const LayoutLimits limits{};
  // A step takes each expert of the busiest rank to each target, alone or in place of another one.
  constexpr std::size_t kSlots = 3;
  const std::size_t max_per_step = kSlots * (1 + limits.max_targets * (1 + 2 * kSlots));
  for (const std::size_t ranks : {16, 48, 192, 384}) {
    CHECK(work(2 * ranks, ranks) <= limits.max_steps * max_per_step);
  }
}

namespace {

constexpr std::size_t kSets = 16, kSetExperts = 96, kGroupRanks = 24;
constexpr LayoutLimits kGroupLimits{
    .slots_per_rank = 5, .max_new_per_rank = 2, .min_gain_per_copy = 0.00216};
constexpr SwitchCost kGroupCost{.max_copies_per_rank = 11, .time_per_copy = 0.027};

/// \brief Demand in all sets of which two thirds went to other experts.
std::vector<std::vector<double>> ShiftedLoads() {
  std::vector<std::vector<double>> loads;
  for (std::size_t set = 0; set < kSets; ++set) {
    loads.push_back(SkewedLoads(kSetExperts, set + 1));
    const auto after = SkewedLoads(kSetExperts, set + 100);
    for (std::size_t e = 0; e < kSetExperts; ++e) loads[set][e] += 2 * after[e];
  }
  return loads;
}

}  // namespace

// Load pattern: two thirds of the demand shift in all sets at once. Planned set after set, the
// first sets use up the copies that the ranks may load.
TEST_CASE("after a shift in all sets no set is left out, and no rank loads more than it may") {
  const std::vector<ExpertLayout> current(kSets, RoundRobinLayout(kSetExperts, kGroupRanks));
  const auto loads = ShiftedLoads();
  const JointPlan plan = PlanLayoutsTogether(current, loads, kGroupLimits, kGroupCost);
  std::vector<std::size_t> copies(kGroupRanks, 0);
  for (std::size_t set = 0; set < kSets; ++set) {
    CAPTURE(set);
    CHECK(plan.layouts[set].Complete());
    CHECK(SlowestRankLoad(plan.layouts[set], loads[set], {}) <
          0.75 * SlowestRankLoad(current[set], loads[set], {}));
    const auto added = NewCopiesByRank(current[set], plan.layouts[set]);
    for (std::size_t rank = 0; rank < kGroupRanks; ++rank) {
      CHECK(added[rank] <= kGroupLimits.max_new_per_rank);
      CHECK(plan.layouts[set].ranks()[rank].size() <= kGroupLimits.slots_per_rank);
      copies[rank] += added[rank];
    }
  }
  for (const std::size_t of_rank : copies) CHECK(of_rank <= kGroupCost.max_copies_per_rank);
  CHECK(plan.saved_time > 0);
}

// Load pattern: two thirds of the demand shift in all sets at once.
TEST_CASE("copies that do not pay for their load until the next shift are not made") {
  const std::vector<ExpertLayout> current(kSets, RoundRobinLayout(kSetExperts, kGroupRanks));
  const auto copies = [&](double until_shift) {
    SwitchCost cost = kGroupCost;
    cost.until_shift = until_shift;
    return PlanLayoutsTogether(current, ShiftedLoads(), kGroupLimits, cost).new_copies;
  };
  CHECK(copies(0.15) == 0);
  CHECK(copies(0.5) < copies(5));
}

// Load pattern: one rank turns slow, and all ranks wait for it in each pass.
TEST_CASE("a joint plan takes experts away from a slow rank in all sets") {
  const std::vector<ExpertLayout> current(kSets, RoundRobinLayout(kSetExperts, kGroupRanks));
  const std::vector<std::vector<double>> even(kSets, std::vector<double>(kSetExperts, 1));
  std::vector<double> pace(kGroupRanks, 1);
  pace[5] = 3;
  const JointPlan plan = PlanLayoutsTogether(current, even, kGroupLimits, kGroupCost, pace);
  CHECK(plan.skew_before == Approx(3));
  CHECK(plan.skew_after < 2);
}

TEST_CASE("an even demand causes no copies") {
  const auto plan = PlanLayout(RoundRobinLayout(64, 16), std::vector<double>(64, 1.0),
                               {.slots_per_rank = 5, .max_new_per_rank = 2});
  CHECK(plan.new_copies == 0);
}

TEST_CASE("the layout does not change without any load") {
  const auto plan =
      PlanLayout(RoundRobinLayout(8, 4), std::vector<double>(8, 0.0), {.slots_per_rank = 3});
  CHECK(plan.new_copies == 0);
}

}  // namespace cornelrelay::placement
