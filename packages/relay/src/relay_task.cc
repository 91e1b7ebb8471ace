#include "cornelrelay/relay/relay_task.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::relay {
namespace {

using std::chrono::milliseconds;

/// Failed connections per request that do not count as attempts. The number is limited because each
/// can take as long as the connect timeout.
constexpr int kMaxUncountedConnectFailures = 2;
/// Retry-After of a request that was not run, if nothing else gives one. Within this time the
/// statuses of the other entry processes, which are up to 250 ms old, and the results of other
/// requests show whether an upstream is usable again.
constexpr milliseconds kUnsentRetryAfter{250};
/// Multiple of the mean service time within which nearly all requests of a service end.
constexpr int kExpectedTimeFactor = 2;

request::RequestPolicy PolicyOf(const RoutedRequest& routed) {
  request::RequestPolicy policy;
  policy.idempotent = routed.route.IsRepeatable();
  policy.max_attempts = std::max(1, routed.route.max_attempts);
  policy.max_uncounted_connect_failures = kMaxUncountedConnectFailures;
  policy.deadline = std::max<core::Duration>(routed.deadline - routed.arrived, milliseconds(1));
  return policy;
}

request::RequestAttributes AttributesOf(const RoutedRequest& routed,
                                        const core::RequestId& internal_id) {
  request::RequestAttributes attributes;
  attributes.id = routed.request.id;
  attributes.attempt_prefix = internal_id.value();
  attributes.resumable =
      routed.route.kind == routes::RequestKind::kStream && routed.route.resumable;
  return attributes;
}

quarantine::RequestFeatures FeaturesOf(const RoutedRequest& routed) {
  quarantine::RequestFeatures features;
  const RelayRequest& request = routed.request;
  features.request = quarantine::Fingerprint::OfRequest(
      routed.service, routed.account ? routed.account->id : core::ClientAccountId(), request.method,
      request.target, request.body.view());
  for (const std::string& segment : request.shared_segments) {
    features.shared_segments.push_back(quarantine::Fingerprint::OfSegment(routed.service, segment));
  }
  return features;
}

dispatch::ExpectedResponse ExpectedResponseOf(const routes::Route& route) {
  return {route.kind == routes::RequestKind::kStream, route.target_latency, route.target_gap,
          route.CallerPatience()};
}

FailureKind FailureKindOf(request::RequestError error) {
  switch (error) {
    case request::RequestError::kOverloaded:
    case request::RequestError::kNoUpstream:
    case request::RequestError::kConnectFailed:
      return FailureKind::kOverloaded;
    case request::RequestError::kDeadlineExceeded:
      return FailureKind::kDeadline;
    case request::RequestError::kShutdown:
      return FailureKind::kShutdown;
    case request::RequestError::kRequestQuarantined:
      return FailureKind::kQuarantined;
    default:
      return FailureKind::kUpstreamFailed;
  }
}

}  // namespace

RelayTask::RelayTask(RelayServices& services, RoutedRequest routed, core::RequestId internal_id,
                     net::ResponseStream& response)
    : RequestDriver(services.context, services.clock, response,
                    request::RequestMachine(PolicyOf(routed), AttributesOf(routed, internal_id),
                                            routed.arrived)),
      m_services(services),
      m_routed(std::move(routed)),
      m_internal_id(std::move(internal_id)),
      m_features(FeaturesOf(m_routed)),
      m_writer(response),
      m_stall_detector(ExpectedResponseOf(m_routed.route)) {}

boost::asio::awaitable<void> RelayTask::Run() {
  m_services.retries.ForService(m_routed.service).OnRequest();
  co_await Drive();
  DropNextPlace();
  m_place.reset();
  co_await Finish();
}

core::Instant RelayTask::NextWake() const {
  const bool check_needed = !m_next_place && MayReplaceAttempt();
  const core::Instant check =
      check_needed ? m_stall_detector.NextCheck(CurrentActivity()) : core::Instant::max();
  return std::min(RequestDriver::NextWake(), check);
}

