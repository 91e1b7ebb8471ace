#include "cornelrelay/placement/placement.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace cornelrelay::placement {

Placement::Placement(std::size_t experts, std::vector<std::set<std::size_t>> ranks)
    : m_ranks(std::move(ranks)), m_copies(experts, 0) {
  for (const auto& rank : m_ranks) {
    for (const std::size_t expert : rank) ++m_copies.at(expert);
  }
}

Placement Placement::With(const Move& move) const {
  Placement next = *this;
  const bool erased = next.m_ranks.at(move.rank).erase(move.evicted) == 1;
  const bool added = next.m_ranks[move.rank].insert(move.loaded).second;
  assert(erased && added);
  static_cast<void>(erased && added);
  --next.m_copies.at(move.evicted);
  ++next.m_copies.at(move.loaded);
  return next;
}

bool Placement::Complete() const {
  return std::none_of(m_copies.begin(), m_copies.end(),
                      [](std::size_t copies) { return copies == 0; });
}

std::vector<double> RankTimes(const Placement& placement, const std::vector<double>& loads,
                              const std::vector<double>& speeds) {
  std::vector<double> times(placement.ranks(), 0);
  for (std::size_t rank = 0; rank < times.size(); ++rank) {
    for (const std::size_t expert : placement.Experts(rank)) {
      times[rank] += loads[expert] / static_cast<double>(placement.Copies(expert));
    }
    times[rank] /= speeds[rank];
  }
  return times;
}

double Skew(const std::vector<double>& times) {
  const double sum = std::accumulate(times.begin(), times.end(), 0.0);
  if (sum <= 0) return 1;
  return *std::max_element(times.begin(), times.end()) * static_cast<double>(times.size()) / sum;
}

std::size_t MovesBetween(const Placement& from, const Placement& to) {
  std::size_t moves = 0;
  for (std::size_t rank = 0; rank < to.ranks(); ++rank) {
    for (const std::size_t expert : to.Experts(rank)) {
      moves += from.Experts(rank).contains(expert) ? 0 : 1;
    }
  }
  return moves;
}

}  // namespace cornelrelay::placement
