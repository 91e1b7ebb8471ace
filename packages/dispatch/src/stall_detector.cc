#include "cornelrelay/dispatch/stall_detector.h"

#include <algorithm>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

/// A whole answer that takes this many times the usual one is given up and asked for elsewhere.
constexpr int kSlowAnswerFactor = 4;
constexpr milliseconds kLeastAnswerSilence{120};
/// A stream is given up when it is silent for this long while others of its service go on. Longer
/// than any pause of a sound engine, and well below the time after which callers leave.
constexpr milliseconds kStreamSilence{700};
/// Output of other requests within this time shows that the service goes on.
constexpr milliseconds kServiceActive{200};
/// Pause between two looks at a silent stream whose service is silent too.
constexpr milliseconds kRecheck{100};

core::Duration Limit(bool stream, const std::optional<ServiceActivity>& activity) {
  if (stream) return kStreamSilence;
  const core::Duration usual = activity ? activity->mean_service_time : core::Duration{};
  return std::max<core::Duration>(usual * kSlowAnswerFactor, kLeastAnswerSilence);
}

}  // namespace

void StallDetector::StartAttempt(core::Instant now) { m_sent = m_last_output = m_checked = now; }

void StallDetector::RecordOutput(core::Instant now) {
  m_last_output = m_checked = now;
  if (!m_first_output) m_first_output = now;
}

core::Instant StallDetector::NextCheck(const std::optional<ServiceActivity>& activity) const {
  if (!m_sent) return core::Instant::max();
  return std::max(m_last_output + Limit(m_stream, activity), m_checked + kRecheck);
}

bool StallDetector::DetectStall(core::Instant now, const std::optional<ServiceActivity>& activity) {
  if (now < NextCheck(activity)) return false;
  m_checked = now;
  const bool others_go_on = activity && now - activity->last_output < kServiceActive;
  return !m_stream || others_go_on;
}

}  // namespace cornelrelay::dispatch
