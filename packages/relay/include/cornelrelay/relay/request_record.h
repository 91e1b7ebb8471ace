#pragma once

#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/relay_order.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief Collects what happened to one request and reports it once, as a log line and as metrics.
class RequestRecord {
 public:
  void AddWait(core::Duration waited) { m_waited += waited; }
  void AddAttempt(const request::RecordAttempt& attempt);

  /// \param first_output none if no output came
  void Report(const RelayOrder& order, const request::RecordOutcome& outcome, core::Instant now,
              std::optional<core::Instant> first_output, telemetry::JsonLog& log,
              telemetry::MetricRegistry& metrics) const;

 private:
  core::Duration m_waited{};
  std::string m_tried;  ///< upstreams with their results
};

}  // namespace cornelrelay::relay
