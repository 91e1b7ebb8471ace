#include "cornelrelay/placement/layout_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <optional>

namespace cornelrelay::placement {
namespace {

/// Steps that gain less than this are rounding.
constexpr double kLeastGain = 1e-9;

/// Exponent of Power, whose four squarings it counts.
constexpr double kPower = 16;

// A high power follows the busiest rank, but still falls when one of several equally busy ranks
// improves.
double Power(double x) {
  const double x2 = x * x, x4 = x2 * x2, x8 = x4 * x4;
  return x8 * x8;
}
double Root(double sum) { return std::pow(sum, 1 / kPower); }

double Busiest(const std::vector<double>& times) {
  return times.empty() ? 1 : *std::max_element(times.begin(), times.end());
}

/// One change of the layout: on `rank`, `out` makes room for `in`; an exchange also changes
/// `other`.
struct Change {
  std::size_t rank = 0;
  std::optional<Expert> in;
  std::optional<Expert> out;
  std::optional<std::size_t> other;  ///< gets `out` and gives `in`
};

class Search {
 public:
  Search(const ExpertLayout& current, std::vector<double> loads, const LayoutLimits& limits,
         const std::vector<std::size_t>& rank_copies)
      : m_start(current),
        m_layout(current),
        m_loads(std::move(loads)),
        m_limits(limits),
        m_times(RankLoads(current, m_loads)),
        m_added(current.ranks().size(), 0) {
    for (std::size_t rank = 0; rank < m_times.size(); ++rank) {
      const std::size_t left = rank_copies.empty() ? limits.spares : rank_copies[rank];
      m_spares.push_back(static_cast<int>(std::min(limits.spares, left)));
    }
    SumPowers();
    m_holders.resize(current.experts());
    for (std::size_t rank = 0; rank < current.ranks().size(); ++rank) {
      for (const Expert expert : current.ranks()[rank]) m_holders[expert].push_back(rank);
    }
  }

  void Run() {
    for (std::size_t step = 0; step < m_limits.steps; ++step) {
      if (!TakeBestStep()) return;
    }
  }

  const ExpertLayout& layout() const { return m_layout; }
  double busiest() const { return Busiest(m_times); }

 private:
  bool TakeBestStep() {
    m_best.reset();
    m_best_value = Root(m_sum) - kLeastGain;
    const auto busiest = static_cast<std::size_t>(std::max_element(m_times.begin(), m_times.end()) -
                                                  m_times.begin());
    const std::vector<Expert> hot = m_layout.ranks()[busiest];
    for (const Expert expert : hot) {
      if (m_layout.Copies(expert) > 1) Offer({busiest, std::nullopt, expert, std::nullopt});
      for (std::size_t rank = 0; rank < m_times.size(); ++rank) {
        if (rank != busiest) TryMoveTo(rank, busiest, expert);
      }
    }
    if (!m_best) return false;
    Apply(*m_best);
    return true;
  }

  void TryMoveTo(std::size_t rank, std::size_t busiest, Expert hot) {
    if (m_layout.Holds(rank, hot)) return;
    const auto& held = m_layout.ranks()[rank];
    if (held.size() < m_limits.places) Offer({rank, hot, std::nullopt, std::nullopt});
    for (const Expert cold : held) {
      if (m_layout.Copies(cold) > 1) Offer({rank, hot, cold, std::nullopt});
      if (!m_layout.Holds(busiest, cold)) Offer({rank, hot, cold, busiest});
    }
  }

  // Experts that a change makes new to a rank, against the layout at the start.
  int AddedBy(std::size_t rank, std::optional<Expert> in, std::optional<Expert> out) const {
    int added = 0;
    if (in && !m_start.Holds(rank, *in)) ++added;
    if (out && !m_start.Holds(rank, *out)) --added;
    return added;
  }

  bool WithinSpares(const Change& change) const {
    const auto fits = [&](std::size_t rank, std::optional<Expert> in, std::optional<Expert> out) {
      const int added = m_added[rank] + AddedBy(rank, in, out);
      return added <= m_spares[rank];
    };
    if (!fits(change.rank, change.in, change.out)) return false;
    return !change.other || fits(*change.other, change.out, change.in);
  }

