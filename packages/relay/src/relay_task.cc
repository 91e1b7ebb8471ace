#include "cornelrelay/relay/relay_task.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::relay {
namespace {

using std::chrono::milliseconds;

/// Connections that may fail for one request; each costs up to the connect timeout.
constexpr int kFreeConnectFailures = 2;

request::RequestPolicy PolicyOf(const RelayOrder& order) {
  request::RequestPolicy policy;
  policy.idempotent = order.route.IsRepeatable();
  policy.max_attempts = std::max(1, order.route.max_attempts);
  policy.max_uncounted_connect_failures = kFreeConnectFailures;
  policy.deadline = std::max<core::Duration>(order.answer_by - order.arrived, milliseconds(1));
  return policy;
}

request::RequestAttributes FactsOf(const RelayOrder& order, const core::RequestId& internal_id) {
  request::RequestAttributes facts;
  facts.id = order.request.id;
  facts.attempt_prefix = internal_id.value();
  facts.resumable = order.route.kind == routes::RequestKind::kStream && order.route.resumable;
  return facts;
}

FailureKind KindOf(request::RequestError error) {
  switch (error) {
    case request::RequestError::kOverloaded:
    case request::RequestError::kNoUpstream:
    case request::RequestError::kConnectFailed:
      return FailureKind::kOverloaded;
    case request::RequestError::kDeadlineExceeded:
      return FailureKind::kDeadline;
    case request::RequestError::kShutdown:
      return FailureKind::kShutdown;
    default:
      return FailureKind::kUpstreamFailed;
  }
}

}  // namespace

RelayTask::RelayTask(RelayServices& services, RelayOrder order, core::RequestId internal_id,
                     net::ResponseStream& response)
    : RequestDriver(
          services.context, services.clock, response,
          request::RequestMachine(PolicyOf(order), FactsOf(order, internal_id), order.arrived)),
      m_services(services),
      m_order(std::move(order)),
      m_internal_id(std::move(internal_id)),
      m_writer(response),
      m_silence(m_order.route.kind == routes::RequestKind::kStream) {}

boost::asio::awaitable<void> RelayTask::Run() {
  m_services.retries.Of(m_order.service).OnRequest();
  co_await Drive();
  m_services.dispatch.Withdraw(m_order.service, m_internal_id);
  co_await Finish();
}

core::Instant RelayTask::NextWake() const {
  const core::Instant check = MayRepeat() ? m_silence.NextCheck(Pace()) : core::Instant::max();
  return std::min(RequestDriver::NextWake(), check);
}

// Who waits and who is refused is decided together with the upstream.
void RelayTask::Perform(const request::AcquireAdmission&) { mailbox()->Push(request::Admitted{}); }

void RelayTask::Perform(const request::ChooseUpstream& action) {
  dispatch::RequestArrived arrival;
  arrival.request = m_internal_id;
  if (m_order.account) arrival.account = m_order.account->id;
  arrival.priority = m_order.Priority();
  arrival.target_latency = m_order.route.target_latency;
  arrival.deadline = m_order.answer_by;
  arrival.prompt_tokens = m_order.request.prompt_tokens;
  arrival.excluded = action.excluded;
  m_services.dispatch.Arrive(m_order.service, arrival,
                             [this, mailbox = mailbox()](const DispatchHub::Decision& decision) {
                               if (!mailbox->closed()) OnDecision(decision);
                             });
}

void RelayTask::OnDecision(const DispatchHub::Decision& decision) {
  std::visit(
      core::Overloaded{[this](const dispatch::Assigned& assigned) {
                         m_record.AddWait(assigned.waited);
                         m_services.log.Info("request_assigned",
                                             {{"request", m_order.request.id},
                                              {"service", m_order.service},
                                              {"upstream", assigned.upstream},
                                              {"own_in_flight", assigned.own_in_flight},
                                              {"peers_in_flight", assigned.peers_in_flight},
                                              {"waited_us", assigned.waited},
                                              {"configuration", m_order.configuration_version},
                                              {"directory", m_services.directory.version()}});
                         mailbox()->Push(request::UpstreamChosen{assigned.upstream});
                       },
                       [this](const dispatch::Rejected& rejected) {
                         m_services.log.Warning("request_rejected",
                                                {{"request", m_order.request.id},
                                                 {"service", m_order.service},
                                                 {"reason", ToString(rejected.reason)},
                                                 {"expected_wait_us", rejected.expected_wait},
                                                 {"waiting", rejected.waiting},
                                                 {"retry_after_us", rejected.retry_after},
                                                 {"configuration", m_order.configuration_version},
                                                 {"directory", m_services.directory.version()}});
                         mailbox()->Push(request::Refused{request::RequestError::kOverloaded,
                                                          rejected.retry_after});
                       }},
      decision);
}