// Always admitted here: the dispatcher decides about waiting and refusal when it chooses the
// upstream.
void RelayTask::Perform(const request::AcquireAdmission&) { mailbox()->Push(request::Admitted{}); }

bool RelayTask::RefuseIfQuarantined() {
  const auto retry_after = m_services.quarantine.HoldBack(m_internal_id, m_features);
  if (!retry_after) return false;
  m_services.log.Warning("request_held_back", {{"request", m_routed.request.id},
                                               {"service", m_routed.service},
                                               {"retry_after_us", *retry_after}});
  mailbox()->Push(request::Refused{request::RequestError::kRequestQuarantined, *retry_after});
  return true;
}

core::Duration RelayTask::ExpectedTime() const {
  const auto* dispatcher = m_services.dispatchers.FindDispatcher(m_routed.service);
  const core::Duration usual =
      dispatcher ? dispatcher->mean_service_time() * kExpectedTimeFactor : core::Duration{};
  if (m_routed.route.kind == routes::RequestKind::kStream) return usual;
  // A response may take as long as the route aims at.
  return std::max(usual, m_routed.route.target_latency);
}

bool RelayTask::RefuseIfStopping() {
  const core::Duration needed = ExpectedTime();
  if (snapshot().sent || m_services.shutdown.Allows(m_services.clock.Now(), needed)) return false;
  m_services.log.Warning(
      "request_too_late",
      {{"request", m_routed.request.id}, {"service", m_routed.service}, {"expected_us", needed}});
  mailbox()->Push(request::Refused{request::RequestError::kShutdown, std::nullopt});
  return true;
}

void RelayTask::EndIfUnstartable() {
  if (snapshot().state == request::RequestState::kAwaitingUpstreamChoice) RefuseIfStopping();
}

void RelayTask::EndIfQuarantined() {
  if (m_writer.has_head() || m_services.quarantine.MayGoOn(m_internal_id, m_features)) return;
  EndForQuarantine();
}

std::unique_ptr<UpstreamPlace> RelayTask::MakePlace() {
  const core::RequestId id(m_internal_id.value() + '/' + std::to_string(++m_places));
  return std::make_unique<UpstreamPlace>(m_services.dispatchers, m_routed.service, id);
}

void RelayTask::Perform(const request::ChooseUpstream& action) {
  if (RefuseIfQuarantined() || RefuseIfStopping()) return;
  if (std::exchange(m_replacing, false)) {
    m_place = std::move(m_next_place);
    OnDecision(*std::exchange(m_next_assigned, std::nullopt));
    return;
  }
  dispatch::RequestArrived arrival;
  if (m_routed.account) arrival.account = m_routed.account->id;
  arrival.priority = m_routed.Priority();
  arrival.target_latency = m_routed.route.target_latency;
  arrival.deadline = m_routed.deadline;
  arrival.prompt_tokens = m_routed.request.prompt_tokens;
  arrival.excluded = action.excluded;
  m_place = MakePlace();
  m_place->Request(arrival,
                   [this, mailbox = mailbox()](const ServiceDispatchers::Decision& decision) {
                     if (!mailbox->closed()) OnDecision(decision);
                   });
}

