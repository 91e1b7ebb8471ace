#pragma once

#include <algorithm>
#include <optional>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

/// \brief Lets only the orders of the newest known leader pass to the engine beside it.
///
/// After a restart it knows no fence and lets nothing pass until one was read from the store, so
/// that an order of a former leader cannot slip through.
class FenceGuard {
 public:
  /// \brief The fence of the group's lease as the store has it.
  void RaiseFence(Fence fence) { m_fence = std::max(m_fence.value_or(0), fence); }

  bool Admit(Fence fence) {
    if (!m_fence || fence < *m_fence) return false;
    m_fence = fence;
    return true;
  }

  const std::optional<Fence>& fence() const { return m_fence; }

 private:
  std::optional<Fence> m_fence;
};

}  // namespace cornelrelay::balance
