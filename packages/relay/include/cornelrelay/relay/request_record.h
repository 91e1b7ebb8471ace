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
  /// \brief Adds the time that the request waited in the dispatcher's queue for an upstream.
  void AddQueueWait(core::Duration waited) { m_queue_wait += waited; }
  void AddAttempt(const request::RecordAttempt& attempt);

  /// \param first_output time at which the first part of an upstream's response body was passed on
  /// for the caller; empty if there was none. The error response of a failed attempt does not
  /// count.
  void Report(const RoutedRequest& routed, const request::RecordOutcome& outcome, core::Instant now,
              std::optional<core::Instant> first_output, telemetry::JsonLog& log,
              telemetry::MetricRegistry& metrics) const;

 private:
  core::Duration m_queue_wait{};  ///< sum over all attempts
  std::string m_attempt_results;  ///< `upstream=result` of each attempt, separated by spaces
};

}  // namespace cornelrelay::relay
