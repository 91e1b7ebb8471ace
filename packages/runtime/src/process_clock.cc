#include "cornelrelay/runtime/process_clock.h"

#include <time.h>

namespace cornelrelay::runtime {
namespace {

core::Duration SinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<core::Duration>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

ProcessClock::ProcessClock()
    : m_unix_offset(std::chrono::duration_cast<core::Duration>(
                        std::chrono::system_clock::now().time_since_epoch()) -
                    SinceBoot()) {}

core::Instant ProcessClock::Now() const { return core::Instant(m_unix_offset + SinceBoot()); }

std::chrono::steady_clock::time_point ProcessClock::ToSteady(core::Instant instant) const {
  if (instant == core::Instant::max()) return std::chrono::steady_clock::time_point::max();
  return std::chrono::steady_clock::now() + (instant - Now());
}

}  // namespace cornelrelay::runtime
