#include "cornelrelay/ranks/expert_count_tracker.h"

#include <algorithm>
#include <limits>

namespace cornelrelay::ranks {

std::vector<std::uint32_t> ExpertCountTracker::TakeIncrements(
    balance::Fence fence, std::uint64_t incarnation, const std::vector<std::uint64_t>& totals) {
  constexpr std::uint64_t kMaxIncrement = std::numeric_limits<std::uint32_t>::max();
  std::vector<std::uint32_t> increments;
  const bool has_baseline =
      fence == m_fence && incarnation == m_incarnation && totals.size() == m_totals.size();
  if (has_baseline) {
    increments.reserve(totals.size());
    for (std::size_t i = 0; i < totals.size(); ++i) {
      const std::uint64_t increment = totals[i] >= m_totals[i] ? totals[i] - m_totals[i] : 0;
      increments.push_back(static_cast<std::uint32_t>(std::min(increment, kMaxIncrement)));
    }
  }
  // Empty totals come from a failed call to the engine and don't replace the baseline.
  if (!totals.empty()) {
    m_fence = fence;
    m_incarnation = incarnation;
    m_totals = totals;
  }
  return increments;
}

}  // namespace cornelrelay::ranks
