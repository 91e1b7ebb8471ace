#include "cornelrelay/telemetry/metric_registry.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <string_view>

#include "cornelrelay/telemetry/metric_conflict.h"

namespace cornelrelay::telemetry {

namespace {

[[maybe_unused]] bool IsName(std::string_view name) {
  constexpr std::string_view kFirst = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_";
  return !name.empty() && kFirst.find(name.front()) != std::string_view::npos &&
         std::all_of(name.begin(), name.end(), [&](char c) {
           return kFirst.find(c) != std::string_view::npos || (c >= '0' && c <= '9');
         });
}

std::string Escaped(std::string_view text, bool quotes) {
  std::string out;
  for (const char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || (quotes && c == '"')) out += '\\';
    out += c;
  }
  return out;
}

void RenderHead(std::string& out, std::string_view name, std::string_view help,
                std::string_view type) {
  out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, Escaped(help, false), name, type);
}

template <class Value>
void RenderLine(std::string& out, std::string_view name, const Labels& labels, Value value) {
  out += name;
  char separator = '{';
  for (const auto& [key, text] : labels) {
    out += fmt::format("{}{}=\"{}\"", separator, key, Escaped(text, true));
    separator = ',';
  }
  if (!labels.empty()) out += '}';
  out += fmt::format(" {}\n", value);
}

Labels With(Labels labels, const std::string& key, const std::string& value) {
  labels[key] = value;
  return labels;
}

}  // namespace

MetricConflict::MetricConflict(const std::string& name)
    : Error("metric_conflict", "the metric " + name + " exists with another type") {}

template <class Metric>
Metric& MetricRegistry::Get(const std::string& name, const std::string& help,
                            const Labels& labels) {
  assert(IsName(name));
  assert(std::all_of(labels.begin(), labels.end(), [](const auto& l) { return IsName(l.first); }));
  auto [it, is_new] = m_families.try_emplace(name, Family<Metric>{help, {}});
  auto* family = std::get_if<Family<Metric>>(&it->second);
  if (!family) throw MetricConflict(name);
  auto found = family->series.find(labels);
  if (found == family->series.end()) {
    Labels key = labels;
    if (m_series >= m_max_series) {
      for (auto& [label, value] : key) value = "other";
    }
    const auto inserted = family->series.try_emplace(std::move(key), nullptr);
    found = inserted.first;
    if (inserted.second) {
      ++m_series;
      found->second = std::make_unique<Metric>();
    }
  }
  return *found->second;
}

Counter& MetricRegistry::GetCounter(const std::string& name, const std::string& help,
                                    const Labels& labels) {
  return Get<Counter>(name, help, labels);
}

Gauge& MetricRegistry::GetGauge(const std::string& name, const std::string& help,
                                const Labels& labels) {
  return Get<Gauge>(name, help, labels);
}

LatencySummary& MetricRegistry::GetLatency(const std::string& name, const std::string& help,
                                           const Labels& labels) {
  assert(name.ends_with("_seconds"));
  return Get<LatencySummary>(name, help, labels);
}

LatencyHistogram& MetricRegistry::GetHistogram(const std::string& name, const std::string& help,
                                               const Labels& labels) {
  assert(name.ends_with("_seconds"));
  return Get<LatencyHistogram>(name, help, labels);
}

std::string MetricRegistry::Render(core::Instant now) const {
  std::string out;
  for (const auto& entry : m_families) {
    std::visit([&](const auto& family) { RenderFamily(out, entry.first, family, now); },
               entry.second);
  }
  return out;
}

void MetricRegistry::RenderFamily(std::string& out, const std::string& name,
                                  const Family<Counter>& family, core::Instant) {
  RenderHead(out, name, family.help, "counter");
  for (const auto& [labels, metric] : family.series) RenderLine(out, name, labels, metric->value());
}

void MetricRegistry::RenderFamily(std::string& out, const std::string& name,
                                  const Family<Gauge>& family, core::Instant) {
  RenderHead(out, name, family.help, "gauge");
  for (const auto& [labels, metric] : family.series) RenderLine(out, name, labels, metric->value());
}

void MetricRegistry::RenderFamily(std::string& out, const std::string& name,
                                  const Family<LatencySummary>& family, core::Instant now) {
  // The format wants the lines of one metric together, so mean and max follow as own metrics.
  std::string mean;
  std::string max;
  RenderHead(out, name, family.help, "summary");
  RenderHead(mean, name + "_mean", family.help + " Mean of the window.", "gauge");
  RenderHead(max, name + "_max", family.help + " Maximum of the window.", "gauge");
  for (const auto& [labels, metric] : family.series) {
    const LatencyStatistics statistics = metric->Statistics(now);
    RenderLine(out, name, With(labels, "quantile", "0.5"), statistics.p50);
    RenderLine(out, name, With(labels, "quantile", "0.95"), statistics.p95);
    RenderLine(out, name, With(labels, "quantile", "0.99"), statistics.p99);
    RenderLine(out, name + "_sum", labels, metric->sum_seconds());
    RenderLine(out, name + "_count", labels, metric->count());
    RenderLine(mean, name + "_mean", labels, statistics.mean);
    RenderLine(max, name + "_max", labels, statistics.max);
  }
  out += mean + max;
}

void MetricRegistry::RenderFamily(std::string& out, const std::string& name,
                                  const Family<LatencyHistogram>& family, core::Instant) {
  RenderHead(out, name, family.help, "histogram");
  for (const auto& [labels, metric] : family.series) {
    const auto& bounds = LatencyHistogram::kBounds;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
      const std::string bound =
          nlohmann::json(std::chrono::duration<double>(bounds[i]).count()).dump();
      RenderLine(out, name + "_bucket", With(labels, "le", bound), metric->UpTo(i));
    }
    const std::uint64_t all = metric->UpTo(bounds.size());
    RenderLine(out, name + "_bucket", With(labels, "le", "+Inf"), all);
    RenderLine(out, name + "_sum", labels, metric->sum_seconds());
    RenderLine(out, name + "_count", labels, all);
  }
}

}  // namespace cornelrelay::telemetry
