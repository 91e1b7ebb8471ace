#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/profile/change.h"

namespace cornelrelay::profile {

/// \brief Applied revision of each live member, to tell who has not confirmed a change.
///
/// \code
/// tracker.Record(host, revision);
/// const auto missing = tracker.Unconfirmed(accepted);  // empty: in force everywhere
/// \endcode
class ConfirmationTracker {
 public:
  /// \brief Members that count; revisions of others are forgotten.
  void SetLive(const std::set<core::HostId>& members);

  /// \brief A member's latest record. It replaces the former one also when it is lower: a member
  /// that was restarted may have learned an older catalogue. Ignored for members that are not live.
  void Record(const core::HostId& member, CatalogueRevision revision);

  /// \brief Live members without a record of this revision or a higher one, in order.
  std::vector<core::HostId> Unconfirmed(CatalogueRevision revision) const;

  /// \brief Lowest revision of all live members; empty while one has no record, or without members.
  std::optional<CatalogueRevision> Lowest() const;

  const std::map<core::HostId, std::optional<CatalogueRevision>>& members() const {
    return m_members;
  }

 private:
  std::map<core::HostId, std::optional<CatalogueRevision>> m_members;
};

}  // namespace cornelrelay::profile
