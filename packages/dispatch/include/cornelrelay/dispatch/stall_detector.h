#pragma once

#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

/// \brief What the other requests of a service show.
struct ServiceActivity {
  core::Duration mean_service_time{};  ///< mean time from the start of an attempt to its end
  core::Instant last_output{};         ///< of any request of the service
};

/// \brief Tells when a silent attempt is given up so that another one can be made.
///
/// \code
/// detector.StartAttempt(now);
/// detector.RecordOutput(now);  // for each piece of the answer
/// if (now >= detector.NextCheck(activity) && detector.DetectStall(now, activity)) ...
/// detector.EndAttempt();
/// \endcode
class StallDetector {
 public:
  /// \param stream whether the answer comes in pieces
  explicit StallDetector(bool stream) : m_stream(stream) {}

  void StartAttempt(core::Instant now);
  void RecordOutput(core::Instant now);
  void EndAttempt() { m_sent.reset(); }

  /// \brief When to look again; max() while no attempt is under way.
  /// \param activity none if the service is not known
  core::Instant NextCheck(const std::optional<ServiceActivity>& activity) const;
  /// \brief Whether the attempt has been silent for too long. A stream is not given up while its
  /// whole service is silent: another upstream would not answer either.
  bool DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity);

  /// \brief An attempt is under way and nothing has come from it.
  bool silent() const { return m_sent && m_last_output == *m_sent; }
  core::Instant last_output() const { return m_last_output; }
  /// \brief First output of any attempt of the request.
  std::optional<core::Instant> first_output() const { return m_first_output; }

 private:
  bool m_stream;
  std::optional<core::Instant> m_sent;
  std::optional<core::Instant> m_first_output;
  core::Instant m_last_output{};
  core::Instant m_checked{};
};

}  // namespace cornelrelay::dispatch