  void Offer(const Change& change) {
    if (!WithinSpares(change)) return;
    const int copies = AddedBy(change.rank, change.in, change.out) +
                       (change.other ? AddedBy(*change.other, change.out, change.in) : 0);
    const double price = m_limits.gain_per_copy * std::max(copies, 0);
    const double sum = SumAfter(change);
    // Root(sum) + price < m_best_value without the root, which few changes need.
    if (m_best_value <= price || sum >= Power(m_best_value - price)) return;
    m_best_value = Root(sum) + price;
    m_best = change;
  }

  /// Ranks whose time a change without an exchange touches, with the difference. The next call
  /// reuses the list.
  const std::vector<std::pair<std::size_t, double>>& Differences(const Change& change) {
    std::vector<std::pair<std::size_t, double>>& differences = m_differences;
    differences.clear();
    const auto add = [&](std::size_t rank, double difference) {
      for (auto& [known, sum] : differences) {
        if (known != rank) continue;
        sum += difference;
        return;
      }
      differences.emplace_back(rank, difference);
    };
    if (change.in) {
      for (const std::size_t holder : m_holders[*change.in]) {
        add(holder, Part(*change.in, 1) - Part(*change.in, 0));
      }
      add(change.rank, Part(*change.in, 1));
    }
    if (change.out) {
      for (const std::size_t holder : m_holders[*change.out]) {
        add(holder, (holder == change.rank ? 0 : Part(*change.out, -1)) - Part(*change.out, 0));
      }
    }
    return differences;
  }

  double SumAfter(const Change& change) {
    double sum = m_sum;
    const auto add = [&](std::size_t rank, double difference) {
      sum += Power(m_times[rank] + difference) - m_powers[rank];
    };
    if (change.other) {
      // An exchange leaves the numbers of copies as they are.
      const double difference = Part(*change.in, 0) - Part(*change.out, 0);
      add(change.rank, difference);
      add(*change.other, -difference);
    } else {
      for (const auto& [rank, difference] : Differences(change)) add(rank, difference);
    }
    return std::max(sum, 0.0);
  }

  double Part(Expert expert, int more) const {
    const auto copies = static_cast<double>(m_holders[expert].size()) + more;
    return copies <= 0 ? 0 : m_loads[expert] / copies;
  }

  void Apply(const Change& change) {
    const auto replace = [&](std::size_t rank, std::optional<Expert> in,
                             std::optional<Expert> out) {
      m_added[rank] += AddedBy(rank, in, out);
      if (out) {
        m_layout.Remove(rank, *out);
        std::erase(m_holders[*out], rank);
      }
      if (in) {
        m_layout.Add(rank, *in);
        m_holders[*in].push_back(rank);
      }
    };
    replace(change.rank, change.in, change.out);
    if (change.other) replace(*change.other, change.out, change.in);
    m_times = RankLoads(m_layout, m_loads);
    SumPowers();
  }

  void SumPowers() {
    m_powers.resize(m_times.size());
    std::transform(m_times.begin(), m_times.end(), m_powers.begin(), Power);
    m_sum = std::accumulate(m_powers.begin(), m_powers.end(), 0.0);
  }

  const ExpertLayout& m_start;
  ExpertLayout m_layout;
  std::vector<double> m_loads;
  LayoutLimits m_limits;
  std::vector<double> m_times;
  std::vector<int> m_added;
  std::vector<int> m_spares;  ///< copies that each rank may load
  std::vector<std::vector<std::size_t>> m_holders;
  std::vector<double> m_powers;  ///< Power of each time
  double m_sum = 0;              ///< of the powers
  std::vector<std::pair<std::size_t, double>> m_differences;
  std::optional<Change> m_best;
  double m_best_value = 0;
};

}  // namespace

LayoutPlan PlanLayout(const ExpertLayout& current, const std::vector<double>& loads,
                      const LayoutLimits& limits, const std::vector<std::size_t>& rank_copies) {
  assert(loads.size() == current.experts());
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (total <= 0 || current.ranks().empty()) return {current, 0, 1, 1};
  std::vector<double> shares(loads);
  for (double& share : shares) share *= static_cast<double>(current.ranks().size()) / total;
  const double before = Busiest(RankLoads(current, shares));
  Search search(current, std::move(shares), limits, rank_copies);
  search.Run();
  assert(search.layout().Complete() || !current.Complete());
  return {search.layout(), NewCopies(current, search.layout()), before, search.busiest()};
}

}  // namespace cornelrelay::placement
