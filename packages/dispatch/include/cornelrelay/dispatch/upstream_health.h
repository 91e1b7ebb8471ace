#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

enum class HealthState {
  kUsable,
  kEjected,    ///< gets no requests for a time, then a single trial request
  kProbation,  ///< the trial succeeded; each success doubles the limit of concurrent requests
};
std::string_view ToString(HealthState state);

struct HealthConfig {
  std::uint32_t consecutive_failures_to_eject = 2;
  /// Weight of one result in the moving average of failures.
  double failure_gain = 0.1;
  /// Share of failures above which an upstream is ejected. Far above the share that healthy
  /// upstreams report.
  double max_failure_share = 0.4;
  core::Duration min_ejection_time = std::chrono::milliseconds(500);
  core::Duration max_ejection_time = std::chrono::seconds(8);
  /// Probation ends when the allowed number of concurrent requests exceeds this.
  std::uint32_t probation_limit = 4;
  /// An upstream that stays usable for this long after an ejection starts again at the shortest
  /// one.
  core::Duration backoff_reset_time = std::chrono::seconds(20);
};

/// \brief Health of one upstream, derived from the results of this process alone.
///
/// Each ejection is longer than the one before, up to a limit, so that an upstream that fails again
/// and again is readmitted more and more slowly.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(HealthConfig config) : m_config(config) {}

  void RecordSuccess(core::Instant now);
  /// \brief Records an attempt that broke off, timed out or could not connect.
  void RecordFailure(core::Instant now);
  /// \brief Records an error response. Healthy upstreams give some too, so only a high share of
  /// failures ejects.
  void RecordErrorResponse(core::Instant now);

  /// \brief Records that the upstream no longer exists at its address, though its registration may
  /// remain for a while. Ejects it at once.
  void RecordMisdirected(core::Instant now) { Eject(now); }

  /// \brief Returns whether the upstream may get one more request.
  /// \param in_flight requests of this process that are in flight on it already
  bool Admits(core::Instant now, std::uint32_t in_flight) const;

  HealthState state() const { return m_state; }
  /// \brief Returns the moving average of failures, in [0, 1].
  double failure_share() const { return m_failure_share; }

 private:
  void Eject(core::Instant now);
  void RaiseFailureShare();

  HealthConfig m_config;
  HealthState m_state = HealthState::kUsable;
  std::uint32_t m_consecutive_failures = 0;
  double m_failure_share = 0;
  std::uint32_t m_ejections = 0;
  std::uint32_t m_allowed_in_flight = 0;  ///< concurrent requests allowed while on probation
  core::Instant m_ejected_until{};
};

}  // namespace cornelrelay::dispatch
