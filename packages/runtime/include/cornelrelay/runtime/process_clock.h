#pragma once

#include <chrono>

#include "cornelrelay/core/time.h"

namespace cornelrelay::runtime {

/// \brief Logical time of a process: Unix time at its start, advanced by the steady clock.
///
/// It never runs backwards, so a step of the wall clock cannot confuse the decision code.
/// \code
/// machine.Step(clock.Now(), event);
/// \endcode
class ProcessClock {
 public:
  ProcessClock()
      : m_unix_start(std::chrono::duration_cast<core::Duration>(
            std::chrono::system_clock::now().time_since_epoch())),
        m_steady_start(std::chrono::steady_clock::now()) {}

  core::Instant Now() const { return ToInstant(std::chrono::steady_clock::now()); }

  core::Instant ToInstant(std::chrono::steady_clock::time_point time) const {
    return core::Instant(m_unix_start +
                         std::chrono::duration_cast<core::Duration>(time - m_steady_start));
  }

  /// \brief Saturates, so that Instant::max() means "never".
  std::chrono::steady_clock::time_point ToSteady(core::Instant instant) const {
    if (instant == core::Instant::max()) return std::chrono::steady_clock::time_point::max();
    return m_steady_start + (instant.time_since_epoch() - m_unix_start);
  }

 private:
  core::Duration m_unix_start;
  std::chrono::steady_clock::time_point m_steady_start;
};

}  // namespace cornelrelay::runtime