void RelayTask::Perform(const request::AcquireRetryToken&) {
  // A refused connection cost no upstream any work, so only sent attempts use up the budget.
  const bool free = m_last_result == request::AttemptResult::kConnectFailed;
  const bool granted = free || m_services.retries.Of(m_order.service).TryRetry();
  m_services.log.Info("request_retry", {{"request", m_order.request.id},
                                        {"service", m_order.service},
                                        {"after", ToString(m_last_result)},
                                        {"granted", granted}});
  if (granted) {
    mailbox()->Push(request::RetryGranted{});
  } else {
    mailbox()->Push(request::RetryDenied{});
  }
}

void RelayTask::Perform(const request::OpenAttempt& action) {
  const auto entry = m_services.directory.Find(action.upstream);
  if (!entry || entry->leaving) {
    mailbox()->Push(request::ConnectFailed{action.attempt});
    return;
  }
  UpstreamRequest order;
  order.upstream = action.upstream;
  order.endpoint = entry->endpoint;
  order.request = m_order.request;
  if (m_order.account) order.account = m_order.account->id;
  order.resume_after = m_order.request.resume_after;
  if (action.resume_after.sequence > 0) order.resume_after = action.resume_after.sequence;
  order.deadline = m_order.answer_by;
  m_silence.StartAttempt(m_services.clock.Now());
  // A kept connection can be closed by the upstream while the request is on its way, and then
  // nobody knows whether it ran.
  const auto use = m_order.route.IsRepeatable() ? net::HttpClient::ConnectionUse::kReuse
                                                : net::HttpClient::ConnectionUse::kFresh;
  m_call = std::make_shared<UpstreamCall>(UpstreamCall::Io{m_services.context, m_services.clock,
                                                           m_services.client, m_services.upstreams},
                                          action.attempt, std::move(order), use, mailbox());
  m_call->Start();
}

void RelayTask::Perform(const request::CancelAttempt& action) {
  if (m_call && m_call->attempt() == action.attempt) m_call->Cancel();
}

void RelayTask::NoteOutput() {
  m_silence.RecordOutput(m_services.clock.Now());
  m_services.dispatch.NoteFirstOutput(m_order.service, m_internal_id);
}

void RelayTask::Perform(const request::ForwardChunk& action) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded_head, m_call->head()->event_stream);
  }
  NoteOutput();
  m_writer.Append(action.payload);
}

void RelayTask::Perform(const request::FinishAnswer&) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded_head, m_call->head()->event_stream);
  }
  m_writer.Finish();
}

void RelayTask::Perform(const request::ForwardErrorResponse&) {
  assert(m_failed_call && m_failed_call->head());
  m_writer.SetHead(m_failed_call->head()->forwarded_head, false);
  m_writer.Append(m_failed_call->failure_body());
  m_writer.Finish();
}

void RelayTask::Perform(const request::SendError& action) {
  const Failure failure{KindOf(action.error), action.execution, action.retry_after};
  m_writer.Fail(m_services.callers.Encode(failure, m_order.request.id));
}

dispatch::AttemptEnd RelayTask::EndOf(const request::RecordAttempt& action) const {
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
      // An upstream that let the whole time pass without a sign is not just slow.
      const bool timed_out = m_services.clock.Now() >= m_order.answer_by;
      return m_silence.silent() && timed_out ? dispatch::AttemptEnd::kFailed
                                             : dispatch::AttemptEnd::kCancelled;
    }
    case AttemptResult::kBroken:
    case AttemptResult::kConnectFailed:
    case AttemptResult::kForeign:
      return dispatch::AttemptEnd::kFailed;
  }
  assert(false);
  return dispatch::AttemptEnd::kFailed;
}

void RelayTask::Perform(const request::RecordAttempt& action) {
  m_last_result = action.result;
  if (action.result == request::AttemptResult::kFailed) m_failed_call = m_call;
  m_services.dispatch.NoteEnd(m_order.service, m_internal_id, EndOf(action));
  m_record.AddAttempt(action);
  m_silence.EndAttempt();
}

void RelayTask::Perform(const request::RecordOutcome& action) {
  SetOutcome(action);
  m_record.Report(m_order, action, m_services.clock.Now(), m_silence.first_output(), m_services.log,
                  m_services.metrics);
}

std::optional<dispatch::ServiceActivity> RelayTask::Pace() const {
  const auto* dispatcher = m_services.dispatch.Find(m_order.service);
  if (dispatcher == nullptr) return std::nullopt;
  return dispatch::ServiceActivity{dispatcher->mean_service_time(), dispatcher->last_output()};
}

bool RelayTask::MayRepeat() const {
  return m_order.route.IsRepeatable() && snapshot().attempts < m_order.route.max_attempts;
}

void RelayTask::GiveUpIfSilent() {
  const core::Instant now = m_services.clock.Now();
  if (!MayRepeat() || !m_silence.DetectStall(now, Pace())) return;
  if (m_services.retries.Of(m_order.service).saved() < 1) return;
  m_services.log.Warning("attempt_given_up", {{"request", m_order.request.id},
                                              {"service", m_order.service},
                                              {"attempt", m_call->attempt()},
                                              {"silent_us", now - m_silence.last_output()}});
  m_call->Cancel();
  Step(request::UpstreamClosed{m_call->attempt()});
}

}  // namespace cornelrelay::relay
