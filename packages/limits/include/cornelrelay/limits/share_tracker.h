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

/// \brief Waiting times of a process that never settled a view.
struct ShareTrackerConfig {
  core::HostId self{};
  /// Cold start: all members are new. Long enough to hear of the others.
  core::Duration bootstrap_wait = std::chrono::seconds(2);
  /// The members that introduced this process are gone. Twice the lag of the host list, which names
  /// the others.
  core::Duration orphan_wait = std::chrono::seconds(60);
  AdmissionFault fault = AdmissionFault::kNone;
};

/// \brief The share that one process may use while views of the membership change.
///
/// A smaller share applies at once, a larger one only when all members of the view have stated that
/// they run no more than their share in it. Without this rule a joining process starts requests
/// while the others still run theirs, and the sum exceeds the limit. The statements travel as one
/// gossip record per process.
///
/// A new process starts with no share. It settles its first view only with a member that settled
/// before: two new processes whose introducers died do not know each other, and each would take the
/// whole limit. Safety assumes that a process that was removed from the view runs nothing. \code
/// shares.SetView(now, members);
/// if (nothing_above(ledger)) publish(shares.Confirm(now));
/// \endcode
class ShareTracker {
 public:
  explicit ShareTracker(ShareTrackerConfig config);

  /// \brief Moves to a new view; returns whether it differs from the current one.
  bool SetView(core::Instant now, std::vector<Member> members);

  /// \brief A member's statement; older sequences are ignored.
  void Receive(core::Instant now, const core::HostId& member, std::uint64_t view, Standing standing,
               std::uint64_t sequence);

  /// \brief States that this process keeps within its share of the current view.
  void Confirm(core::Instant now);

  /// \brief Lets waiting times pass.
  void Tick(core::Instant now) { TrySettle(now); }

  bool confirmed() const { return m_confirmed; }
  bool settled() const { return m_settled; }
  Standing standing() const { return m_standing; }
  std::uint64_t view() const { return m_view; }
  const std::vector<Member>& members() const { return m_views.back(); }

  /// \brief What may be used now.
  std::uint64_t Usable(std::uint64_t limit, std::string_view key) const;

  /// \brief What may be used once the current view is settled.
  std::uint64_t Target(std::uint64_t limit, std::string_view key) const;

 private:
  struct Statement {
    std::uint64_t view = 0;
    Standing standing = Standing::kNew;
    std::uint64_t sequence = 0;
  };

  void TrySettle(core::Instant now);
  bool MayJoin(core::Instant now) const;
  std::uint64_t Share(std::uint64_t limit, std::string_view key,
                      const std::vector<Member>& members) const;

  ShareTrackerConfig m_config;
  std::vector<std::vector<Member>> m_views{{}};  // from the last settled to the current one
  std::map<core::HostId, Statement> m_statements;
  std::uint64_t m_view = 0;
  core::Instant m_view_since{};
  Standing m_standing = Standing::kNew;
  bool m_confirmed = false;
  bool m_settled = false;
};

}  // namespace cornelrelay::limits
