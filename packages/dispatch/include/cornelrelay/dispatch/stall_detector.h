#pragma once

#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

/// \brief Recent activity of the other requests of a service.
struct ServiceActivity {
  core::Duration mean_service_time{};  ///< mean time from the start of an attempt to its end
  core::Instant last_output{};         ///< last output of any request of the service
};

/// \brief Decides when a silent attempt counts as stalled, so that another one can be made.
///
/// \code
/// detector.StartAttempt(now);
/// detector.RecordOutput(now);  // for each piece of the response
/// if (now >= detector.NextCheck(activity) && detector.DetectStall(now, activity)) ...
/// detector.EndAttempt();
/// \endcode
class StallDetector {
 public:
  /// \param stream whether the response is streamed in pieces
  explicit StallDetector(bool stream) : m_stream(stream) {}

  void StartAttempt(core::Instant now);
  void RecordOutput(core::Instant now);
  void EndAttempt() { m_attempt_start.reset(); }

  /// \brief Returns when DetectStall() is to be called next; max() while no attempt is in flight.
  /// \param activity none if the service is not known
  core::Instant NextCheck(const std::optional<ServiceActivity>& activity) const;
  /// \brief Returns whether the attempt has been silent for too long, and records the check.
  ///
  /// A stream does not count as stalled while its whole service is silent: another upstream would
  /// not answer either.
  bool DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity);

  /// \brief Returns whether an attempt is in flight that has given no output yet.
  bool silent() const { return m_attempt_start && m_last_output == *m_attempt_start; }
  core::Instant last_output() const { return m_last_output; }
  /// \brief Returns the time of the first output of any attempt of the request.
  std::optional<core::Instant> first_output() const { return m_first_output; }

 private:
  bool m_stream;
  std::optional<core::Instant> m_attempt_start;
  std::optional<core::Instant> m_first_output;
  core::Instant m_last_output{};
  core::Instant m_last_check{};
};

}  // namespace cornelrelay::dispatch
