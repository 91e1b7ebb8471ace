#include "cornelrelay/placement/layout_planner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <optional>

namespace cornelrelay::placement {
namespace {

/// Gains below this are rounding errors.
constexpr double kMinGain = 1e-9;

/// Exponent of PowerTerm, which squares four times.
constexpr double kNormExponent = 16;

// The search minimizes the 16-norm of the rank loads. This norm is close to the maximum load, but
// unlike the maximum it also decreases when one of several equally busy ranks improves.
double PowerTerm(double x) {
  const double x2 = x * x, x4 = x2 * x2, x8 = x4 * x4;
  return x8 * x8;
}
double NormFromSum(double sum) { return std::pow(sum, 1 / kNormExponent); }

double MaxLoad(const std::vector<double>& loads) {
  return loads.empty() ? 1 : *std::max_element(loads.begin(), loads.end());
}

/// One change of the layout: `rank` loads `loaded` and evicts `evicted`; one of the two may be
/// none. If `exchange_rank` is set, both are present and that rank does the reverse.
struct Change {
  std::size_t rank = 0;
  std::optional<Expert> loaded;
  std::optional<Expert> evicted;
  std::optional<std::size_t> exchange_rank;
};

class LayoutSearch {
 public:
  /// \param remaining_copies copies that each rank may still load, over all sets that share it
  LayoutSearch(const ExpertLayout& current, std::vector<double> loads, const LayoutLimits& limits,
               std::vector<int>& remaining_copies, std::vector<double> pace)
      : m_start(current),
        m_layout(current),
        m_expert_loads(std::move(loads)),
        m_limits(limits),
        m_pace(std::move(pace)),
        m_rank_loads(RankLoads(current, m_expert_loads, m_pace)),
        m_new_copies(current.ranks().size(), 0),
        m_remaining_copies(remaining_copies) {
    UpdatePowerSum();
    m_holders.resize(current.experts());
    for (std::size_t rank = 0; rank < current.ranks().size(); ++rank) {
      for (const Expert expert : current.ranks()[rank]) m_holders[expert].push_back(rank);
    }
  }

  void Improve() {
    while (FindBestChange()) ApplyBestChange();
  }

  /// \brief Finds the best change within the limits; returns false if none is worth its copies or
  /// the steps are used up.
  bool FindBestChange() {
    m_best.reset();
    if (m_steps == m_limits.max_steps) return false;
    const double norm = NormFromSum(m_power_sum);
    m_best_cost = norm - kMinGain;
    const auto busiest = static_cast<std::size_t>(
        std::max_element(m_rank_loads.begin(), m_rank_loads.end()) - m_rank_loads.begin());
    const std::vector<Expert> busiest_experts = m_layout.ranks()[busiest];
    FindLightestRanks();
    for (const Expert expert : busiest_experts) {
      if (m_layout.Copies(expert) > 1) Consider({busiest, std::nullopt, expert, std::nullopt});
      for (const std::size_t rank : m_lightest_ranks) {
        if (rank != busiest) ConsiderMovesTo(rank, busiest, expert);
      }
    }
    if (!m_best) return false;
    m_best_gain_per_copy = (norm - m_best_cost) / std::max(1, TotalDelta(*m_best));
    return true;
  }

  bool HasBestChange() const { return m_best.has_value(); }
  /// \brief Returns whether the best change still fits after changes of other sets.
  bool BestChangeFits() const { return WithinCopyLimits(*m_best); }
  double best_gain_per_copy() const { return m_best_gain_per_copy; }

  void ApplyBestChange() {
    ++m_steps;
    Apply(*m_best);
  }

  const ExpertLayout& layout() const { return m_layout; }
  double max_load() const { return MaxLoad(m_rank_loads); }
  std::size_t changes_considered() const { return m_changes_considered; }

