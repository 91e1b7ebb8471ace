#include "cornelrelay/dispatch/stall_detector.h"

#include <algorithm>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

/// A response that is not streamed counts as stalled after this multiple of the mean service time,
/// but not before its target latency, within which it is not late.
constexpr int kSlowResponseFactor = 4;
constexpr milliseconds kMinResponseTimeout{120};
/// A stream counts as stalled after this much silence while other requests of its service give
/// output. Longer than any pause of a healthy engine, and well below the time after which callers
/// disconnect.
constexpr milliseconds kMinStreamTimeout{700};
/// The same as a multiple of the target time between two pieces.
constexpr int kSlowGapFactor = 4;
/// A service or upstream whose last output is more recent than this counts as active.
constexpr milliseconds kActivityWindow{200};
/// Interval between two checks of a silent stream whose service is silent too.
constexpr milliseconds kRecheckInterval{100};

}  // namespace

bool StallDetector::UpstreamAlive(core::Instant now,
                                  const std::optional<ServiceActivity>& activity) const {
  const core::Duration window = std::max<core::Duration>(kActivityWindow, m_expected.target_gap);
  return activity && activity->upstream_output > m_last_output &&
         now - activity->upstream_output < window;
}

core::Duration StallDetector::SilenceLimit(const std::optional<ServiceActivity>& activity) const {
  if (!m_expected.stream) {
    const core::Duration mean = activity ? activity->mean_service_time : core::Duration{};
    return std::max<core::Duration>(
        {mean * kSlowResponseFactor, m_expected.target_latency, kMinResponseTimeout});
  }
  const core::Duration expected =
      silent() ? m_expected.target_latency : m_expected.target_gap * kSlowGapFactor;
  return std::max<core::Duration>(expected, kMinStreamTimeout);
}

void StallDetector::StartAttempt(core::Instant now) {
  m_attempt_start = m_last_output = m_last_check = now;
}

void StallDetector::RecordOutput(core::Instant now) {
  m_last_output = m_last_check = now;
  if (!m_first_output) m_first_output = now;
}

core::Instant StallDetector::NextCheck(const std::optional<ServiceActivity>& activity) const {
  if (!m_attempt_start) return core::Instant::max();
  return std::max(m_last_output + SilenceLimit(activity), m_last_check + kRecheckInterval);
}

bool StallDetector::DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity) {
  if (now < NextCheck(activity)) return false;
  m_last_check = now;
  if (!m_expected.stream) return true;
  if (!activity || now - activity->last_output >= kActivityWindow) return false;
  // Leaves another upstream the time to its first output before the caller disconnects.
  const core::Duration latest = m_expected.caller_patience - m_expected.target_latency;
  return now - m_last_output >= latest || !UpstreamAlive(now, activity);
}

}  // namespace cornelrelay::dispatch
