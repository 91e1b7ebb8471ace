#pragma once

#include <algorithm>
#include <optional>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

/// \brief Admits orders to an engine only from the newest known leader.
///
/// After a restart no fence is known. Every order is then rejected until the fence has been read
/// from the store, so that no order of a former leader is executed.
class FenceGuard {
 public:
  /// \brief Raises the known fence to that of the group's lease in the store.
  void RaiseFence(Fence fence) { m_fence = std::max(m_fence.value_or(0), fence); }

  /// \brief Returns true if an order with the given fence may be executed: a fence is known, and
  /// the given one is not below it. The given fence then becomes the known one.
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