 private:
  // The ranks with the least load that may still load an expert, and some that may not, as they can
  // give one up in an exchange.
  void FindLightestRanks() {
    m_lightest_ranks.resize(m_rank_loads.size());
    std::iota(m_lightest_ranks.begin(), m_lightest_ranks.end(), std::size_t{0});
    const std::size_t count = std::min(m_limits.max_targets, m_lightest_ranks.size());
    const auto lighter = [&](std::size_t a, std::size_t b) {
      const bool a_full = !MayLoad(a, 1);
      const bool b_full = !MayLoad(b, 1);
      if (a_full != b_full) return b_full;
      return LoadWithMeanExpert(a) < LoadWithMeanExpert(b);
    };
    std::partial_sort(m_lightest_ranks.begin(),
                      m_lightest_ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      m_lightest_ranks.end(), lighter);
    m_lightest_ranks.resize(count);
  }

  void ConsiderMovesTo(std::size_t rank, std::size_t busiest, Expert expert) {
    if (m_layout.Holds(rank, expert)) return;
    const auto& held = m_layout.ranks()[rank];
    // A rank that may load no more copies can only replace one that this plan has added.
    const bool replaces_only = !MayLoad(rank, 1) && !m_start.Holds(rank, expert);
    if (!replaces_only && held.size() < m_limits.slots_per_rank) {
      Consider({rank, expert, std::nullopt, std::nullopt});
    }
    for (const Expert other : held) {
      if (replaces_only && m_start.Holds(rank, other)) continue;
      if (m_layout.Copies(other) > 1) Consider({rank, expert, other, std::nullopt});
      if (!m_layout.Holds(busiest, other)) Consider({rank, expert, other, busiest});
    }
  }

  // A slow rank without experts has no load, and yet is no good target.
  double LoadWithMeanExpert(std::size_t rank) const {
    const double mean_expert =
        static_cast<double>(m_rank_loads.size()) / static_cast<double>(m_expert_loads.size());
    return m_rank_loads[rank] + mean_expert * m_pace[rank];
  }

  // Change in the number of experts on a rank that the initial layout does not have there.
  int NewCopiesDelta(std::size_t rank, std::optional<Expert> loaded,
                     std::optional<Expert> evicted) const {
    int delta = 0;
    if (loaded && !m_start.Holds(rank, *loaded)) ++delta;
    if (evicted && !m_start.Holds(rank, *evicted)) --delta;
    return delta;
  }

  int TotalDelta(const Change& change) const {
    return NewCopiesDelta(change.rank, change.loaded, change.evicted) +
           (change.exchange_rank
                ? NewCopiesDelta(*change.exchange_rank, change.evicted, change.loaded)
                : 0);
  }

  bool MayLoad(std::size_t rank, int copies) const {
    return copies <= 0 ||
           (m_new_copies[rank] + copies <= static_cast<int>(m_limits.max_new_per_rank) &&
            copies <= m_remaining_copies[rank]);
  }

  bool WithinCopyLimits(const Change& change) const {
    const auto fits = [&](std::size_t rank, std::optional<Expert> loaded,
                          std::optional<Expert> evicted) {
      return MayLoad(rank, NewCopiesDelta(rank, loaded, evicted));
    };
    if (!fits(change.rank, change.loaded, change.evicted)) return false;
    return !change.exchange_rank || fits(*change.exchange_rank, change.evicted, change.loaded);
  }

  void Consider(const Change& change) {
    ++m_changes_considered;
    if (!WithinCopyLimits(change)) return;
    const double copy_cost = m_limits.min_gain_per_copy * std::max(TotalDelta(change), 0);
    const double sum = PowerSumAfter(change);
    // Equivalent to NormFromSum(sum) + copy_cost >= m_best_cost, without the root for most changes.
    if (m_best_cost <= copy_cost || sum >= PowerTerm(m_best_cost - copy_cost)) return;
    m_best_cost = NormFromSum(sum) + copy_cost;
    m_best = change;
  }

  /// Returns the ranks whose load a change without an exchange alters, with the difference. The
  /// next call overwrites the list.
  const std::vector<std::pair<std::size_t, double>>& LoadDifferences(const Change& change) {
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
    if (change.loaded) {
      for (const std::size_t holder : m_holders[*change.loaded]) {
        add(holder, LoadPerCopy(*change.loaded, 1) - LoadPerCopy(*change.loaded, 0));
      }
      add(change.rank, LoadPerCopy(*change.loaded, 1));
    }
    if (change.evicted) {
      for (const std::size_t holder : m_holders[*change.evicted]) {
        add(holder, (holder == change.rank ? 0 : LoadPerCopy(*change.evicted, -1)) -
                        LoadPerCopy(*change.evicted, 0));
      }
    }
    return differences;
  }

