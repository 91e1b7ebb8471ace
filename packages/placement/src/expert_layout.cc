#include "cornelrelay/placement/expert_layout.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace cornelrelay::placement {

ExpertLayout::ExpertLayout(std::size_t experts, std::vector<std::vector<Expert>> ranks)
    : m_ranks(std::move(ranks)), m_copies(experts, 0) {
  for (auto& held : m_ranks) {
    std::sort(held.begin(), held.end());
    held.erase(std::unique(held.begin(), held.end()), held.end());
    for (const Expert expert : held) {
      assert(expert < experts);
      ++m_copies[expert];
    }
  }
}

bool ExpertLayout::Holds(std::size_t rank, Expert expert) const {
  return std::binary_search(m_ranks[rank].begin(), m_ranks[rank].end(), expert);
}

void ExpertLayout::Add(std::size_t rank, Expert expert) {
  auto& held = m_ranks[rank];
  const auto at = std::lower_bound(held.begin(), held.end(), expert);
  assert(at == held.end() || *at != expert);
  held.insert(at, expert);
  ++m_copies[expert];
}

void ExpertLayout::Remove(std::size_t rank, Expert expert) {
  auto& held = m_ranks[rank];
  const auto at = std::lower_bound(held.begin(), held.end(), expert);
  assert(at != held.end() && *at == expert);
  held.erase(at);
  --m_copies[expert];
}

bool ExpertLayout::Complete() const {
  return std::all_of(m_copies.begin(), m_copies.end(), [](std::size_t c) { return c > 0; });
}

std::vector<double> RankLoads(const ExpertLayout& layout, const std::vector<double>& loads,
                              const std::vector<double>& pace) {
  assert(pace.empty() || pace.size() == layout.ranks().size());
  std::vector<double> sums(layout.ranks().size(), 0);
  for (std::size_t rank = 0; rank < sums.size(); ++rank) {
    for (const Expert expert : layout.ranks()[rank]) {
      sums[rank] += loads[expert] / static_cast<double>(layout.Copies(expert));
    }
    if (!pace.empty()) sums[rank] *= pace[rank];
  }
  return sums;
}

double SlowestRankLoad(const ExpertLayout& layout, const std::vector<double>& loads,
                       const std::vector<double>& pace) {
  const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
  const std::vector<double> sums = RankLoads(layout, loads, pace);
  if (sums.empty() || total <= 0) return 1;
  return *std::max_element(sums.begin(), sums.end()) * static_cast<double>(sums.size()) / total;
}

std::vector<std::size_t> NewCopiesByRank(const ExpertLayout& from, const ExpertLayout& to) {
  std::vector<std::size_t> copies(to.ranks().size(), 0);
  for (std::size_t rank = 0; rank < copies.size(); ++rank) {
    for (const Expert expert : to.ranks()[rank]) copies[rank] += from.Holds(rank, expert) ? 0 : 1;
  }
  return copies;
}

std::size_t CountNewCopies(const ExpertLayout& from, const ExpertLayout& to) {
  const std::vector<std::size_t> copies = NewCopiesByRank(from, to);
  return std::accumulate(copies.begin(), copies.end(), std::size_t{0});
}

}  // namespace cornelrelay::placement
