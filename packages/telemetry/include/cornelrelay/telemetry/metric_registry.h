#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "cornelrelay/core/time.h"
#include "cornelrelay/telemetry/counter.h"
#include "cornelrelay/telemetry/gauge.h"
#include "cornelrelay/telemetry/labels.h"
#include "cornelrelay/telemetry/latency_histogram.h"
#include "cornelrelay/telemetry/latency_summary.h"

namespace cornelrelay::telemetry {

/// \brief Owns the metrics of a process and renders them in the text exposition format.
///
/// Not thread-safe: one task owns it. References stay valid for the life of the registry. Beyond
/// `max_series` series, further label sets of a metric share one series whose label values are
/// `other`, so that callers cannot exhaust memory through label values.
///
/// \code
/// Counter& requests = registry.GetCounter("cornelrelay_requests_total", "Finished requests.",
///                                         {{"service", "orders"}, {"outcome", "completed"}});
/// requests.Add();
/// \endcode
class MetricRegistry {
 public:
  explicit MetricRegistry(std::size_t max_series = 20'000) : m_max_series(max_series) {}

  /// The getters create the series on first use. They throw MetricConflict if the name is in use
  /// with another type.
  Counter& GetCounter(const std::string& name, const std::string& help, const Labels& labels = {});
  Gauge& GetGauge(const std::string& name, const std::string& help, const Labels& labels = {});
  /// \param name ends in `_seconds`; `_mean` and `_max` are rendered as gauges beside the summary
  LatencySummary& GetLatency(const std::string& name, const std::string& help,
                             const Labels& labels = {});

  /// \param name ends in `_seconds`
  LatencyHistogram& GetHistogram(const std::string& name, const std::string& help,
                                 const Labels& labels = {});

  std::string Render(core::Instant now) const;

 private:
  template <class Metric>
  struct Family {
    std::string help;
    std::map<Labels, std::unique_ptr<Metric>> series;
  };
  using AnyFamily = std::variant<Family<Counter>, Family<Gauge>, Family<LatencySummary>,
                                 Family<LatencyHistogram>>;

  template <class Metric>
  Metric& Get(const std::string& name, const std::string& help, const Labels& labels);

  static void RenderFamily(std::string& out, const std::string& name, const Family<Counter>& family,
                           core::Instant now);
  static void RenderFamily(std::string& out, const std::string& name, const Family<Gauge>& family,
                           core::Instant now);
  static void RenderFamily(std::string& out, const std::string& name,
                           const Family<LatencySummary>& family, core::Instant now);
  static void RenderFamily(std::string& out, const std::string& name,
                           const Family<LatencyHistogram>& family, core::Instant now);

  std::size_t m_max_series;
  std::size_t m_series = 0;
  std::map<std::string, AnyFamily> m_families;
};

}  // namespace cornelrelay::telemetry