  double PowerSumAfter(const Change& change) {
    double sum = m_power_sum;
    const auto add = [&](std::size_t rank, double difference) {
      sum += PowerTerm(m_rank_loads[rank] + difference * m_pace[rank]) - m_powers[rank];
    };
    if (change.exchange_rank) {
      // An exchange does not change the number of copies of an expert.
      const double difference = LoadPerCopy(*change.loaded, 0) - LoadPerCopy(*change.evicted, 0);
      add(change.rank, difference);
      add(*change.exchange_rank, -difference);
    } else {
      for (const auto& [rank, difference] : LoadDifferences(change)) add(rank, difference);
    }
    return std::max(sum, 0.0);
  }

  double LoadPerCopy(Expert expert, int extra_copies) const {
    const auto copies = static_cast<double>(m_holders[expert].size()) + extra_copies;
    return copies <= 0 ? 0 : m_expert_loads[expert] / copies;
  }

  void Apply(const Change& change) {
    const auto replace = [&](std::size_t rank, std::optional<Expert> loaded,
                             std::optional<Expert> evicted) {
      const int delta = NewCopiesDelta(rank, loaded, evicted);
      m_new_copies[rank] += delta;
      m_remaining_copies[rank] -= delta;
      if (evicted) {
        m_layout.Remove(rank, *evicted);
        std::erase(m_holders[*evicted], rank);
      }
      if (loaded) {
        m_layout.Add(rank, *loaded);
        m_holders[*loaded].push_back(rank);
      }
    };
    replace(change.rank, change.loaded, change.evicted);
    if (change.exchange_rank) replace(*change.exchange_rank, change.evicted, change.loaded);
    m_rank_loads = RankLoads(m_layout, m_expert_loads, m_pace);
    UpdatePowerSum();
  }

  void UpdatePowerSum() {
    m_powers.resize(m_rank_loads.size());
    std::transform(m_rank_loads.begin(), m_rank_loads.end(), m_powers.begin(), PowerTerm);
    m_power_sum = std::accumulate(m_powers.begin(), m_powers.end(), 0.0);
  }

