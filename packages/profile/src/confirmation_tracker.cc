#include "cornelrelay/profile/confirmation_tracker.h"

#include <algorithm>

namespace cornelrelay::profile {

void ConfirmationTracker::SetLive(const std::set<core::HostId>& members) {
  std::erase_if(m_members, [&](const auto& entry) { return !members.contains(entry.first); });
  for (const core::HostId& member : members) m_members.try_emplace(member);
}

void ConfirmationTracker::Record(const core::HostId& member, CatalogueRevision revision) {
  const auto found = m_members.find(member);
  if (found != m_members.end()) found->second = revision;
}

std::vector<core::HostId> ConfirmationTracker::Unconfirmed(CatalogueRevision revision) const {
  std::vector<core::HostId> missing;
  for (const auto& [member, applied] : m_members) {
    if (!applied || *applied < revision) missing.push_back(member);
  }
  return missing;
}

std::optional<CatalogueRevision> ConfirmationTracker::Lowest() const {
  std::optional<CatalogueRevision> lowest;
  for (const auto& [member, applied] : m_members) {
    if (!applied) return std::nullopt;
    lowest = lowest ? std::min(*lowest, *applied) : *applied;
  }
  return lowest;
}

}  // namespace cornelrelay::profile
