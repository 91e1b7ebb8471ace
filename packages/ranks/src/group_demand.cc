#include "cornelrelay/ranks/group_demand.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/placement/placement.h"

namespace cornelrelay::ranks {

GroupDemand::GroupDemand(GroupDemandConfig config)
    : m_config(config),
      m_window(config.sets, std::vector<double>(config.experts, 0)),
      m_estimates(config.sets, placement::DemandEstimate(config.experts, {})) {}

void GroupDemand::Count(const std::vector<std::uint16_t>& picks) {
  if (picks.size() != counts()) return;
  for (std::size_t i = 0; i < picks.size(); ++i) {
    m_window[i / m_config.experts][i % m_config.experts] += picks[i];
  }
}

void GroupDemand::EndWindow() {
  for (std::size_t set = 0; set < m_config.sets; ++set) {
    m_estimates[set].Add(m_window[set]);
    std::fill(m_window[set].begin(), m_window[set].end(), 0);
  }
}

double GroupDemand::BusiestRank(const std::vector<placement::ExpertLayout>& layouts) const {
  double sum = 0;
  for (std::size_t set = 0; set < layouts.size(); ++set) {
    sum += placement::Skew(placement::RankLoads(layouts[set], m_estimates[set].loads()));
  }
  return layouts.empty() ? 1 : sum / static_cast<double>(layouts.size());
}

std::optional<MapProposal> GroupDemand::Propose(const balance::LayerMap& current) {
  if (current.size() != m_config.sets) return std::nullopt;
  MapProposal proposal;
  std::vector<placement::ExpertLayout> layouts;
  for (const auto& ranks : current) layouts.emplace_back(m_config.experts, ranks);
  proposal.before = BusiestRank(layouts);
  proposal.after = 0;
  const std::optional<double> last = std::exchange(m_last_before, proposal.before);
  const bool growing = last && proposal.before - *last > m_config.growing;
  if (growing && proposal.before < m_config.urgent) return std::nullopt;
  // No map brings the busiest rank below the mean.
  if (proposal.before - 1 < m_config.least_gain) return std::nullopt;
  const std::size_t ranks = current.empty() ? 0 : current.front().size();
  std::vector<std::size_t> left(ranks, m_config.copies_per_rank);
  for (std::size_t set = 0; set < m_config.sets; ++set) {
    const placement::ExpertLayout& layout = layouts[set];
    auto plan = placement::PlanLayout(layout, m_estimates[set].loads(), m_config.limits, left);
    const auto copies = placement::CopiesByRank(layout, plan.layout);
    for (std::size_t rank = 0; rank < ranks; ++rank) left[rank] -= copies[rank];
    proposal.copies += plan.copies;
    proposal.after += plan.after / static_cast<double>(m_config.sets);
    proposal.map.push_back(plan.layout.ranks());
  }
  if (proposal.before - proposal.after < m_config.least_gain) return std::nullopt;
  return proposal;
}

}  // namespace cornelrelay::ranks
