#include "cornelrelay/ranks/expert_map_planner.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/placement/placement.h"

namespace cornelrelay::ranks {

namespace {

/// A rank that works no longer than this counts as sound: its pace varies by some percent.
constexpr double kMaxSoundPace = 1.15;
/// Shifts in windows closer than this are one shift that several windows show.
constexpr std::chrono::milliseconds kLeastShiftInterval{500};
/// Longer intervals count as this long. Copies of a steady demand pay for themselves anyway.
constexpr core::Duration kMaxShiftInterval = std::chrono::seconds(20);
constexpr double kShiftIntervalGain = 0.3;  ///< weight of the newest interval in the mean
/// Time after a plan that was not worth a switch, in which the next one is made only if the skew
/// has grown. Plans in each window doubled the work for 24 ranks and gave no better maps.
constexpr std::chrono::milliseconds kReplanInterval{300};
/// A shift that is late is expected within the mean interval over this.
constexpr int kLeastRemainingPart = 3;
/// LayoutLimits::min_gain_per_copy for experts that take kReferenceLoadTime to load. It is less for
/// smaller experts, whose copies cost less.
constexpr double kReferenceMinGain = 0.008;
constexpr std::chrono::milliseconds kReferenceLoadTime{100};
constexpr double kLeastMinGain = 0.0005;

double MinGainPerCopy(core::Duration load_time) {
  const double part = std::chrono::duration<double>(load_time) / kReferenceLoadTime;
  return std::clamp(kReferenceMinGain * part, kLeastMinGain, kReferenceMinGain);
}

}  // namespace

ExpertMapPlannerConfig MakeExpertMapPlannerConfig(const routes::EngineModel& engine) {
  ExpertMapPlannerConfig config;
  config.layer_sets = engine.expert_layer_sets;
  config.experts_per_set = engine.experts;
  config.limits.slots_per_rank = engine.max_experts_per_rank;
  config.limits.max_new_per_rank = engine.max_new_experts_per_rank;
  config.limits.min_gain_per_copy = MinGainPerCopy(engine.expert_load_time);
  config.expert_load_time = engine.expert_load_time;
  return config;
}

ExpertMapPlanner::ExpertMapPlanner(ExpertMapPlannerConfig config)
    : m_config(config),
      m_max_copies_per_rank(std::max<std::size_t>(
          1, static_cast<std::size_t>(config.max_load_time /
                                      std::max(config.expert_load_time, core::Duration(1))))),
      m_window(config.layer_sets, std::vector<double>(config.experts_per_set, 0)),
      m_estimators(config.layer_sets, placement::DemandEstimator(config.experts_per_set, {})),
      m_shift_interval(config.initial_shift_interval) {}

void ExpertMapPlanner::SetPace(balance::RankIndex rank, double pace) {
  if (m_pace.size() <= rank) m_pace.resize(rank + 1, 1);
  m_pace[rank] = pace > kMaxSoundPace ? pace : 1;
}

std::vector<double> ExpertMapPlanner::PaceOf(std::size_t ranks) const {
  std::vector<double> pace = m_pace;
  pace.resize(ranks, 1);
  return pace;
}

void ExpertMapPlanner::AddCounts(const std::vector<std::uint32_t>& counts) {
  if (counts.size() != counts_per_rank()) return;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    m_window[i / m_config.experts_per_set][i % m_config.experts_per_set] += counts[i];
  }
}

void ExpertMapPlanner::EndWindow(core::Duration length) {
  std::size_t shifted = 0;
  for (std::size_t set = 0; set < m_config.layer_sets; ++set) {
    m_estimators[set].AddCounts(m_window[set]);
    if (m_estimators[set].shifted()) ++shifted;
    std::fill(m_window[set].begin(), m_window[set].end(), 0);
  }
  m_since_shift += length;
  m_since_rejection += length;
  if (2 * shifted <= m_config.layer_sets || m_since_shift < kLeastShiftInterval) return;
  const core::Duration interval = std::min(m_since_shift, kMaxShiftInterval);
  m_shift_interval += std::chrono::duration_cast<core::Duration>(kShiftIntervalGain *
                                                                 (interval - m_shift_interval));
  m_since_shift = core::Duration(0);
}

core::Duration ExpertMapPlanner::UntilShift() const {
  return std::max(m_shift_interval - m_since_shift, m_shift_interval / kLeastRemainingPart);
}

double ExpertMapPlanner::MeanSkew(const std::vector<placement::ExpertLayout>& layouts) const {
  double sum = 0;
  for (std::size_t set = 0; set < layouts.size(); ++set) {
    const std::vector<double>& loads = m_estimators[set].loads();
    sum += placement::SlowestRankLoad(layouts[set], loads, PaceOf(layouts[set].ranks().size()));
  }
  return layouts.empty() ? 1 : sum / static_cast<double>(layouts.size());
}

std::optional<MapProposal> ExpertMapPlanner::ProposeMap(const balance::LayerMap& current) {
  if (current.size() != m_config.layer_sets) return std::nullopt;
  MapProposal proposal;
  std::vector<placement::ExpertLayout> layouts;
  for (const auto& ranks : current) layouts.emplace_back(m_config.experts_per_set, ranks);
  proposal.skew_before = MeanSkew(layouts);
  proposal.skew_after = 0;
  const std::optional<double> last_skew = std::exchange(m_last_skew, proposal.skew_before);
  const bool growing = last_skew && proposal.skew_before - *last_skew > m_config.growth_threshold;
  if (growing && proposal.skew_before < m_config.urgent_skew) return std::nullopt;
  // No map has a skew below 1, so the gain is at most skew_before - 1.
  if (proposal.skew_before - 1 < m_config.min_gain) return std::nullopt;
  // Few windows change a plan that was not worth a switch.
  const bool planned_before = m_rejected_skew && m_since_rejection < kReplanInterval &&
                              proposal.skew_before < *m_rejected_skew + m_config.min_gain / 2;
  if (planned_before) return std::nullopt;
  const std::size_t ranks = current.empty() ? 0 : current.front().size();
  const std::vector<double> pace = PaceOf(ranks);
  std::vector<std::vector<double>> loads;
  for (const auto& estimator : m_estimators) loads.push_back(estimator.loads());
  placement::SwitchCost cost;
  cost.max_copies_per_rank = m_max_copies_per_rank;
  cost.time_per_copy = std::chrono::duration<double>(m_config.expert_load_time).count();
  cost.until_shift = std::chrono::duration<double>(UntilShift()).count();
  auto plan = placement::PlanLayoutsTogether(layouts, loads, m_config.limits, cost, pace);
  m_changes_considered += plan.changes_considered;
  proposal.new_copies = plan.new_copies;
  proposal.skew_after = plan.skew_after;
  for (const placement::ExpertLayout& layout : plan.layouts) proposal.map.push_back(layout.ranks());
  m_rejected_skew.reset();
  if (proposal.skew_before - proposal.skew_after < m_config.min_gain) {
    m_rejected_skew = proposal.skew_before;
    m_since_rejection = core::Duration(0);
    return std::nullopt;
  }
  return proposal;
}

}  // namespace cornelrelay::ranks
