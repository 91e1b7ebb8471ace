#pragma once

#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

/// \brief What the other requests of a service show.
struct ServicePace {
  core::Duration usual_hold{};  ///< mean time from the start of an attempt to its end
  core::Instant last_output{};  ///< of any request of the service
};

/// \brief Tells when a silent attempt is given up so that another one can be made.
///
/// \code
/// watch.Sent(now);
/// watch.Output(now);  // for each piece of the answer
/// if (now >= watch.NextCheck(pace) && watch.GivesUp(now, pace)) ...
/// watch.Ended();
/// \endcode
class SilenceWatch {
 public:
  /// \param stream whether the answer comes in pieces
  explicit SilenceWatch(bool stream) : m_stream(stream) {}

  void Sent(core::Instant now);
  void Output(core::Instant now);
  void Ended() { m_sent.reset(); }

  /// \brief When to look again; max() while no attempt is under way.
  /// \param pace none if the service is not known
  core::Instant NextCheck(const std::optional<ServicePace>& pace) const;
  /// \brief Whether the attempt has been silent for too long. A stream is not given up while its
  /// whole service is silent: another upstream would not answer either.
  bool GivesUp(core::Instant now, const std::optional<ServicePace>& pace);

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
