#pragma once

#include <chrono>

#include "cornelrelay/core/time.h"

namespace cornelrelay::runtime {

/// \brief Logical time of a process: Unix time at its start, advanced by the time since boot.
///
/// It never runs backwards, so a step of the wall clock cannot confuse the decision code. Unlike
/// the steady clock, it counts the time that the host was suspended, so that deadlines, leases and
/// ages have passed when the host wakes. \code machine.Step(clock.Now(), event); \endcode
class ProcessClock {
 public:
  ProcessClock();

  core::Instant Now() const;

  /// \brief For timers; saturates, so that Instant::max() means "never".
  std::chrono::steady_clock::time_point ToSteady(core::Instant instant) const;

 private:
  core::Duration m_unix_offset;  ///< Unix time minus time since boot, as of the start
};

}  // namespace cornelrelay::runtime
