#include "cornelrelay/entry/request_task.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>
#include <variant>

#include "cornelrelay/core/hash.h"
#include "cornelrelay/core/http_status.h"
#include "cornelrelay/entry/request_errors.h"
#include "cornelrelay/request/answer_id.h"
#include "request_facts.h"

namespace cornelrelay::entry {
namespace {

constexpr std::size_t kMaxRecordedBytes = 512;
constexpr std::uint64_t kProgressEvents = 16;

}  // namespace

RequestTask::RequestTask(RequestServices& services, ServiceRuntime& service,
                         const profile::Profile& profile, CallerRequest request,
                         core::RequestId internal_id, net::ResponseStream& response)
    : RequestDriver(
          services.context, services.clock, response,
          request::RequestMachine(internal::PolicyOf(request, profile),
                                  internal::FactsOf(request, internal_id), services.clock.Now())),
      m_services(services),
      m_service(service),
      m_request(std::move(request)),
      m_profile(profile),
      m_internal_id(std::move(internal_id)),
      m_writer(response, m_request.id, m_request.stream),
      m_deadline(services.clock.Now() + internal::DeadlineOf(m_request, m_profile)),
      m_choice(services, service, internal::QueryOf(m_request, m_profile),
               internal::FingerprintOf(m_request), m_internal_id, m_deadline, mailbox()) {
  m_record.time = std::chrono::sys_time<std::chrono::milliseconds>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          services.clock.Now().time_since_epoch()));
  m_record.request = m_request.id;
  m_record.account = m_request.account;
  m_record.service = m_request.service;
}

boost::asio::awaitable<void> RequestTask::Run() {
  m_service.retry_budget().OnRequest();
  co_await Drive();
  co_await Finish();
  if (m_claim_requested) m_services.claims.Abandon(m_internal_id);
  if (outcome()->error) {
    // It may still be queued; a start that nobody takes would hold its permit for ever.
    m_services.admission.Cancel(m_internal_id);
  } else {
    m_services.admission.Finish(m_internal_id);
  }
  m_record.candidates = m_choice.candidates();
  m_services.decisions.Append(std::move(m_record));
}

void RequestTask::Perform(const request::AcquireAdmission&) {
  limits::RequestArrived arrival;
  arrival.request = m_internal_id;
  arrival.account = m_request.account;
  arrival.service = m_request.service;
  arrival.priority = internal::PriorityOf(m_profile);
  arrival.deadline = m_deadline;
  arrival.work = m_request.size.prompt + m_request.size.output;
  m_services.admission.Arrive(
      arrival, [mailbox = mailbox()](const request::RequestEvent& event) { mailbox->Push(event); });
}

void RequestTask::Perform(const request::AcquireClaim& action) {
  m_claim_requested = true;
  ClaimOrder order;
  order.request = m_internal_id;
  order.account = m_request.account;
  order.service = m_request.service;
  order.key = m_request.key.value_or("");
  order.body =
      m_request.upstream.method + ' ' + m_request.upstream.target + '\n' + m_request.upstream.body;
  order.deadline = std::min(action.deadline, m_deadline);
  m_services.claims.Request(
      order, [mailbox = mailbox()](const request::RequestEvent& event) { mailbox->Push(event); });
}

void RequestTask::Perform(const request::ChooseUpstream& action) {
  m_choice.Choose(action.excluded);
}

void RequestTask::Perform(const request::AcquireRetryToken&) {
  // A refused connection cost no upstream any work, so only sent attempts use up the budget.
  const bool free = m_last_result == request::AttemptResult::kConnectFailed;
  if (free || m_service.retry_budget().TryRetry()) {
    mailbox()->Push(request::RetryGranted{});
  } else {
    mailbox()->Push(request::RetryDenied{});
  }
}

void RequestTask::Perform(const request::OpenAttempt& action) {
  const auto now = m_services.clock.Now();
  routing::AttemptStarted started;
  started.attempt = action.attempt;
  started.replica = action.upstream;
  started.size = m_request.size;
  if (m_profile.routing.prefix_affinity) started.prefix_key = m_request.prefix;
  m_service.router().Step(now, started);
  m_choice.Started(action.attempt, action.upstream);

  AttemptOrder order;
  order.attempt = action.attempt;
  order.upstream = m_service.EndpointOf(action.upstream);
  order.request = m_request.upstream;
  order.request.headers["X-Request-Id"] = action.attempt.value();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
  order.request.headers["X-Deadline-Ms"] = std::to_string(std::max<std::int64_t>(1, left.count()));
  if (action.resume_after.sequence) {
    order.request.headers["Last-Event-ID"] = std::to_string(*action.resume_after.sequence);
  }
  order.kind = m_request.kind;
  order.stream = m_request.stream;
  order.reuse_connection =
      m_profile.IsIdempotent(m_request.upstream.method, m_request.upstream.target);
  order.resume_after = action.resume_after;
  order.max_event_bytes = m_services.limits.event;
  order.time_limit = std::max(left, std::chrono::milliseconds(1));
  m_attempt_id = action.attempt;
  m_attempt = std::make_shared<AttemptRunner>(m_services.context, m_services.client,
                                              std::move(order), mailbox());
  m_attempt->Start();
}

