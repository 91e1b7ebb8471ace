#include "cornelrelay/relay/request_record.h"

#include <cstdint>

namespace cornelrelay::relay {

void RequestRecord::AddAttempt(const request::RecordAttempt& attempt) {
  if (!m_tried.empty()) m_tried += ' ';
  m_tried.append(attempt.upstream.value()).append("=").append(ToString(attempt.result));
}

void RequestRecord::Report(const RelayOrder& order, const request::RecordOutcome& outcome,
                           core::Instant now, std::optional<core::Instant> first_output,
                           telemetry::JsonLog& log, telemetry::MetricRegistry& metrics) const {
  const std::string result = outcome.error ? std::string(ToString(*outcome.error)) : "completed";
  const auto level = outcome.error ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo;
  // -1 stands for none, so that the field is a number in each line.
  const core::Duration until_output =
      first_output ? *first_output - order.arrived : core::Duration{-1};
  log.LogEvent(level, "request_finished",
               {{"request", order.request.id},
                {"account", order.account ? order.account->id : core::ClientAccountId()},
                {"route", order.route.name},
                {"service", order.service},
                {"outcome", result},
                {"execution", outcome.execution},
                {"attempts", outcome.attempts},
                {"upstreams", m_tried},
                {"configuration", order.configuration_version},
                {"waited_us", m_waited},
                {"first_output_us", until_output},
                {"elapsed_us", outcome.elapsed},
                {"left_us", order.answer_by - now}});
  const std::string service = order.service.value();
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
