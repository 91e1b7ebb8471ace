#include "cornelrelay/dispatch/rate_limit_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::dispatch {
namespace {

/// An upstream that names no rate at all still gets a request now and then: only its answers tell
/// when the limit ends.
constexpr double kMinRatePerSecond = 0.25;
/// Requests that a process may save.
constexpr double kBurst = 1;

core::Duration Seconds(double seconds) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

std::size_t SharingRankOf(const core::UpstreamId& upstream, const core::HostId& self,
                          const std::vector<core::HostId>& processes) {
  assert(std::find(processes.begin(), processes.end(), self) != processes.end());
  const auto score = [&](const core::HostId& host) {
    return core::RendezvousScore(upstream.value(), host.value());
  };
  const std::uint64_t own = score(self);
  return static_cast<std::size_t>(
      std::count_if(processes.begin(), processes.end(),
                    [&](const core::HostId& host) { return score(host) > own; }));
}

double RateShareAt(double limit_per_second, std::size_t rank, std::size_t processes) {
  assert(processes > 0);
  const double limit = std::max(limit_per_second, kMinRatePerSecond);
  const double sharing = std::clamp(std::round(limit), 1.0, static_cast<double>(processes));
  return static_cast<double>(rank) < sharing ? limit / sharing : 0;
}

double RateShareOf(double limit_per_second, const core::UpstreamId& upstream,
                   const core::HostId& self, const std::vector<core::HostId>& processes) {
  return RateShareAt(limit_per_second, SharingRankOf(upstream, self, processes), processes.size());
}

bool RateLimitShare::Observe(const RateLimitObservation& observation) {
  if (m_observation && m_observation->at >= observation.at) return false;
  const bool changed = limit() != observation.per_second;
  m_observation = observation;
  return changed;
}

void RateLimitShare::SetShare(core::Instant now, double per_second) {
  // A new share starts without savings: the process that had it may have used them.
  if (m_share == 0) m_tokens = limits::TokenBucket(now);
  m_tokens.Refill(now, m_share, kBurst);
  m_share = per_second;
}

bool RateLimitShare::Admits(core::Instant now) const {
  if (!limit()) return true;
  limits::TokenBucket tokens = m_tokens;
  tokens.Refill(now, m_share, kBurst);
  return tokens.Take();
}

void RateLimitShare::Take(core::Instant now) {
  if (!limit()) return;
  m_tokens.Refill(now, m_share, kBurst);
  m_tokens.Take();
}

std::optional<core::Instant> RateLimitShare::NextAdmission(core::Instant now) const {
  if (!limit() || m_share <= 0) return std::nullopt;
  limits::TokenBucket tokens = m_tokens;
  tokens.Refill(now, m_share, kBurst);
  return now + Seconds(std::max(0.0, kBurst - tokens.tokens()) / m_share);
}

}  // namespace cornelrelay::dispatch
