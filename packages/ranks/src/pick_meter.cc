#include "cornelrelay/ranks/pick_meter.h"

#include <algorithm>
#include <limits>

namespace cornelrelay::ranks {

std::vector<std::uint16_t> PickMeter::Since(balance::Fence fence, std::uint64_t incarnation,
                                            const std::vector<std::uint64_t>& totals) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint16_t>::max();
  std::vector<std::uint16_t> counts;
  const bool known =
      fence == m_fence && incarnation == m_incarnation && totals.size() == m_totals.size();
  if (known) {
    counts.reserve(totals.size());
    for (std::size_t i = 0; i < totals.size(); ++i) {
      const std::uint64_t count = totals[i] >= m_totals[i] ? totals[i] - m_totals[i] : 0;
      counts.push_back(static_cast<std::uint16_t>(std::min(count, kMost)));
    }
  }
  // An answer without counts is a failed call of the engine.
  if (!totals.empty()) {
    m_fence = fence;
    m_incarnation = incarnation;
    m_totals = totals;
  }
  return counts;
}

}  // namespace cornelrelay::ranks
