#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <optional>
#include <string>

#include "cornelrelay/core/random.h"
#include "cornelrelay/placement/load_estimator.h"
#include "cornelrelay/placement/placement_planner.h"
#include "cornelrelay/policybench/matters.h"
#include "cornelrelay/policybench/sample.h"

namespace cornelrelay::policybench {

namespace {

constexpr std::size_t kExperts = 64;
constexpr std::size_t kRanks = 32;
constexpr std::size_t kSlots = 4;
constexpr std::size_t kWindows = 480;  // of 30 s
constexpr double kWindowSeconds = 30;
constexpr std::size_t kFullPlanEvery = 10;
constexpr double kExpertGigabytes = 0.35;
constexpr double kLoadSeconds = 2;  // a rank's time lost to the loading of one expert
constexpr double kCountNoise = 0.05;
constexpr double kTokensPerWindow = 1e6;
constexpr double kMissing = 0.1;

double Normal(core::Random& random) {
  return std::sqrt(-2 * std::log(1 - random.Unit())) *
         std::cos(2 * std::numbers::pi * random.Unit());
}

// True popularity and rank speeds in each window.
struct Day {
  std::string name;
  std::vector<std::vector<double>> loads;
  std::vector<std::vector<double>> speeds;
};

Day MakeDay(const std::string& name, std::uint64_t seed) {
  core::Random random(seed);
  Day day{name, {}, {}};
  std::vector<double> base(kExperts), other(kExperts), walk(kExperts, 0);
  for (double& value : base) value = name == "uniform load" ? 0 : 0.6 * Normal(random);
  for (double& value : other) value = 0.6 * Normal(random);
  for (std::size_t w = 0; w < kWindows; ++w) {
    double mix = 0;
    if (name == "popularity shift") {
      // Up within 10 windows (5 minutes), back in the afternoon.
      const auto t = static_cast<double>(w);
      mix = std::clamp((t - 100) / 10, 0.0, 1.0) - std::clamp((t - 300) / 40, 0.0, 1.0);
    }
    std::vector<double> loads(kExperts), speeds(kRanks, 1);
    double sum = 0;
    for (std::size_t e = 0; e < kExperts; ++e) {
      if (name == "steady drift") walk[e] += 0.02 * Normal(random) - 0.001 * walk[e];
      loads[e] = std::exp(std::lerp(base[e], other[e], mix) + walk[e]);
      if (name == "sudden hot expert" && e == 7 && w >= 150 && w < 220) loads[e] *= 8;
      sum += loads[e];
    }
    for (double& load : loads) load /= sum;
    if (name == "slow rank" && w >= 150 && w < 300) speeds[5] = 0.6;
    day.loads.push_back(std::move(loads));
    day.speeds.push_back(std::move(speeds));
  }
  return day;
}

struct Result {
  std::vector<double> skews;
  std::size_t moves = 0;
};

using Planner = std::function<placement::Placement(
    std::size_t window, const placement::Placement& current, const std::vector<double>& means,
    const std::vector<double>& deviations, const std::vector<double>& speeds)>;

Result RunDay(const Day& day, std::uint64_t seed, const Planner& plan) {
  core::Random random(seed + 17);
  placement::Placement current =
      placement::MakeFullPlacement(kRanks, kSlots, day.loads[0], day.speeds[0]);
  placement::LoadEstimator estimator(kExperts, {});
  Result result;
  for (std::size_t w = 1; w < kWindows; ++w) {
    // Counts and step times of the window before arrive now; the plan serves this window.
    std::vector<std::optional<double>> counts;
    for (const double load : day.loads[w - 1]) {
      const double tokens = load * kTokensPerWindow;
      const double noise = std::hypot(std::sqrt(tokens), kCountNoise * tokens);
      counts.emplace_back(std::max(0.0, tokens + noise * Normal(random)));
      if (random.Unit() < kMissing) counts.back().reset();
    }
    estimator.Observe(counts);
    placement::Placement next =
        plan(w, current, estimator.Means(), estimator.Deviations(), day.speeds[w - 1]);
    result.moves += placement::MovesBetween(current, next);
    current = std::move(next);
    result.skews.push_back(
        placement::Skew(placement::RankTimes(current, day.loads[w], day.speeds[w])));
  }
  return result;
}

placement::Placement Apply(placement::Placement current, const placement::PlacementPlan& plan) {
  for (const auto& move : plan.moves) current = current.With(move);
  return current;
}

Planner Incremental(const placement::PlacementPlannerConfig& config, bool use_noise) {
  return [planner = placement::PlacementPlanner(config), use_noise](
             std::size_t, const placement::Placement& current, const std::vector<double>& means,
             const std::vector<double>& deviations, const std::vector<double>& speeds) {
    const std::vector<double> none(means.size(), 0);
    return Apply(current, planner.MakePlan(current, means, use_noise ? deviations : none, speeds));
  };
}

// Knows the true load of the coming window and pays nothing for moves.
Planner Clairvoyant(const Day& day) {
  return [&day](std::size_t w, const placement::Placement& current, const std::vector<double>&,
                const std::vector<double>&, const std::vector<double>&) {
    const placement::PlacementPlanner planner({1, 0, 0, 1000});
    const auto& loads = day.loads[w];
    const auto& speeds = day.speeds[w];
    const std::vector<double> none(loads.size(), 0);
    const auto improved = Apply(current, planner.MakePlan(current, loads, none, speeds));
    auto fresh = placement::MakeFullPlacement(kRanks, kSlots, loads, speeds);
    fresh = Apply(fresh, planner.MakePlan(fresh, loads, none, speeds));
    const bool better = placement::Skew(placement::RankTimes(fresh, loads, speeds)) <
                        placement::Skew(placement::RankTimes(improved, loads, speeds));
    return better ? fresh : improved;
  };
}

}  // namespace

Table PlacementTable(std::uint64_t seed) {
  Table table("placement", {"day", "planner", "skew median", "skew p95", "over clairvoyant p95",
                            "moves", "over full plan", "GB moved", "capacity lost %"});
  for (const std::string name :
       {"steady drift", "popularity shift", "sudden hot expert", "slow rank", "uniform load"}) {
    const Day day = MakeDay(name, seed);
    const std::vector<std::pair<std::string, Planner>> planners{
        {"clairvoyant", Clairvoyant(day)},
        {"periodic full plan",
         [](std::size_t w, const placement::Placement& current, const std::vector<double>& means,
            const std::vector<double>&, const std::vector<double>& speeds) {
           return w % kFullPlanEvery == 0
                      ? placement::MakeFullPlacement(kRanks, kSlots, means, speeds)
                      : current;
         }},
        {"no moves",
         [](std::size_t, const placement::Placement& current, const std::vector<double>&,
            const std::vector<double>&, const std::vector<double>&) { return current; }},
        {"greedy", Incremental({1, 0, 0, 64}, false)},
        {"ours, skew weight 0.8", Incremental({0.8, 0.001, 0.005, 64}, true)},
        {"ours, skew weight 0.3", Incremental({0.3, 0.001, 0.005, 64}, true)}};
    double best = 1, full = 0;
    for (const auto& [planner, plan] : planners) {
      const Result result = RunDay(day, seed, plan);
      const double p95 = Quantile(result.skews, 0.95);
      const auto moves = static_cast<double>(result.moves);
      if (planner == "clairvoyant") best = p95;
      if (planner == "periodic full plan") full = moves;
      const double lost =
          100 * moves * kLoadSeconds / (static_cast<double>(kRanks * kWindows) * kWindowSeconds);
      table.Add({name, planner, Number(Quantile(result.skews, 0.5), 3), Number(p95, 3),
                 Number(p95 / best, 3), Number(moves, 0), full > 0 ? Number(moves / full, 2) : "-",
                 Number(moves * kExpertGigabytes), Number(lost, 3)});
    }
  }
  table.Note(
      "One layer: 32 ranks of 4 slots, 64 experts, 480 windows of 30 s, counts one window late, 5% "
      "noise, 10% "
      "missing. Goal: skew within 1.05 of the clairvoyant planner's at under 0.2 of the full "
      "plan's moves; no "
      "moves under uniform load.");
  return table;
}

}  // namespace cornelrelay::policybench
