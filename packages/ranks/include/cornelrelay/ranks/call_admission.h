#pragma once

#include <optional>
#include <utility>

#include "cornelrelay/balance/fence_guard.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::ranks {

enum class CallVerdict {
  kAdmitted,
  kOtherGroup,    ///< the caller leads another group of the service
  kFenced,        ///< a newer leader of the group is known
  kFenceUnknown,  ///< the agent cannot tell yet whether there is a newer leader
};

/// \brief Decides which leader's calls an agent accepts.
///
/// Leaders find the agents of their group by calling those of all engines of the service. Fences
/// order the leaders of one group only, so a call of another group's leader must not raise the
/// fence: it would reject the group's own leader from then on.
class CallAdmission {
 public:
  /// \brief Sets the group that the agent's engine belongs to. No call is admitted before.
  void JoinGroup(core::GroupId group) { m_group = std::move(group); }
  /// \brief Raises the known fence to that of the group's lease in the store.
  void RaiseFence(balance::Fence fence) { m_fences.RaiseFence(fence); }

  CallVerdict Admit(const core::GroupId& group, balance::Fence fence) {
    if (!m_group) return CallVerdict::kFenceUnknown;
    if (*m_group != group) return CallVerdict::kOtherGroup;
    if (m_fences.Admit(fence)) return CallVerdict::kAdmitted;
    return m_fences.fence() ? CallVerdict::kFenced : CallVerdict::kFenceUnknown;
  }

  const std::optional<balance::Fence>& fence() const { return m_fences.fence(); }

 private:
  std::optional<core::GroupId> m_group;
  balance::FenceGuard m_fences;
};

}  // namespace cornelrelay::ranks
