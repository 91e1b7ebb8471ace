#include "cornelrelay/dispatch/stall_detector.h"

#include <algorithm>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

/// A response that is not streamed counts as stalled after this multiple of the mean service time.
constexpr int kSlowResponseFactor = 4;
constexpr milliseconds kMinResponseTimeout{120};
/// A stream counts as stalled after this much silence while other requests of its service give
/// output. Longer than any pause of a healthy engine, and well below the time after which callers
/// disconnect.
constexpr milliseconds kStreamTimeout{700};
/// A service whose last output is more recent than this counts as active.
constexpr milliseconds kServiceActivityWindow{200};
/// Interval between two checks of a silent stream whose service is silent too.
constexpr milliseconds kRecheckInterval{100};

core::Duration SilenceLimit(bool stream, const std::optional<ServiceActivity>& activity) {
  if (stream) return kStreamTimeout;
  const core::Duration mean = activity ? activity->mean_service_time : core::Duration{};
  return std::max<core::Duration>(mean * kSlowResponseFactor, kMinResponseTimeout);
}

}  // namespace

void StallDetector::StartAttempt(core::Instant now) {
  m_attempt_start = m_last_output = m_last_check = now;
}

void StallDetector::RecordOutput(core::Instant now) {
  m_last_output = m_last_check = now;
  if (!m_first_output) m_first_output = now;
}

core::Instant StallDetector::NextCheck(const std::optional<ServiceActivity>& activity) const {
  if (!m_attempt_start) return core::Instant::max();
  return std::max(m_last_output + SilenceLimit(m_stream, activity),
                  m_last_check + kRecheckInterval);
}

bool StallDetector::DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity) {
  if (now < NextCheck(activity)) return false;
  m_last_check = now;
  const bool service_active = activity && now - activity->last_output < kServiceActivityWindow;
  return !m_stream || service_active;
}

}  // namespace cornelrelay::dispatch
