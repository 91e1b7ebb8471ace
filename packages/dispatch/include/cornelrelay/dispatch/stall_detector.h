#pragma once

#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

/// \brief What the route of a request says of its responses.
struct ExpectedResponse {
  bool stream = false;               ///< whether the response is streamed in pieces
  core::Duration target_latency{};   ///< to the whole response or to the first piece
  core::Duration target_gap{};       ///< between two pieces; 0 if there is no target
  core::Duration caller_patience{};  ///< pause in a stream after which its caller disconnects

  friend bool operator==(const ExpectedResponse&, const ExpectedResponse&) = default;
};

/// \brief Recent activity of the other requests of a service.
struct ServiceActivity {
  core::Duration mean_service_time{};  ///< mean time from the start of an attempt to its end
  core::Instant last_output{};         ///< last output of any request of the service
  core::Instant upstream_output{};     ///< last sign of life of the upstream of the attempt
};

/// \brief Decides when a silent attempt counts as stalled, so that a place for another one is
/// sought.
///
/// \code
/// detector.StartAttempt(now);
/// detector.RecordOutput(now);  // for each piece of the response
/// if (now >= detector.NextCheck(activity) && detector.DetectStall(now, activity)) ...
/// detector.EndAttempt();
/// \endcode
class StallDetector {
 public:
  explicit StallDetector(ExpectedResponse expected) : m_expected(expected) {}

  void StartAttempt(core::Instant now);
  void RecordOutput(core::Instant now);
  void EndAttempt() { m_attempt_start.reset(); }

  /// \brief Returns when DetectStall() is to be called next; max() while no attempt is in flight.
  /// \param activity none if the service is not known
  core::Instant NextCheck(const std::optional<ServiceActivity>& activity) const;
  /// \brief Returns whether the attempt has been silent for too long, and records the check.
  ///
  /// A stream does not count as stalled while its whole service is silent: another upstream would
  /// not answer either. A stream of an upstream that is alive is queued or preempted there, not
  /// lost; it counts as stalled only when its caller will soon disconnect.
  bool DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity);

  bool in_flight() const { return m_attempt_start.has_value(); }
  /// \brief Returns whether an attempt is in flight that has given no output yet.
  bool silent() const { return m_attempt_start && m_last_output == *m_attempt_start; }
  /// \brief Returns whether the upstream has recently shown a sign of life, but not to this
  /// attempt.
  bool UpstreamAlive(core::Instant now, const std::optional<ServiceActivity>& activity) const;
  core::Instant last_output() const { return m_last_output; }
  /// \brief Returns the time of the first output of any attempt of the request.
  std::optional<core::Instant> first_output() const { return m_first_output; }

 private:
  core::Duration SilenceLimit(const std::optional<ServiceActivity>& activity) const;

  ExpectedResponse m_expected;
  std::optional<core::Instant> m_attempt_start;
  std::optional<core::Instant> m_first_output;
  core::Instant m_last_output{};
  core::Instant m_last_check{};
};

}  // namespace cornelrelay::dispatch
