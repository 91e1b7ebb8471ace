#include "cornelrelay/placement/placement_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <optional>

namespace cornelrelay::placement {

namespace {

// The slowest of 32 equal ranks is two deviations above the mean on average. With a limit of two, a
// uniform load caused 4 moves in 480 windows (policy-bench, seed 3).
constexpr double kNoiseDeviations = 3;

struct Step {
  std::vector<Placement::Move> moves;
  double cost = 0;  ///< PowerMean() of the times after the step, plus the cost of its moves
};

// Returns the power mean of the times over their arithmetic mean. With a high exponent it follows
// the slowest rank, but unlike the maximum it still falls when one of several equally slow ranks
// improves.
double PowerMean(const std::vector<double>& times) {
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

// Searches the best step. The times after a step are derived from those before it, because only the
// ranks that hold a changed expert differ.
class StepSearch {
 public:
  StepSearch(const Placement& current, const std::vector<double>& loads,
             const std::vector<double>& speeds, double move_cost)
      : m_current(current),
        m_loads(loads),
        m_speeds(speeds),
        m_move_cost(move_cost),
        m_times(RankTimes(current, loads, speeds)),
        m_holders(current.experts()) {
    for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
      for (const std::size_t expert : current.Experts(rank)) m_holders[expert].push_back(rank);
    }
  }

  // Returns the best of all single replacements and exchanges that take work from the slowest rank.
  std::optional<Step> FindBest() {
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
  // Tries both replacements and the exchange of `hot` on the slowest rank and `cold` on `rank`.
  void TryPair(std::size_t slowest, std::size_t hot, std::size_t rank, std::size_t cold) {
    const bool has_hot = m_current.Experts(rank).contains(hot);
    const bool has_cold = m_current.Experts(slowest).contains(cold);
    if (!has_hot && m_current.Copies(cold) > 1) TryReplace({rank, cold, hot});
    if (!has_cold && m_current.Copies(hot) > 1) TryReplace({slowest, hot, cold});
    if (!has_hot && !has_cold) {
      std::vector<double> times = m_times;
      const double change =
          LoadPerCopy(cold, m_current.Copies(cold)) - LoadPerCopy(hot, m_current.Copies(hot));
      times[slowest] += change / m_speeds[slowest];
      times[rank] -= change / m_speeds[rank];
      Consider({{slowest, hot, cold}, {rank, cold, hot}}, times);
    }
  }

  void TryReplace(const Placement::Move& move) {
    std::vector<double> times = m_times;
    const std::size_t before = m_current.Copies(move.evicted);
    for (const std::size_t rank : m_holders[move.evicted]) {
      const double remaining = rank == move.rank ? 0 : LoadPerCopy(move.evicted, before - 1);
      times[rank] += (remaining - LoadPerCopy(move.evicted, before)) / m_speeds[rank];
    }
    const std::size_t copies = m_current.Copies(move.loaded);
    for (const std::size_t rank : m_holders[move.loaded]) {
      times[rank] += (LoadPerCopy(move.loaded, copies + 1) - LoadPerCopy(move.loaded, copies)) /
                     m_speeds[rank];
    }
    times[move.rank] += LoadPerCopy(move.loaded, copies + 1) / m_speeds[move.rank];
    Consider({move}, times);
  }

  double LoadPerCopy(std::size_t expert, std::size_t copies) const {
    return m_loads[expert] / static_cast<double>(copies);
  }

  void Consider(std::vector<Placement::Move> moves, const std::vector<double>& times) {
    const double cost = PowerMean(times) + m_move_cost * static_cast<double>(moves.size());
    if (!m_best || cost < m_best->cost) m_best = Step{std::move(moves), cost};
  }

  const Placement& m_current;
  const std::vector<double>& m_loads;
  const std::vector<double>& m_speeds;
  double m_move_cost;
  std::vector<double> m_times;
  std::vector<std::vector<std::size_t>> m_holders;
  std::optional<Step> m_best;
};

}  // namespace

PlacementPlan PlacementPlanner::MakePlan(const Placement& current, const std::vector<double>& loads,
                                         const std::vector<double>& deviations,
                                         const std::vector<double>& speeds) const {
  PlacementPlan plan;
  plan.skew_before = plan.skew_after = Skew(RankTimes(current, loads, speeds));
  if (m_config.skew_weight <= 0) return plan;

  // Noise makes the slowest of many ranks appear slower than it is, by kNoiseDeviations standard
  // deviations of a rank's time.
  const double mean =
      std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(current.ranks());
  double variance = 0;
  for (std::size_t e = 0; e < loads.size(); ++e) {
    const double load_deviation = deviations[e] / static_cast<double>(current.Copies(e));
    variance += load_deviation * load_deviation * static_cast<double>(current.Copies(e));
  }
  const double noise =
      mean > 0
          ? kNoiseDeviations * std::sqrt(variance / static_cast<double>(current.ranks())) / mean
          : 0;
  const double required_gain = m_config.min_gain + noise;
  if (plan.skew_before < 1 + required_gain) {
    return plan;
  }

  const double move_cost =
      m_config.min_gain_per_move * (1 - m_config.skew_weight) / m_config.skew_weight;
  Placement next = current;
  double cost = PowerMean(RankTimes(next, loads, speeds));
  while (plan.moves.size() < m_config.max_moves) {
    const auto step = StepSearch(next, loads, speeds, move_cost).FindBest();
    if (!step || step->cost >= cost - 1e-6) break;
    for (const Placement::Move& move : step->moves) next = next.With(move);
    cost = PowerMean(RankTimes(next, loads, speeds));
    plan.moves.insert(plan.moves.end(), step->moves.begin(), step->moves.end());
  }
  assert(next.Complete());
  const double after = Skew(RankTimes(next, loads, speeds));
  if (plan.skew_before - after < required_gain) {
    plan.moves.clear();
    return plan;
  }
  plan.skew_after = after;
  return plan;
}

}  // namespace cornelrelay::placement