  const ExpertLayout& m_start;
  ExpertLayout m_layout;
  std::vector<double> m_expert_loads;
  LayoutLimits m_limits;
  std::vector<double> m_pace;
  std::vector<double> m_rank_loads;  ///< with the pace of each rank
  /// Number of experts on each rank that the initial layout does not have there.
  std::vector<int> m_new_copies;
  std::vector<int>& m_remaining_copies;             ///< copies that each rank may still load
  std::vector<std::vector<std::size_t>> m_holders;  ///< ranks that hold each expert
  std::vector<double> m_powers;                     ///< PowerTerm of each rank's load
  double m_power_sum = 0;                           ///< sum of m_powers
  std::vector<std::pair<std::size_t, double>> m_differences;
  std::vector<std::size_t> m_lightest_ranks;  ///< targets of the current step
  std::size_t m_changes_considered = 0;
  std::optional<Change> m_best;
  double m_best_cost = 0;
  double m_best_gain_per_copy = 0;
  std::size_t m_steps = 0;
};

/// \brief Returns the loads relative to the mean load of a rank, or nothing without any load.
std::optional<std::vector<double>> RelativeLoads(std::vector<double> loads, std::size_t ranks) {
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  if (total <= 0 || ranks == 0) return std::nullopt;
  for (double& load : loads) load *= static_cast<double>(ranks) / total;
  return loads;
}

/// \brief Applies the changes of all searches within the remaining copies, the one with the
/// greatest gain per copy first.
void ImproveTogether(std::vector<LayoutSearch>& searches) {
  for (LayoutSearch& search : searches) search.FindBestChange();
  while (true) {
    LayoutSearch* best = nullptr;
    for (LayoutSearch& search : searches) {
      if (!search.HasBestChange()) continue;
      if (best == nullptr || search.best_gain_per_copy() > best->best_gain_per_copy()) {
        best = &search;
      }
    }
    if (best == nullptr) return;
    if (best->BestChangeFits()) best->ApplyBestChange();
    best->FindBestChange();
  }
}

double MeanMaxLoad(const std::vector<LayoutSearch>& searches) {
  double sum = 0;
  for (const LayoutSearch& search : searches) sum += search.max_load();
  return searches.empty() ? 1 : sum / static_cast<double>(searches.size());
}

}  // namespace

LayoutPlan PlanLayout(const ExpertLayout& current, const std::vector<double>& loads,
                      const LayoutLimits& limits,
                      const std::vector<std::size_t>& max_copies_by_rank,
                      const std::vector<double>& pace) {
  assert(loads.size() == current.experts());
  assert(pace.empty() || pace.size() == current.ranks().size());
  std::optional<std::vector<double>> shares = RelativeLoads(loads, current.ranks().size());
  if (!shares) return {current, 0, 1, 1, 0};
  std::vector<double> factors = pace;
  factors.resize(current.ranks().size(), 1);
  std::vector<int> remaining(current.ranks().size(), static_cast<int>(limits.max_new_per_rank));
  for (std::size_t rank = 0; rank < max_copies_by_rank.size(); ++rank) {
    remaining[rank] = static_cast<int>(max_copies_by_rank[rank]);
  }
  const double skew_before = MaxLoad(RankLoads(current, *shares, factors));
  LayoutSearch search(current, *std::move(shares), limits, remaining, std::move(factors));
  search.Improve();
  assert(search.layout().Complete() || !current.Complete());
  return {search.layout(), CountNewCopies(current, search.layout()), skew_before, search.max_load(),
          search.changes_considered()};
}

JointPlan PlanLayoutsTogether(const std::vector<ExpertLayout>& current,
                              const std::vector<std::vector<double>>& loads,
                              const LayoutLimits& limits, const SwitchCost& cost,
                              const std::vector<double>& pace) {
  assert(loads.size() == current.size());
  JointPlan plan{current, 0, 1, 1, 0, 0};
  const std::size_t ranks = current.empty() ? 0 : current.front().ranks().size();
  std::vector<double> factors = pace;
  factors.resize(ranks, 1);
  std::vector<int> remaining(ranks, 0);
  std::vector<LayoutSearch> searches;
  std::vector<std::size_t> sets;  // of each search; a set without load has none
  for (std::size_t set = 0; set < current.size(); ++set) {
    std::optional<std::vector<double>> shares = RelativeLoads(loads[set], ranks);
    if (!shares) continue;
    sets.push_back(set);
    searches.emplace_back(current[set], *std::move(shares), limits, remaining, factors);
  }
  plan.skew_before = MeanMaxLoad(searches);
  plan.skew_after = plan.skew_before;
  // Load until the next shift, as a multiple of the mean load of a second, without any switch.
  double least = plan.skew_before * cost.until_shift;
  std::size_t allowed = 0;
  while (allowed < cost.max_copies_per_rank) {
    const std::size_t added = std::min(cost.copies_per_round, cost.max_copies_per_rank - allowed);
    allowed += added;
    for (int& copies : remaining) copies += static_cast<int>(added);
    ImproveTogether(searches);
    const double after = MeanMaxLoad(searches);
    const double loading = static_cast<double>(allowed) * cost.time_per_copy;
    const double waiting = std::min(loading + cost.fixed_time, cost.until_shift);
    const double load = plan.skew_before * (waiting + cost.slowdown * loading) +
                        after * (cost.until_shift - waiting);
    if (load >= least) {
      // The first copies of a rank may pay only together with the next ones.
      if (plan.skew_after < plan.skew_before || allowed > 2 * cost.copies_per_round) break;
      continue;
    }
    least = load;
    plan.skew_after = after;
    for (std::size_t i = 0; i < searches.size(); ++i) plan.layouts[sets[i]] = searches[i].layout();
  }
  for (std::size_t set = 0; set < current.size(); ++set) {
    plan.new_copies += CountNewCopies(current[set], plan.layouts[set]);
  }
  for (const LayoutSearch& search : searches) {
    plan.changes_considered += search.changes_considered();
  }
  plan.saved_time = plan.skew_before * cost.until_shift - least;
  return plan;
}

}  // namespace cornelrelay::placement