void RelayTask::OnDecision(const ServiceDispatchers::Decision& decision) {
  std::visit(
      core::Overloaded{[this](const dispatch::Assigned& assigned) {
                         m_record.AddQueueWait(assigned.waited);
                         m_services.log.Info("request_assigned",
                                             {{"request", m_routed.request.id},
                                              {"service", m_routed.service},
                                              {"upstream", assigned.upstream},
                                              {"own_in_flight", assigned.own_in_flight},
                                              {"peers_in_flight", assigned.peers_in_flight},
                                              {"waited_us", assigned.waited},
                                              {"configuration", m_routed.configuration_version},
                                              {"directory", m_services.directory.version()}});
                         if (RefuseIfQuarantined() || RefuseIfStopping()) {
                           m_place.reset();
                           return;
                         }
                         mailbox()->Push(request::UpstreamChosen{assigned.upstream});
                       },
                       [this](const dispatch::Rejected& rejected) {
                         m_services.log.Warning("request_rejected",
                                                {{"request", m_routed.request.id},
                                                 {"service", m_routed.service},
                                                 {"reason", ToString(rejected.reason)},
                                                 {"priority", rejected.priority},
                                                 {"expected_wait_us", rejected.expected_wait},
                                                 {"waiting", rejected.waiting},
                                                 {"retry_after_us", rejected.retry_after},
                                                 {"configuration", m_routed.configuration_version},
                                                 {"directory", m_services.directory.version()}});
                         mailbox()->Push(request::Refused{request::RequestError::kOverloaded,
                                                          rejected.retry_after});
                       }},
      decision);
}

void RelayTask::Perform(const request::AcquireRetryToken&) {
  if (m_replacing) {
    mailbox()->Push(request::RetryGranted{});
  } else if (m_examining) {
    m_retry_waiting = true;
  } else {
    DecideRetry();
  }
}

void RelayTask::ExamineLostAttempt(const core::UpstreamId& upstream) {
  const bool answer_begun = m_call->head().has_value();
  const auto on_done = [this, mailbox = mailbox()] {
    if (mailbox->closed()) return;
    m_examining = false;
    if (!std::exchange(m_retry_waiting, false)) return;
    if (m_services.quarantine.HoldBack(m_internal_id, m_features)) {
      EndForQuarantine();
    } else {
      DecideRetry();
    }
  };
  m_examining = m_services.quarantine.Examine({upstream, answer_begun, m_features}, on_done);
}

void RelayTask::DecideRetry() {
  // A failed connection causes no work on any upstream, so it does not use the retry budget.
  const bool nothing_sent = m_last_result == request::AttemptResult::kConnectFailed;
  const bool granted = nothing_sent || m_services.retries.ForService(m_routed.service).TryRetry();
  m_services.log.Info("request_retry", {{"request", m_routed.request.id},
                                        {"service", m_routed.service},
                                        {"after", ToString(m_last_result)},
                                        {"granted", granted}});
  if (granted) {
    mailbox()->Push(request::RetryGranted{});
  } else {
    mailbox()->Push(request::RetryDenied{});
  }
}

void RelayTask::Perform(const request::OpenAttempt& action) {
  m_call.reset();
  const auto entry = m_services.directory.FindUsable(action.upstream);
  if (!entry) {
    // It was assigned just before its entry or an order of the operator ruled it out.
    m_services.log.Info("attempt_not_opened", {{"request", m_routed.request.id},
                                               {"upstream", action.upstream},
                                               {"directory", m_services.directory.version()}});
    mailbox()->Push(request::ConnectFailed{action.attempt});
    return;
  }
  m_upstream_incarnation = entry->incarnation;
  UpstreamRequest message;
  message.upstream = action.upstream;
  message.endpoint = entry->endpoint;
  message.request = m_routed.request;
  if (m_routed.account) message.account = m_routed.account->id;
  message.priority = m_routed.Priority();
  message.resume_after = m_routed.request.resume_after;
  if (action.resume_after.sequence) message.resume_after = action.resume_after.sequence;
  message.caller_patience = m_routed.route.CallerPatience();
  message.deadline = m_routed.deadline;
  m_stall_detector.StartAttempt(m_services.clock.Now());
  // The upstream may close an idle connection while the request is in transit. It is then unknown
  // whether the request was executed, so only repeatable requests reuse connections.
  // An upstream may also answer an earlier attempt once more on its connection. The attempts of a
  // request have the same id, so that answer would be taken for the one to this attempt.
  const bool first_try = m_tried.insert(action.upstream).second;
  const auto use = m_routed.route.IsRepeatable() && first_try
                       ? net::HttpClient::ConnectionUse::kReuse
                       : net::HttpClient::ConnectionUse::kFresh;
  m_call = std::make_shared<UpstreamCall>(
      UpstreamCall::Dependencies{m_services.context, m_services.clock, m_services.client,
                                 m_services.upstreams, m_services.crash_probe, m_services.pauses,
                                 m_services.response_bytes, m_services.metrics, m_services.log},
      action.attempt, std::move(message), use, mailbox());
  m_call->Start();
}

