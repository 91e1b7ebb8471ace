#pragma once

#include <chrono>

namespace cornelrelay::core {

/// \brief Tag clock of logical time: it has no now(), so decision code cannot read a wall clock.
// The member names are those that std::chrono requires.
// NOLINTBEGIN(readability-identifier-naming)
struct LogicalClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LogicalClock, duration>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)

using Duration = LogicalClock::duration;

/// \brief A point in logical time, passed to every `Step(now, event)`.
///
/// \code
/// const Instant start{};
/// const Instant deadline = start + std::chrono::milliseconds(970);
/// \endcode
using Instant = LogicalClock::time_point;

}  // namespace cornelrelay::core
