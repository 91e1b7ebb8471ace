#include "cornelrelay/runtime/pause_detector.h"

namespace cornelrelay::runtime {
namespace {

constexpr std::chrono::milliseconds kTickPeriod{100};

}  // namespace

PauseDetector::PauseDetector(boost::asio::io_context& context, const ProcessClock& clock)
    : m_clock(clock), m_timer(context, clock, [this] { Tick(); }) {}

// The handlers of what has arrived in a pause may run before the timer's.
bool PauseDetector::RanSince(core::Instant since) const {
  return m_clock.Now() - m_last_tick < kPause && m_last_pause_end <= since;
}

void PauseDetector::AddWatch() {
  if (m_watches++ > 0) return;
  m_last_tick = m_clock.Now();
  m_timer.SetAt(m_last_tick + kTickPeriod);
}

void PauseDetector::RemoveWatch() {
  if (--m_watches == 0) m_timer.Cancel();
}

void PauseDetector::Tick() {
  const core::Instant now = m_clock.Now();
  if (now - m_last_tick >= kPause) m_last_pause_end = now;
  m_last_tick = now;
  if (m_watches > 0) m_timer.SetAt(now + kTickPeriod);
}

}  // namespace cornelrelay::runtime