void RelayTask::Perform(const request::CancelAttempt& action) {
  if (m_call && m_call->attempt() == action.attempt) m_call->Cancel();
}

void RelayTask::RecordHead() {
  if (!m_call || !m_call->head()) return;
  const UpstreamResponseHead& head = *m_call->head();
  const core::UpstreamId& upstream = m_call->upstream_id();
  // A refusal need not come from what names the limit, so it does not show that there is none.
  if (!head.not_executed || head.rate_limit) {
    m_services.dispatchers.RecordRateLimit(m_routed.service, upstream, head.rate_limit);
  }
  if (head.leaving) m_services.on_upstream_leaving(upstream, m_upstream_incarnation);
  if (head.backoff) m_services.dispatchers.BackOff(m_routed.service, upstream, *head.backoff);
}

void RelayTask::RecordOutput() {
  DropNextPlace();
  m_place->RecordOutput();
  // After the dispatcher, so that this output is no sign of life after the last output.
  m_stall_detector.RecordOutput(m_services.clock.Now());
  if (m_call->gone_on()) m_services.quarantine.RecordOutput(m_features);
}

void RelayTask::Perform(const request::ForwardChunk& action) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded_head, m_call->head()->event_stream);
    RecordHead();
  }
  // Events without an id, such as comments, do not advance a stream.
  const auto event_id = m_call->last_event_id();
  const bool advanced = std::exchange(m_last_event_id, event_id) != event_id;
  if (advanced || !m_call->head()->event_stream) RecordOutput();
  m_writer.Append(action.payload);
}

void RelayTask::Perform(const request::FinishAnswer&) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded_head, m_call->head()->event_stream);
  }
  m_services.quarantine.RecordOutput(m_features);
  m_writer.Finish();
}

void RelayTask::Perform(const request::ForwardErrorResponse&) {
  assert(m_failed_call && m_failed_call->head());
  const net::HttpResponseHead& head = m_failed_call->head()->forwarded_head;
  if (core::PromisesNotRun(head.status)) {
    // The upstream gave no proof that it has not run the request, and earlier attempts may have
    // run.
    const Failure failure{FailureKind::kUpstreamFailed, core::Execution::kUnknown, std::nullopt};
    net::HttpResponse answer = m_services.callers.Encode(failure, m_routed.request.id);
    ReportUnknownOutcome(std::to_string(answer.status), ToString(failure.kind));
    m_writer.Fail(std::move(answer));
    return;
  }
  if (head.status == core::kStatusBadGateway || head.status == core::kStatusGatewayTimeout) {
    ReportUnknownOutcome(std::to_string(head.status), "answer_of_upstream");
  }
  m_writer.SetHead(head, false);
  m_writer.Append(m_failed_call->TakeFailureBody());
  m_writer.Finish();
}

void RelayTask::Perform(const request::SendError& action) {
  Failure failure{FailureKindOf(action.error), action.execution, action.retry_after};
  if (!failure.retry_after && failure.execution == core::Execution::kNotRun) {
    failure.retry_after = kUnsentRetryAfter;
  }
  net::HttpResponse answer = m_services.callers.Encode(failure, m_routed.request.id);
  if (m_writer.started()) {
    ReportUnknownOutcome("cut", ToString(action.error));
  } else if (failure.execution == core::Execution::kUnknown) {
    ReportUnknownOutcome(std::to_string(answer.status), ToString(action.error));
  }
  m_writer.Fail(std::move(answer));
}