void RequestTask::Perform(const request::CancelAttempt& action) {
  if (m_attempt && action.attempt == m_attempt_id) m_attempt->Cancel();
}

void RequestTask::Perform(const request::ForwardChunk& action) {
  if (m_output_events == 0) {
    m_service.router().Step(m_services.clock.Now(), routing::FirstTokenReceived{m_attempt_id});
  }
  ++m_output_events;
  if (static_cast<std::uint64_t>(m_output_events) % kProgressEvents == 0) {
    // Shows a slow replica before its first answers end.
    m_service.router().Step(m_services.clock.Now(),
                            routing::StreamProgressed{m_attempt_id, m_output_events});
  }
  // A recorded answer has no attempt, and only completions carry their id in the body.
  const bool completion = m_request.kind == settings::ServiceKind::kModel && m_attempt &&
                          m_attempt->head() && m_attempt->head()->status == core::kStatusOk;
  if (m_attempt) m_writer.SetHead(m_attempt->head());
  m_writer.Append(completion ? request::ReplaceAnswerId(action.payload, m_attempt_id, m_request.id)
                             : action.payload);
}

void RequestTask::Perform(const request::FinishAnswer&) {
  if (m_attempt) m_writer.SetHead(m_attempt->head());
  m_writer.Finish();
}

void RequestTask::Perform(const request::SendError& action) { m_writer.Fail(ToTypedError(action)); }

void RequestTask::Perform(const request::FinishClaim& action) {
  std::string recorded;
  const bool whole = action.outcome == request::ClaimOutcome::kCompleted && !m_request.stream;
  if (whole && m_writer.pending().size() <= kMaxRecordedBytes) {
    recorded = m_writer.pending();
  }
  m_claim_requested = false;
  m_services.claims.Finish(m_internal_id, action.outcome, recorded);
}

void RequestTask::Perform(const request::RecordAttempt& action) {
  const auto now = m_services.clock.Now();
  using request::AttemptResult;
  m_last_result = action.result;
  switch (action.result) {
    case AttemptResult::kCompleted:
      m_service.router().Step(now, routing::AttemptFinished{action.attempt, m_output_events});
      break;
    case AttemptResult::kCancelled:
      m_service.router().Step(now, routing::AttemptCancelled{action.attempt});
      break;
    case AttemptResult::kBroken:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kFailed:
    case AttemptResult::kForeign:
    case AttemptResult::kRefused:
      m_service.router().Step(now, routing::AttemptFailed{action.attempt});
      break;
  }
  m_choice.Ended(action.result == AttemptResult::kCompleted);
  telemetry::AttemptRecord record;
  record.attempt = action.attempt;
  record.upstream = action.upstream;
  record.result = std::string(ToString(action.result));
  m_record.attempts.push_back(std::move(record));
}

void RequestTask::Perform(const request::RecordOutcome& action) {
  SetOutcome(action);
  m_record.outcome = action.error ? std::string(ToString(*action.error)) : "completed";
  m_record.execution = action.execution;
  m_record.elapsed = action.elapsed;
  CountOutcome(action);
}

void RequestTask::CountOutcome(const request::RecordOutcome& action) {
  auto& metrics = m_services.metrics;
  const std::string service = m_request.service.value();
  metrics
      .GetCounter("cornelrelay_requests_total", "Finished requests.",
                  {{"service", service}, {"outcome", m_record.outcome}})
      .Add();
  metrics
      .GetCounter("cornelrelay_attempts_total", "Attempts sent to upstreams.",
                  {{"service", service}})
      .Add(static_cast<std::uint64_t>(action.attempts));
  metrics
      .GetHistogram("cornelrelay_request_seconds", "Time from a request to the end of its answer.",
                    {{"service", service}})
      .Observe(action.elapsed);
  metrics
      .GetLatency("cornelrelay_request_recent_seconds",
                  "Time from a request to the end of its answer, of recent requests.",
                  {{"service", service}})
      .Observe(m_services.clock.Now(), action.elapsed);
  m_services.log.Debug("request_finished", {{"request", m_request.id},
                                            {"account", m_request.account},
                                            {"service", m_request.service},
                                            {"outcome", m_record.outcome},
                                            {"execution", action.execution},
                                            {"attempts", action.attempts},
                                            {"elapsed_us", action.elapsed}});
}

}  // namespace cornelrelay::entry
