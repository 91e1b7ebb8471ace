#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/limits/admission_fault.h"
#include "cornelrelay/limits/member.h"
#include "cornelrelay/limits/standing.h"

namespace cornelrelay::limits {

/// \brief Settings of a ShareTracker. The waiting times apply to a process that has never settled a
/// view.
struct ShareTrackerConfig {
  core::HostId self{};
  /// Wait at a cold start, when all members are new; long enough to hear of the other processes.
  core::Duration bootstrap_wait = std::chrono::seconds(2);
  /// Wait if this process or another new member lost a member before it settled its first view. The
  /// lost member may have known processes that this one does not know. They appear in the
  /// platform's host list; this is twice the time by which that list may lag.
  core::Duration orphan_wait = std::chrono::seconds(60);
  AdmissionFault fault = AdmissionFault::kNone;
};

/// \brief Determines the share of each limit that this process may use while the membership
/// changes.
///
/// A view is a set of members. A smaller share applies at once. A larger share applies only when
/// the view is settled: when all its members have confirmed that they run no more than their share
/// in it. Without this rule, a joining process would start requests while the others still run
/// theirs, and the sum would exceed the limit. Each process publishes its confirmation as one
/// gossip record.
///
/// A new process starts with no share. All members must have confirmed its first view, and either
/// one of them has settled a view before or a waiting time of ShareTrackerConfig has passed. Two
/// new processes that joined through members that are gone may not know each other, and without the
/// wait each would take the whole limit. The limit holds on the assumption that a process
/// that was removed from the view runs nothing.
///
/// \code
/// shares.SetView(now, members);
/// if (runs_within_targets(shares)) shares.Confirm(now);
/// \endcode
class ShareTracker {
 public:
  explicit ShareTracker(ShareTrackerConfig config);

  /// \brief Moves to a new view; returns whether it differs from the current one.
  bool SetView(core::Instant now, std::vector<Member> members);

  /// \brief Records a member's confirmation of `view`. Ignores one whose sequence is not higher
  /// than the last.
  void ReceiveConfirmation(core::Instant now, const core::HostId& member, std::uint64_t view,
                           Standing standing, std::uint64_t sequence);

  /// \brief Records that this process runs no more than its share of the current view.
  void Confirm(core::Instant now);

  /// \brief Settles the view if all members, including this process, have confirmed it and the
  /// waiting time, if one applies, has passed.
  void Tick(core::Instant now) { TrySettle(now); }

  bool confirmed() const { return m_confirmed; }
  bool settled() const { return m_settled; }
  Standing standing() const { return m_standing; }
  std::uint64_t view() const { return m_view; }
  const std::vector<Member>& members() const { return m_views.back(); }

  /// \brief Part of `limit` that this process may use now.
  /// \param key name of the limit, such as the service id; decides which members get the remainder
  /// of the division
  std::uint64_t Usable(std::uint64_t limit, std::string_view key) const;

  /// \brief Part of `limit` that this process may use once the current view is settled.
  /// \param key as for Usable
  std::uint64_t Target(std::uint64_t limit, std::string_view key) const;

 private:
  struct Confirmation {
    std::uint64_t view = 0;
    Standing standing = Standing::kNew;
    std::uint64_t sequence = 0;
  };

  void TrySettle(core::Instant now);

  /// \brief Whether this process may settle a view that all members have confirmed.
  bool MaySettle(core::Instant now) const;
  std::uint64_t Share(std::uint64_t limit, std::string_view key,
                      const std::vector<Member>& members) const;

  ShareTrackerConfig m_config;
  std::vector<std::vector<Member>> m_views{{}};  // from the last settled view to the current one
  std::map<core::HostId, Confirmation> m_confirmations;
  std::uint64_t m_view = 0;
  core::Instant m_view_since{};
  Standing m_standing = Standing::kNew;
  bool m_confirmed = false;
  bool m_settled = false;
};

}  // namespace cornelrelay::limits
