#include "cornelrelay/limits/service_time_estimator.h"

namespace cornelrelay::limits {

namespace {

// Weight of the newest sample.
constexpr double kSmoothingFactor = 0.1;

}  // namespace

void ServiceTimeEstimator::AddSample(core::Duration duration, double work) {
  if (work <= 0) return;
  const double time = static_cast<double>(duration.count());
  if (m_mean_work == 0) {
    m_mean_duration = time;
    m_mean_work = work;
    return;
  }
  m_mean_duration += kSmoothingFactor * (time - m_mean_duration);
  m_mean_work += kSmoothingFactor * (work - m_mean_work);
}

core::Duration ServiceTimeEstimator::Estimate(double work) const {
  if (m_mean_work == 0) return core::Duration::zero();
  return core::Duration(static_cast<core::Duration::rep>(m_mean_duration / m_mean_work * work));
}

core::Duration ServiceTimeEstimator::mean() const { return Estimate(m_mean_work); }

}  // namespace cornelrelay::limits
