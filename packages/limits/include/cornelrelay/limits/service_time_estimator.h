#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::limits {

/// \brief Estimates service times from exponential moving averages of duration and work.
///
/// \code
/// service_time.AddSample(now - started, work);
/// const core::Duration expected = service_time.Estimate(work);
/// \endcode
class ServiceTimeEstimator {
 public:
  /// \brief Adds the duration of a completed request. Ignores requests without work.
  void AddSample(core::Duration duration, double work);

  /// \brief Expected duration of a request of `work` units. Zero before the first sample, so that
  /// no request is refused without a measurement.
  core::Duration Estimate(double work) const;

  /// \brief Expected duration of a request of average size.
  core::Duration mean() const;

 private:
  double m_mean_duration = 0;  // in ticks of core::Duration
  double m_mean_work = 0;      // in work units; 0 before the first sample
};

}  // namespace cornelrelay::limits