void RelayTask::RecordUnknownCause(request::AttemptResult result) {
  using request::AttemptResult;
  switch (result) {
    case AttemptResult::kBroken:
      if (m_replacing) {
        m_unknown_cause = "replaced";
      } else if (m_call->break_cause()) {
        m_unknown_cause = "broken_" + std::string(ToString(*m_call->break_cause()));
      } else {
        m_unknown_cause = "invalid_answer";
      }
      return;
    case AttemptResult::kFailed:
      m_unknown_cause = "error_response";
      return;
    case AttemptResult::kForeign:
      m_unknown_cause = "foreign_answer";
      return;
    case AttemptResult::kCancelled:
      // The reason why the request ended is the cause.
      m_unknown_cause.reset();
      return;
    case AttemptResult::kCompleted:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kRefused:
      return;
  }
  assert(false);
}

void RelayTask::ReportUnknownOutcome(const std::string& answer, std::string_view ended_by) {
  const std::string cause = m_unknown_cause.value_or(std::string(ended_by));
  m_services.log.Warning("outcome_unknown",
                         {{"request", m_routed.request.id},
                          {"service", m_routed.service},
                          {"upstream", m_call ? m_call->upstream_id() : core::UpstreamId()},
                          {"answer", answer},
                          {"cause", cause},
                          {"ended_by", ended_by},
                          {"elapsed_us", m_services.clock.Now() - m_routed.arrived}});
  m_services.metrics
      .GetCounter("cornelrelay_unknown_outcome_total",
                  "Answers 502 or 504, and answers cut off, by the cause of the last attempt that "
                  "may have run.",
                  {{"answer", answer}, {"cause", cause}})
      .Add();
}

dispatch::AttemptEnd RelayTask::AttemptEndOf(const request::RecordAttempt& action) const {
  using request::AttemptResult;
  switch (action.result) {
    case AttemptResult::kCompleted:
      return dispatch::AttemptEnd::kCompleted;
    case AttemptResult::kFailed:
      return dispatch::AttemptEnd::kErrorResponse;
    case AttemptResult::kRefused: {
      if (m_call->head()->misdirected) return dispatch::AttemptEnd::kMisdirected;
      const auto& blocked_by = m_call->head()->blocked_by;
      return blocked_by && *blocked_by != action.upstream ? dispatch::AttemptEnd::kBlocked
                                                          : dispatch::AttemptEnd::kRefused;
    }
    case AttemptResult::kCancelled: {
      // An upstream that sent nothing until the deadline counts as failed, not as slow.
      const bool timed_out = m_services.clock.Now() >= m_routed.deadline;
      return m_stall_detector.silent() && timed_out ? dispatch::AttemptEnd::kFailed
                                                    : dispatch::AttemptEnd::kCancelled;
    }
    case AttemptResult::kConnectFailed:
    case AttemptResult::kBroken:
      // Without a call this process did not try, which says nothing about the upstream.
      if (!m_call) return dispatch::AttemptEnd::kCancelled;
      // An upstream that gives output to others has not failed; this process ends the attempt.
      if (m_replacing &&
          m_stall_detector.UpstreamAlive(m_services.clock.Now(), CurrentActivity())) {
        return dispatch::AttemptEnd::kCancelled;
      }
      return dispatch::AttemptEnd::kFailed;
    case AttemptResult::kForeign:
      return dispatch::AttemptEnd::kFailed;
  }
  assert(false);
  return dispatch::AttemptEnd::kFailed;
}

