#include "cornelrelay/dispatch/upstream_health.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::dispatch {
namespace {

constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

std::string_view ToString(HealthState state) {
  switch (state) {
    case HealthState::kUsable:
      return "usable";
    case HealthState::kEjected:
      return "ejected";
    case HealthState::kProbation:
      return "probation";
  }
  assert(false);
  return "unknown";
}

void UpstreamHealth::RecordSuccess(core::Instant now) {
  m_consecutive_failures = 0;
  m_failure_share -= m_config.failure_gain * m_failure_share;
  switch (m_state) {
    case HealthState::kUsable:
      if (m_ejections > 0 && now - m_ejected_until > m_config.backoff_reset_time) m_ejections = 0;
      break;
    case HealthState::kEjected:
      m_state = HealthState::kProbation;
      m_allowed_in_flight = 2;
      break;
    case HealthState::kProbation:
      m_allowed_in_flight *= 2;
      if (m_allowed_in_flight > m_config.probation_limit) {
        m_state = HealthState::kUsable;
        m_failure_share = 0;
      }
      break;
  }
}

void UpstreamHealth::RecordFailure(core::Instant now) {
  ++m_consecutive_failures;
  RaiseFailureShare();
  const bool failure_share_high = m_failure_share > m_config.max_failure_share;
  if (m_state != HealthState::kUsable || failure_share_high ||
      m_consecutive_failures >= m_config.consecutive_failures_to_eject) {
    Eject(now);
  }
}

void UpstreamHealth::RecordErrorResponse(core::Instant now) {
  RaiseFailureShare();
  if (m_failure_share > m_config.max_failure_share) Eject(now);
}

void UpstreamHealth::RaiseFailureShare() {
  m_failure_share += m_config.failure_gain * (1 - m_failure_share);
}

void UpstreamHealth::Eject(core::Instant now) {
  // Requests that were in flight at the ejection fail as well and do not count again.
  if (m_state == HealthState::kEjected && now < m_ejected_until) return;
  const std::uint32_t doublings = std::min(m_ejections, kMaxDoublings);
  const auto time = m_config.min_ejection_time * (std::int64_t{1} << doublings);
  m_ejected_until = now + std::min<core::Duration>(time, m_config.max_ejection_time);
  ++m_ejections;
  m_state = HealthState::kEjected;
}

bool UpstreamHealth::Admits(core::Instant now, std::uint32_t in_flight) const {
  switch (m_state) {
    case HealthState::kUsable:
      return true;
    case HealthState::kEjected:
      return now >= m_ejected_until && in_flight == 0;
    case HealthState::kProbation:
      return in_flight < m_allowed_in_flight;
  }
  assert(false);
  return true;
}

}  // namespace cornelrelay::dispatch
