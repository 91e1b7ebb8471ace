#pragma once

#include <cstdint>
#include <map>

#include "cornelrelay/core/time.h"
#include "cornelrelay/net/caller_limit.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief Counts the limits that callers reach, and logs each cause at most once a second.
class CallerLimitLog {
 public:
  CallerLimitLog(const runtime::ProcessClock& clock, telemetry::JsonLog& log,
                 telemetry::MetricRegistry& metrics);

  void Note(net::CallerLimit limit);

 private:
  struct Cause {
    core::Instant next_line;
    std::uint64_t unlogged = 0;
  };

  const runtime::ProcessClock& m_clock;
  telemetry::JsonLog& m_log;
  telemetry::MetricRegistry& m_metrics;
  std::map<net::CallerLimit, Cause> m_causes;
};

}  // namespace cornelrelay::relay
