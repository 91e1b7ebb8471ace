#include "cornelrelay/limits/service_time.h"

namespace cornelrelay::limits {

namespace {

constexpr double kGain = 0.1;

}  // namespace

void ServiceTime::Learn(core::Duration duration, double work) {
  if (work <= 0) return;
  const double time = static_cast<double>(duration.count());
  if (m_work == 0) {
    m_time = time;
    m_work = work;
    return;
  }
  m_time += kGain * (time - m_time);
  m_work += kGain * (work - m_work);
}

core::Duration ServiceTime::Expect(double work) const {
  if (m_work == 0) return core::Duration::zero();
  return core::Duration(static_cast<core::Duration::rep>(m_time / m_work * work));
}

core::Duration ServiceTime::mean() const { return Expect(m_work); }

}  // namespace cornelrelay::limits
