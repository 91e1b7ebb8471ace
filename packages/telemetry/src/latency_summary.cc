#include "cornelrelay/telemetry/latency_summary.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cassert>
#include <cmath>
#include <utility>
#include <vector>

namespace cornelrelay::telemetry {

namespace {

namespace ba = boost::accumulators;

using Moments = ba::accumulator_set<double, ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max>>;
using Quantile = ba::accumulator_set<double, ba::stats<ba::tag::p_square_quantile>>;

constexpr std::array<double, 3> kProbabilities{0.50, 0.95, 0.99};

// P-square starts from five values and is far off for small samples, so that the quantiles of these
// are computed from the values themselves.
constexpr std::size_t kExactValues = 128;

double ExactQuantile(std::vector<double> values, double probability) {
  const double rank = std::ceil(probability * static_cast<double>(values.size()));
  const auto at = std::max<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(rank) - 1, 0);
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

}  // namespace

class LatencySummary::Window {
 public:
  explicit Window(core::Instant start) : m_start(start) {}

  bool IsOver(core::Instant now) const { return now >= m_start + kWindow; }
  /// After an idle time, old figures would look like present ones.
  bool IsStale(core::Instant now) const { return now >= m_start + 2 * kWindow; }

  void Add(double seconds) {
    m_moments(seconds);
    for (Quantile& quantile : m_quantiles) quantile(seconds);
    if (ba::count(m_moments) <= kExactValues) {
      m_first.push_back(seconds);
    } else if (!m_first.empty()) {
      std::vector<double>().swap(m_first);
    }
  }

  LatencyStatistics Statistics() const {
    LatencyStatistics out;
    out.count = ba::count(m_moments);
    if (out.count == 0) return out;
    out.mean = ba::mean(m_moments);
    out.max = ba::max(m_moments);
    out.p50 = QuantileAt(0);
    out.p95 = QuantileAt(1);
    out.p99 = QuantileAt(2);
    return out;
  }

 private:
  double QuantileAt(std::size_t i) const {
    if (ba::count(m_moments) <= kExactValues) return ExactQuantile(m_first, kProbabilities[i]);
    return ba::p_square_quantile(m_quantiles[i]);
  }

  static Quantile MakeQuantile(double probability) {
    return Quantile(ba::quantile_probability = probability);
  }

  core::Instant m_start;
  Moments m_moments;
  std::array<Quantile, 3> m_quantiles{MakeQuantile(kProbabilities[0]),
                                      MakeQuantile(kProbabilities[1]),
                                      MakeQuantile(kProbabilities[2])};
  std::vector<double> m_first;
};

LatencySummary::LatencySummary() = default;
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
LatencySummary& LatencySummary::operator=(LatencySummary&&) noexcept = default;

void LatencySummary::Observe(core::Instant now, core::Duration latency) {
  assert(latency >= core::Duration::zero());
  if (!m_current) m_current = std::make_unique<Window>(now);
  if (m_current->IsOver(now)) {
    const bool stale = m_current->IsStale(now);
    m_last = std::exchange(m_current, std::make_unique<Window>(now));
    if (stale) m_last.reset();
  }
  const double seconds = std::chrono::duration<double>(latency).count();
  ++m_count;
  m_sum_seconds += seconds;
  m_current->Add(seconds);
}

LatencyStatistics LatencySummary::Statistics(core::Instant now) const {
  if (!m_current) return {};
  if (m_current->IsStale(now)) return {};
  if (m_current->IsOver(now) || !m_last) return m_current->Statistics();
  return m_last->Statistics();
}

}  // namespace cornelrelay::telemetry
