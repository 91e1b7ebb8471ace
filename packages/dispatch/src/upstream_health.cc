#include "cornelrelay/dispatch/upstream_health.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::dispatch {
namespace {

constexpr std::uint32_t kMostDoublings = 8;

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

void UpstreamHealth::Succeeded(core::Instant now) {
  m_consecutive = 0;
  m_failure_share -= m_config.failure_gain * m_failure_share;
  switch (m_state) {
    case HealthState::kUsable:
      if (m_ejections > 0 && now - m_ejected_until > m_config.forgive_time) m_ejections = 0;
      break;
    case HealthState::kEjected:
      m_state = HealthState::kProbation;
      m_allowed = 2;
      break;
    case HealthState::kProbation:
      m_allowed *= 2;
      if (m_allowed > m_config.probation_limit) {
        m_state = HealthState::kUsable;
        m_failure_share = 0;
      }
      break;
  }
}

void UpstreamHealth::Failed(core::Instant now) {
  ++m_consecutive;
  NoteFailure();
  const bool often = m_failure_share > m_config.share_to_eject;
  if (m_state != HealthState::kUsable || often || m_consecutive >= m_config.failures_to_eject) {
    Eject(now);
  }
}

void UpstreamHealth::AnsweredFailure(core::Instant now) {
  NoteFailure();
  if (m_failure_share > m_config.share_to_eject) Eject(now);
}

void UpstreamHealth::NoteFailure() {
  m_failure_share += m_config.failure_gain * (1 - m_failure_share);
}

void UpstreamHealth::Eject(core::Instant now) {
  // Requests that were under way when it was ejected fail as well, and count once.
  if (m_state == HealthState::kEjected && now < m_ejected_until) return;
  const std::uint32_t doublings = std::min(m_ejections, kMostDoublings);
  const auto time = m_config.first_ejection * (std::int64_t{1} << doublings);
  m_ejected_until = now + std::min<core::Duration>(time, m_config.longest_ejection);
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
      return in_flight < m_allowed;
  }
  assert(false);
  return true;
}

}  // namespace cornelrelay::dispatch
