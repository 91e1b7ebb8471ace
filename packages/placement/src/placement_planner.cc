#include "cornelrelay/placement/placement_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <optional>

namespace cornelrelay::placement {

namespace {

// The slowest of 32 equal ranks is two deviations above the mean on average. Two let a uniform load
// cause 4 moves in 480 windows (policy-bench, seed 3).
constexpr double kNoiseDeviations = 3;

struct Step {
  std::vector<Placement::Move> moves;
  double cost = 0;
};

// A high power mean follows the slowest rank, but still falls when one of several equally slow
// ranks improves.
double Cost(const std::vector<double>& times) {
  constexpr double kPower = 24;
  const double mean =
      std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
  if (mean <= 0) return 1;
  double sum = 0;
  for (const double time : times) {
    const double x = time / mean, x2 = x * x, x4 = x2 * x2, x8 = x4 * x4;
    sum += x8 * x8 * x8;
  }
  return std::pow(sum / static_cast<double>(times.size()), 1 / kPower);
}

// Predicts the times after a step from those before it; only ranks that hold a changed expert
// differ.
class StepSearch {
 public:
  StepSearch(const Placement& current, const std::vector<double>& loads,
             const std::vector<double>& speeds, double price)
      : m_current(current),
        m_loads(loads),
        m_speeds(speeds),
        m_price(price),
        m_times(RankTimes(current, loads, speeds)),
        m_holders(current.experts()) {
    for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
      for (const std::size_t expert : current.Experts(rank)) m_holders[expert].push_back(rank);
    }
  }

  // All single replacements and exchanges that take work from the slowest rank.
  std::optional<Step> Best() {
    const auto slowest = static_cast<std::size_t>(std::max_element(m_times.begin(), m_times.end()) -
                                                  m_times.begin());
    for (const std::size_t hot : m_current.Experts(slowest)) {
      for (std::size_t rank = 0; rank < m_current.ranks(); ++rank) {
        if (rank == slowest) continue;
        for (const std::size_t cold : m_current.Experts(rank)) TryPair(slowest, hot, rank, cold);
      }
    }
    return m_best;
  }

 private:
  void TryPair(std::size_t slowest, std::size_t hot, std::size_t rank, std::size_t cold) {
    const bool has_hot = m_current.Experts(rank).contains(hot);
    const bool has_cold = m_current.Experts(slowest).contains(cold);
    if (!has_hot && m_current.Copies(cold) > 1) TryReplace({rank, cold, hot});
    if (!has_cold && m_current.Copies(hot) > 1) TryReplace({slowest, hot, cold});
    if (!has_hot && !has_cold) {
      std::vector<double> times = m_times;
      const double change = Part(cold, m_current.Copies(cold)) - Part(hot, m_current.Copies(hot));
      times[slowest] += change / m_speeds[slowest];
      times[rank] -= change / m_speeds[rank];
      Offer({{slowest, hot, cold}, {rank, cold, hot}}, times);
    }
  }

  void TryReplace(const Placement::Move& move) {
    std::vector<double> times = m_times;
    const std::size_t before = m_current.Copies(move.evicted);
    for (const std::size_t rank : m_holders[move.evicted]) {
      const double left = rank == move.rank ? 0 : Part(move.evicted, before - 1);
      times[rank] += (left - Part(move.evicted, before)) / m_speeds[rank];
    }
    const std::size_t copies = m_current.Copies(move.loaded);
    for (const std::size_t rank : m_holders[move.loaded]) {
      times[rank] += (Part(move.loaded, copies + 1) - Part(move.loaded, copies)) / m_speeds[rank];
    }
    times[move.rank] += Part(move.loaded, copies + 1) / m_speeds[move.rank];
    Offer({move}, times);
  }

  double Part(std::size_t expert, std::size_t copies) const {
    return m_loads[expert] / static_cast<double>(copies);
  }

  void Offer(std::vector<Placement::Move> moves, const std::vector<double>& times) {
    const double cost = Cost(times) + m_price * static_cast<double>(moves.size());
    if (!m_best || cost < m_best->cost) m_best = Step{std::move(moves), cost};
  }

  const Placement& m_current;
  const std::vector<double>& m_loads;
  const std::vector<double>& m_speeds;
  double m_price;
  std::vector<double> m_times;
  std::vector<std::vector<std::size_t>> m_holders;
  std::optional<Step> m_best;
};

}  // namespace

Plan PlacementPlanner::MakePlan(const Placement& current, const std::vector<double>& loads,
                                const std::vector<double>& deviations,
                                const std::vector<double>& speeds) const {
  Plan plan;
  plan.skew_before = plan.skew_after = Skew(RankTimes(current, loads, speeds));
  if (m_config.skew_weight <= 0) return plan;

  // The slowest of many ranks looks slower than it is by this many deviations of a rank's time.
  const double mean =
      std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(current.ranks());
  double variance = 0;
  for (std::size_t e = 0; e < loads.size(); ++e) {
    const double part = deviations[e] / static_cast<double>(current.Copies(e));
    variance += part * part * static_cast<double>(current.Copies(e));
  }
  const double noise =
      mean > 0
          ? kNoiseDeviations * std::sqrt(variance / static_cast<double>(current.ranks())) / mean
          : 0;
  const double least_gain = m_config.start_margin + noise;
  if (plan.skew_before < 1 + least_gain) {
    return plan;
  }

  const double price = m_config.skew_per_move * (1 - m_config.skew_weight) / m_config.skew_weight;
  Placement next = current;
  double cost = Cost(RankTimes(next, loads, speeds));
  while (plan.moves.size() < m_config.most_moves) {
    const auto step = StepSearch(next, loads, speeds, price).Best();
    if (!step || step->cost >= cost - 1e-6) break;
    for (const Placement::Move& move : step->moves) next = next.With(move);
    cost = Cost(RankTimes(next, loads, speeds));
    plan.moves.insert(plan.moves.end(), step->moves.begin(), step->moves.end());
  }
  assert(next.Complete());
  const double after = Skew(RankTimes(next, loads, speeds));
  if (plan.skew_before - after < least_gain) {
    plan.moves.clear();
    return plan;
  }
  plan.skew_after = after;
  return plan;
}

}  // namespace cornelrelay::placement
