#include "cornelrelay/ranks/leader_lease.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/ranks/leader_entry.h"

namespace cornelrelay::ranks {

std::vector<LeaseAction> LeaderLease::Step(core::Instant now, const LeaseEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Apply(now, LeaseTick{}, out);
  return out;
}

void LeaderLease::Apply(core::Instant now, const LeaderKeyObserved& event, Actions& out) {
  // A leader of the past keeps the key occupied until its lease ends, but does not lead.
  const bool superseded = event.stored && !event.outdated && event.stored->value != m_config.value;
  if (m_acting_leader && superseded) {
    m_acting_leader = false;
    out.emplace_back(LeadershipSuperseded{});
    RetryIn(now, m_config.stagger);
  }
  const bool vacated = m_leader_key_read && m_leader && !event.stored;
  m_leader_key_read = true;
  m_leader = event.stored;
  m_era = event.era;
  if (m_phase != Phase::kWaiting || !vacated) return;
  // The acting leader tries first, without a stagger, because it already holds the current state of
  // the group.
  m_next_call = m_acting_leader ? now : std::min(m_next_call, now + m_config.stagger);
}

void LeaderLease::Apply(core::Instant now, const LeaseReply& event, Actions& out) {
  m_pending = false;
  switch (m_phase) {
    case Phase::kWaiting:
      break;
    case Phase::kRequestingLease:
      OnGrant(now, event.reply, out);
      break;
    case Phase::kWritingKey:
      OnKeyWrite(now, event.reply, out);
      break;
    case Phase::kLeading:
      OnRenewal(now, event.reply, out);
      break;
  }
}

// A renewal that is under way may still extend the lease in the store. No further renewal follows.
void LeaderLease::Apply(core::Instant now, const NewerLeaderFound&, Actions&) {
  m_acting_leader = false;
  if (m_phase == Phase::kLeading) RetryIn(now, m_config.retry_pause + m_config.stagger);
}

void LeaderLease::Apply(core::Instant now, const LeaseTick&, Actions& out) {
  if (m_phase == Phase::kLeading && now >= m_expiry) {
    HandleLapse(now, out);
  }
  if (m_pending || now < m_next_call) return;
  if (m_phase == Phase::kLeading) return Send(now, store::LeaseKeepAlive{m_lease}, out);
  if (m_phase != Phase::kWaiting || !m_leader_key_read || m_leader) return;
  m_phase = Phase::kRequestingLease;
  Send(now, store::LeaseGrant{m_config.ttl}, out);
}

void LeaderLease::OnGrant(core::Instant now, const store::StoreReply& reply, Actions& out) {
  const auto* granted = std::get_if<store::LeaseGranted>(&reply);
  if (granted == nullptr || m_leader) return RetryIn(now, m_config.retry_pause + m_config.stagger);
  m_lease = granted->lease;
  m_expiry = m_called_at + granted->ttl;
  m_phase = Phase::kWritingKey;
  store::CompareAndSwap write;
  write.key = m_config.key;
  write.value = EncodeLeaderEntry({m_config.value, m_era});
  write.lease = m_lease;
  Send(now, write, out);
}

// A write without an answer may have succeeded. Its lease then expires soon, which frees the key
// again.
void LeaderLease::OnKeyWrite(core::Instant now, const store::StoreReply& reply, Actions& out) {
  const auto* swapped = std::get_if<store::Swapped>(&reply);
  // If the store was restored meanwhile, the key names the wrong era, and its lease expires soon.
  if (swapped == nullptr || swapped->era != m_era || now >= m_expiry) {
    return RetryIn(now, m_config.retry_pause + m_config.stagger);
  }
  m_phase = Phase::kLeading;
  m_acting_leader = true;
  m_next_call = now + m_config.renew_interval;
  out.emplace_back(LeadershipAcquired{FenceOf({swapped->era, swapped->revision})});
}

void LeaderLease::OnRenewal(core::Instant now, const store::StoreReply& reply, Actions& out) {
  if (const auto* granted = std::get_if<store::LeaseGranted>(&reply)) {
    m_expiry = std::max(m_expiry, m_called_at + granted->ttl);
    m_next_call = now + m_config.renew_interval;
  } else if (std::holds_alternative<store::LeaseExpired>(reply)) {
    m_leader.reset();
    HandleLapse(now, out);
  } else {
    m_next_call = now + m_config.renew_interval / 4;
  }
}

void LeaderLease::Send(core::Instant now, store::StoreRequest request, Actions& out) {
  m_pending = true;
  m_called_at = now;
  out.emplace_back(SendLeaseRequest{std::move(request)});
}

void LeaderLease::RetryIn(core::Instant now, core::Duration pause) {
  m_phase = Phase::kWaiting;
  m_next_call = now + pause;
}

// Leaves m_acting_leader set: this process leads on until another leader is known. A new lease is
// requested without a pause, as soon as the leader key is free.
void LeaderLease::HandleLapse(core::Instant now, Actions& out) {
  out.emplace_back(LeaseLapsed{});
  RetryIn(now, core::Duration::zero());
}

core::Instant LeaderLease::NextWake(core::Instant now) const {
  if (m_phase == Phase::kLeading) return m_pending ? m_expiry : std::min(m_next_call, m_expiry);
  return std::max(m_next_call, now + m_config.retry_pause);
}

}  // namespace cornelrelay::ranks