void RelayTask::Perform(const request::RecordAttempt& action) {
  m_last_result = action.result;
  RecordHead();
  RecordUnknownCause(action.result);
  if (action.result == request::AttemptResult::kFailed) m_failed_call = m_call;
  m_place->RecordAttemptEnd(AttemptEndOf(action));
  if (!m_replacing) DropNextPlace();
  if (action.result == request::AttemptResult::kBroken && m_call->lost_at_start()) {
    ExamineLostAttempt(action.upstream);
  }
  m_record.AddAttempt(action);
  m_stall_detector.EndAttempt();
}

void RelayTask::Perform(const request::RecordOutcome& action) {
  SetOutcome(action);
  m_record.Report(m_routed, action, m_services.clock.Now(), m_stall_detector.first_output(),
                  m_services.log, m_services.metrics);
}

std::optional<dispatch::ServiceActivity> RelayTask::CurrentActivity() const {
  const auto* dispatcher = m_services.dispatchers.FindDispatcher(m_routed.service);
  if (dispatcher == nullptr) return std::nullopt;
  const core::Instant sign_of_life =
      m_call ? dispatcher->LastSignOfLife(m_call->upstream_id()) : core::Instant{};
  return dispatch::ServiceActivity{dispatcher->mean_service_time(), dispatcher->last_output(),
                                   sign_of_life};
}

bool RelayTask::MayReplaceAttempt() const {
  return m_stall_detector.in_flight() && m_routed.route.IsRepeatable() && snapshot().may_retry;
}

void RelayTask::OnEventsProcessed() {
  SeekPlaceIfStalled();
  if (m_next_assigned && !m_replacing) ReplaceAttempt();
}

void RelayTask::SeekPlaceIfStalled() {
  if (m_next_place || !MayReplaceAttempt()) return;
  const core::Instant now = m_services.clock.Now();
  if (!m_stall_detector.DetectStall(now, CurrentActivity())) return;
  if (m_services.retries.ForService(m_routed.service).saved() < 1) return;
  m_services.log.Warning("attempt_stalled", {{"request", m_routed.request.id},
                                             {"service", m_routed.service},
                                             {"attempt", m_call->attempt()},
                                             {"upstream", m_call->upstream_id()},
                                             {"silent_us", now - m_stall_detector.last_output()}});
  m_next_place = MakePlace();
  dispatch::PlaceSought sought;
  sought.prompt_tokens = m_routed.request.prompt_tokens;
  sought.excluded = snapshot().tried;
  m_next_place->Seek(sought,
                     [this, mailbox = mailbox()](const ServiceDispatchers::Decision& decision) {
                       if (mailbox->closed()) return;
                       m_next_assigned = std::get<dispatch::Assigned>(decision);
                       // Wakes the request, which may have output of the attempt to handle first.
                       mailbox->Push(request::TimePassed{});
                     });
}

void RelayTask::ReplaceAttempt() {
  const auto entry = m_services.directory.FindUsable(m_next_assigned->upstream);
  const bool usable = entry && MayReplaceAttempt();
  if (!usable || !m_services.retries.ForService(m_routed.service).TryRetry()) {
    return DropNextPlace();
  }
  m_services.log.Warning("attempt_given_up",
                         {{"request", m_routed.request.id},
                          {"service", m_routed.service},
                          {"attempt", m_call->attempt()},
                          {"silent_us", m_services.clock.Now() - m_stall_detector.last_output()},
                          {"next_upstream", m_next_assigned->upstream},
                          {"waited_us", m_next_assigned->waited}});
  m_replacing = true;
  const bool connecting = snapshot().state == request::RequestState::kConnecting;
  m_call->Cancel();
  if (connecting) {
    // Nothing was written, and after Cancel() nothing will be.
    Step(request::ConnectFailed{m_call->attempt()});
  } else {
    Step(request::UpstreamClosed{m_call->attempt()});
  }
}

void RelayTask::DropNextPlace() {
  m_next_place.reset();
  m_next_assigned.reset();
  m_replacing = false;
}

}  // namespace cornelrelay::relay
