#include "cornelrelay/ranks/group_lease.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::ranks {

std::vector<LeaseAction> GroupLease::Step(core::Instant now, const LeaseEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Apply(now, LeaseTick{}, out);
  return out;
}

void GroupLease::Apply(core::Instant now, const SeatSeen& event, Actions& out) {
  if (m_acting && event.seat && event.seat->value != m_config.value) {
    m_acting = false;
    out.emplace_back(SeatLost{});
    Wait(now, m_config.stagger);
  }
  const bool vacated = m_seen && m_seat && !event.seat;
  m_seen = true;
  m_seat = event.seat;
  if (m_phase != Phase::kWaiting || !vacated) return;
  // Who has led so far knows the group best.
  m_next = m_acting ? now : std::min(m_next, now + m_config.stagger);
}

void GroupLease::Apply(core::Instant now, const LeaseReply& event, Actions& out) {
  m_calling = false;
  switch (m_phase) {
    case Phase::kWaiting:
      break;
    case Phase::kGranting:
      OnGrant(now, event.reply, out);
      break;
    case Phase::kTaking:
      OnTake(now, event.reply, out);
      break;
    case Phase::kLeading:
      OnRenewal(now, event.reply, out);
      break;
  }
}

// A renewal that is under way still keeps the lease for its time; none follows.
void GroupLease::Apply(core::Instant now, const SeatResigned&, Actions&) {
  m_acting = false;
  if (m_phase == Phase::kLeading) Wait(now, m_config.retry_pause + m_config.stagger);
}

void GroupLease::Apply(core::Instant now, const LeaseTick&, Actions& out) {
  if (m_phase == Phase::kLeading && now >= m_until) {
    BecomeUnsure(now, out);
  }
  if (m_calling || now < m_next) return;
  if (m_phase == Phase::kLeading) return Call(now, store::LeaseKeepAlive{m_lease}, out);
  if (m_phase != Phase::kWaiting || !m_seen || m_seat) return;
  m_phase = Phase::kGranting;
  Call(now, store::LeaseGrant{m_config.ttl}, out);
}

void GroupLease::OnGrant(core::Instant now, const store::StoreReply& reply, Actions& out) {
  const auto* granted = std::get_if<store::LeaseGranted>(&reply);
  if (granted == nullptr || m_seat) return Wait(now, m_config.retry_pause + m_config.stagger);
  m_lease = granted->lease;
  m_until = m_called_at + granted->ttl;
  m_phase = Phase::kTaking;
  store::CompareAndSwap take;
  take.key = m_config.key;
  take.value = m_config.value;
  take.lease = m_lease;
  Call(now, take, out);
}

// A take without an answer may have succeeded: then its lease ends soon, and the seat is free
// again.
void GroupLease::OnTake(core::Instant now, const store::StoreReply& reply, Actions& out) {
  const auto* swapped = std::get_if<store::Swapped>(&reply);
  if (swapped == nullptr || now >= m_until) {
    return Wait(now, m_config.retry_pause + m_config.stagger);
  }
  m_phase = Phase::kLeading;
  m_acting = true;
  m_next = now + m_config.renew_interval;
  out.emplace_back(SeatTaken{static_cast<balance::Fence>(swapped->revision)});
}

void GroupLease::OnRenewal(core::Instant now, const store::StoreReply& reply, Actions& out) {
  if (const auto* granted = std::get_if<store::LeaseGranted>(&reply)) {
    m_until = std::max(m_until, m_called_at + granted->ttl);
    m_next = now + m_config.renew_interval;
  } else if (std::holds_alternative<store::LeaseExpired>(reply)) {
    m_seat.reset();
    BecomeUnsure(now, out);
  } else {
    m_next = now + m_config.renew_interval / 4;
  }
}

void GroupLease::Call(core::Instant now, store::StoreRequest request, Actions& out) {
  m_calling = true;
  m_called_at = now;
  out.emplace_back(CallForLease{std::move(request)});
}

void GroupLease::Wait(core::Instant now, core::Duration pause) {
  m_phase = Phase::kWaiting;
  m_next = now + pause;
}

void GroupLease::BecomeUnsure(core::Instant now, Actions& out) {
  out.emplace_back(SeatUnsure{});
  Wait(now, core::Duration::zero());
}

core::Instant GroupLease::NextWake(core::Instant now) const {
  if (m_phase == Phase::kLeading) return m_calling ? m_until : std::min(m_next, m_until);
  return std::max(m_next, now + m_config.retry_pause);
}

}  // namespace cornelrelay::ranks
