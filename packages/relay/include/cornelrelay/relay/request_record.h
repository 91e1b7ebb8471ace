#pragma once

#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/relay/routed_request.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/telemetry/json_log.h"
#include "cornelrelay/telemetry/metric_registry.h"

namespace cornelrelay::relay {

/// \brief Collects the history of one request and reports it once, as a log line and as metrics.
class RequestRecord {
 public:
  void AddWait(core::Duration waited) { m_waited += waited; }
  void AddAttempt(const request::RecordAttempt& attempt);

  /// \param first_output empty if no output was received
  void Report(const RoutedRequest& routed, const request::RecordOutcome& outcome, core::Instant now,
              std::optional<core::Instant> first_output, telemetry::JsonLog& log,
              telemetry::MetricRegistry& metrics) const;

 private:
  core::Duration m_waited{};
  std::string m_attempt_results;  ///< `upstream=result` of each attempt, separated by spaces
};

}  // namespace cornelrelay::relay
