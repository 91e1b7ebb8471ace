#include "cornelrelay/limits/share_tracker.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cornelrelay/limits/share.h"

namespace cornelrelay::limits {

namespace {

// Bounds the unsettled views that are kept: a long partition can prevent settling for hours while
// hosts are replaced. Beyond this, the two oldest views after the first are merged into their
// union, whose shares are no larger than those of either.
constexpr std::size_t kMaxViews = 16;

std::vector<Member> Union(const std::vector<Member>& a, const std::vector<Member>& b) {
  std::map<core::HostId, std::uint64_t> ids;
  for (const auto* members : {&a, &b}) {
    for (const Member& member : *members) {
      std::uint64_t& incarnation = ids[member.id];
      incarnation = std::max(incarnation, member.incarnation);
    }
  }
  std::vector<Member> all;
  all.reserve(ids.size());
  for (const auto& [id, incarnation] : ids) all.push_back({id, incarnation});
  return all;
}

}  // namespace

ShareTracker::ShareTracker(ShareTrackerConfig config) : m_config(std::move(config)) {}

bool ShareTracker::SetView(core::Instant now, std::vector<Member> members) {
  std::sort(members.begin(), members.end());
  if (members == m_views.back()) return false;
  const bool member_lost =
      !std::includes(members.begin(), members.end(), m_views.back().begin(), m_views.back().end());
  if (member_lost && m_standing == Standing::kNew) m_standing = Standing::kOrphan;
  // The first entry is never merged: for a new process it is the empty view, in which the process
  // has no share.
  if (m_views.size() >= kMaxViews) {
    m_views[1] = Union(m_views[1], m_views[2]);
    m_views.erase(m_views.begin() + 2);
  }
  m_view = ViewId(members);
  m_view_since = now;
  m_views.push_back(std::move(members));
  m_confirmed = m_settled = false;
  return true;
}

void ShareTracker::ReceiveConfirmation(core::Instant now, const core::HostId& member,
                                       std::uint64_t view, Standing standing,
                                       std::uint64_t sequence) {
  Confirmation& confirmation = m_confirmations[member];
  if (sequence <= confirmation.sequence) return;
  confirmation = {view, standing, sequence};
  TrySettle(now);
}

void ShareTracker::Confirm(core::Instant now) {
  m_confirmed = true;
  TrySettle(now);
}

bool ShareTracker::MaySettle(core::Instant now) const {
  if (m_config.fault == AdmissionFault::kSettleAlone) return true;
  if (m_standing == Standing::kSettled) return true;
  bool all_new = m_standing == Standing::kNew;
  for (const Member& member : members()) {
    if (member.id == m_config.self) continue;
    const Standing standing = m_confirmations.at(member.id).standing;
    if (standing == Standing::kSettled) return true;
    all_new = all_new && standing == Standing::kNew;
  }
  return now - m_view_since >= (all_new ? m_config.bootstrap_wait : m_config.orphan_wait);
}

void ShareTracker::TrySettle(core::Instant now) {
  if (!m_confirmed || m_settled) return;
  for (const Member& member : members()) {
    if (member.id == m_config.self) continue;
    const auto found = m_confirmations.find(member.id);
    if (found == m_confirmations.end() || found->second.view != m_view) return;
  }
  if (!MaySettle(now)) return;
  m_settled = true;
  m_standing = Standing::kSettled;
  m_views.erase(m_views.begin(), m_views.end() - 1);
  std::erase_if(m_confirmations, [this](const auto& entry) {
    return std::none_of(members().begin(), members().end(),
                        [&](const Member& member) { return member.id == entry.first; });
  });
}

std::uint64_t ShareTracker::Share(std::uint64_t limit, std::string_view key,
                                  const std::vector<Member>& members) const {
  const std::uint64_t share = ShareOf(limit, key, members, m_config.self);
  if (m_config.fault != AdmissionFault::kShareRoundedUp || members.empty()) return share;
  return (limit + members.size() - 1) / members.size();
}

std::uint64_t ShareTracker::Target(std::uint64_t limit, std::string_view key) const {
  return Share(limit, key, members());
}

std::uint64_t ShareTracker::Usable(std::uint64_t limit, std::string_view key) const {
  if (m_config.fault == AdmissionFault::kGrowAtOnce) return Target(limit, key);
  std::uint64_t usable = limit;
  for (const auto& view : m_views) usable = std::min(usable, Share(limit, key, view));
  assert(usable <= limit);
  return usable;
}

}  // namespace cornelrelay::limits
