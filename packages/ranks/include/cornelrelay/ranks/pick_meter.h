#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::ranks {

/// \brief What an engine counted since the leader last asked.
///
/// Differences take a third of the bytes of the counts themselves. A reply that is lost loses its
/// counts; they are samples.
class PickMeter {
 public:
  /// \param fence of the leader that asks; each one has its own beginning
  /// \param totals counts since the engine's start
  /// \return empty at the first call of a leader, and of an incarnation of the engine
  std::vector<std::uint16_t> Since(balance::Fence fence, std::uint64_t incarnation,
                                   const std::vector<std::uint64_t>& totals);

 private:
  balance::Fence m_fence = 0;
  std::uint64_t m_incarnation = 0;
  std::vector<std::uint64_t> m_totals;  ///< at the last call
};

}  // namespace cornelrelay::ranks
