#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::ranks {

/// \brief Turns the running totals of an engine into increments since the leader's last call.
///
/// Increments take a third of the bytes of the totals. The increments of a lost reply are lost,
/// which is acceptable because the counts are samples.
class ExpertCountTracker {
 public:
  /// \param fence of the calling leader; each leader starts from its own first call
  /// \param incarnation of the engine
  /// \param totals counts since the engine's start; empty if they could not be read
  /// \return increments; empty at the first call of a leader and at the first
  /// call after a restart of the engine
  std::vector<std::uint32_t> TakeIncrements(balance::Fence fence, std::uint64_t incarnation,
                                            const std::vector<std::uint64_t>& totals);

 private:
  balance::Fence m_fence = 0;
  std::uint64_t m_incarnation = 0;
  std::vector<std::uint64_t> m_totals;  ///< totals of the last call
};

}  // namespace cornelrelay::ranks
