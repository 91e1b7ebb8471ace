#include "cornelrelay/relay/caller_limit_log.h"

#include <chrono>
#include <string>
#include <utility>

namespace cornelrelay::relay {
namespace {

/// Bounds the lines of a crowd of callers to one a second for each cause.
constexpr core::Duration kLineInterval = std::chrono::seconds(1);

}  // namespace

CallerLimitLog::CallerLimitLog(const runtime::ProcessClock& clock, telemetry::JsonLog& log,
                               telemetry::MetricRegistry& metrics)
    : m_clock(clock), m_log(log), m_metrics(metrics) {}

void CallerLimitLog::Note(net::CallerLimit limit) {
  m_metrics
      .GetCounter("cornelrelay_caller_limits_total",
                  "Requests and connections of callers that a limit ended.",
                  {{"cause", std::string(net::ToString(limit))}})
      .Add();
  Cause& cause = m_causes[limit];
  ++cause.unlogged;
  const core::Instant now = m_clock.Now();
  if (now < cause.next_line) return;
  cause.next_line = now + kLineInterval;
  m_log.Warning("caller_limit_reached", {{"cause", std::string(net::ToString(limit))},
                                         {"count", std::exchange(cause.unlogged, 0)}});
}

}  // namespace cornelrelay::relay
