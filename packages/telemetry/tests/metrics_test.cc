#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/telemetry/metric_conflict.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::telemetry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::Instant kStart{};

}  // namespace

// Guards against a page that a collector of the text format cannot read.
TEST_CASE("metrics are rendered in the text exposition format") {
  MetricRegistry registry;
  registry.GetCounter("a_total", "Back\\slash.", {{"service", "x\"\\\n"}}).Add(3);
  registry.GetGauge("b", "B.").Set(1.5);
  registry.GetLatency("c_seconds", "C.", {{"s", "y"}}).Observe(kStart, milliseconds(250));
  CHECK(registry.Render(kStart) ==
        "# HELP a_total Back\\\\slash.\n# TYPE a_total counter\n"
        "a_total{service=\"x\\\"\\\\\\n\"} 3\n"
        "# HELP b B.\n# TYPE b gauge\nb 1.5\n"
        "# HELP c_seconds C.\n# TYPE c_seconds summary\n"
        "c_seconds{quantile=\"0.5\",s=\"y\"} 0.25\n"
        "c_seconds{quantile=\"0.95\",s=\"y\"} 0.25\n"
        "c_seconds{quantile=\"0.99\",s=\"y\"} 0.25\n"
        "c_seconds_sum{s=\"y\"} 0.25\nc_seconds_count{s=\"y\"} 1\n"
        "# HELP c_seconds_mean C. Mean of the window.\n# TYPE c_seconds_mean gauge\n"
        "c_seconds_mean{s=\"y\"} 0.25\n"
        "# HELP c_seconds_max C. Maximum of the window.\n# TYPE c_seconds_max gauge\n"
        "c_seconds_max{s=\"y\"} 0.25\n");
  CHECK_THROWS_AS(registry.GetGauge("a_total", ""), MetricConflict);
}

// Guards against label values of callers filling the memory.
TEST_CASE("series beyond the bound share one") {
  MetricRegistry registry(2);
  for (const std::string account : {"a", "b", "c", "d", "a"}) {
    registry.GetCounter("n_total", "N.", {{"account", account}}).Add();
  }
  CHECK(registry.Render(kStart).ends_with(
      "n_total{account=\"a\"} 2\nn_total{account=\"b\"} 1\nn_total{account=\"other\"} 2\n"));
}

// Guards against quantiles that mislead operators: far from the exact ones, or of a past window.
TEST_CASE("quantile estimates are near the exact quantiles of the window") {
  for (const std::size_t n : {5, 100, 1000, 20000}) {
    core::Random random(n);
    LatencySummary summary;
    std::vector<double> values;
    for (std::size_t i = 0; i < n; ++i) {
      const double value = -0.1 * std::log(1 - random.Unit());
      values.push_back(value);
      summary.Observe(
          kStart, std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value)));
    }
    std::sort(values.begin(), values.end());
    const auto exact = [&](double p) {
      return values[static_cast<std::size_t>(std::ceil(p * static_cast<double>(n))) - 1];
    };
    const LatencyStatistics statistics = summary.Statistics(kStart);
    CAPTURE(n);
    CHECK(statistics.count == n);
    CHECK(statistics.p50 == Approx(exact(0.5)).epsilon(0.1));
    CHECK(statistics.p95 == Approx(exact(0.95)).epsilon(0.1));
    CHECK(statistics.p99 == Approx(exact(0.99)).epsilon(0.1));
    CHECK(statistics.max == Approx(values.back()).epsilon(0.001));
  }
}

// Guards against a slow past minute being shown as the present.
TEST_CASE("statistics cover the last complete window") {
  LatencySummary summary;
  summary.Observe(kStart, seconds(9));
  CHECK(summary.Statistics(kStart).max == 9);
  summary.Observe(kStart + seconds(61), seconds(1));
  CHECK(summary.Statistics(kStart + seconds(62)).max == 9);
  summary.Observe(kStart + seconds(125), seconds(2));
  CHECK(summary.Statistics(kStart + seconds(126)).max == 1);
  CHECK(summary.Statistics(kStart + seconds(300)).count == 0);
  summary.Observe(kStart + seconds(300), seconds(3));
  CHECK(summary.Statistics(kStart + seconds(301)).max == 3);
  CHECK(summary.count() == 4);
  CHECK(summary.sum_seconds() == 15);
}

TEST_CASE("a histogram counts each latency in its bucket and all above") {
  MetricRegistry registry;
  LatencyHistogram& histogram = registry.GetHistogram("x_seconds", "Help.");
  histogram.Observe(std::chrono::milliseconds(120));
  histogram.Observe(std::chrono::milliseconds(121));
  histogram.Observe(std::chrono::seconds(60));
  const std::string text = registry.Render({});
  CHECK(text.find("x_seconds_bucket{le=\"0.05\"} 0\n") != std::string::npos);
  CHECK(text.find("x_seconds_bucket{le=\"0.12\"} 1\n") != std::string::npos);
  CHECK(text.find("x_seconds_bucket{le=\"0.2\"} 2\n") != std::string::npos);
  CHECK(text.find("x_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(text.find("x_seconds_count 3\n") != std::string::npos);
}

}  // namespace cornelrelay::telemetry
