#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::limits {

/// \brief Running mean of the service time per work unit.
///
/// \code
/// times.Learn(now - started, work);
/// const core::Duration expected = times.Expect(work);
/// \endcode
class ServiceTime {
 public:
  void Learn(core::Duration duration, double work);

  /// \brief Zero until the first result: nothing is refused on a guess.
  core::Duration Expect(double work) const;

  /// \brief Mean duration of a request of mean size.
  core::Duration mean() const;

 private:
  double m_time = 0;
  double m_work = 0;
};

}  // namespace cornelrelay::limits
