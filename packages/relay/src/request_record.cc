#include "cornelrelay/relay/request_record.h"

#include <cstdint>

namespace cornelrelay::relay {

void RequestRecord::AddAttempt(const request::RecordAttempt& attempt) {
  if (!m_attempt_results.empty()) m_attempt_results += ' ';
  m_attempt_results.append(attempt.upstream.value()).append("=").append(ToString(attempt.result));
}

void RequestRecord::Report(const RoutedRequest& routed, const request::RecordOutcome& outcome,
                           core::Instant now, std::optional<core::Instant> first_output,
                           telemetry::JsonLog& log, telemetry::MetricRegistry& metrics) const {
  const std::string result = outcome.error ? std::string(ToString(*outcome.error)) : "completed";
  const auto level = outcome.error ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo;
  // -1 means that there was no output, so that the field is a number in every log line.
  const core::Duration until_output =
      first_output ? *first_output - routed.arrived : core::Duration{-1};
  log.LogEvent(level, "request_finished",
               {{"request", routed.request.id},
                {"account", routed.account ? routed.account->id : core::ClientAccountId()},
                {"route", routed.route.name},
                {"service", routed.service},
                {"outcome", result},
                {"execution", outcome.execution},
                {"attempts", outcome.attempts},
                {"upstreams", m_attempt_results},
                {"configuration", routed.configuration_version},
                {"waited_us", m_queue_wait},
                {"first_output_us", until_output},
                {"elapsed_us", outcome.elapsed},
                {"left_us", routed.deadline - now}});
  const std::string service = routed.service.value();
  metrics
      .GetCounter("cornelrelay_requests_total", "Finished requests.",
                  {{"service", service}, {"outcome", result}})
      .Add();
  metrics
      .GetCounter("cornelrelay_attempts_total", "Attempts sent to upstreams.",
                  {{"service", service}})
      .Add(static_cast<std::uint64_t>(outcome.attempts));
  metrics
      .GetHistogram("cornelrelay_request_seconds", "Time from a request to the end of its answer.",
                    {{"service", service}, {"outcome", result}})
      .Observe(outcome.elapsed);
  if (!first_output) return;
  metrics
      .GetHistogram("cornelrelay_first_output_seconds", "Time from a request to its first output.",
                    {{"service", service}})
      .Observe(until_output);
}

}  // namespace cornelrelay::relay
