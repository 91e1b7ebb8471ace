#include "cornelrelay/relay/relay_task.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::relay {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFlushBytes = 16'384;
/// Connections that may fail for one request; each costs up to the connect timeout.
constexpr int kFreeConnectFailures = 2;
/// A whole answer that takes this many times the usual one is given up and asked for elsewhere.
constexpr int kSlowAnswerFactor = 4;
constexpr milliseconds kLeastAnswerSilence{120};
/// A stream is given up when it is silent for this long while others of its service go on. Longer
/// than any pause of a sound engine, and well below the time after which callers leave.
constexpr milliseconds kStreamSilence{700};
/// Output of other requests within this time shows that the service goes on.
constexpr milliseconds kServiceActive{200};
/// Pause between two looks at a silent stream whose service is silent too.
constexpr milliseconds kSilenceRecheck{100};

request::RequestPolicy PolicyOf(const RelayOrder& order) {
  request::RequestPolicy policy;
  policy.idempotent = order.route.Repeatable();
  policy.max_attempts = std::max(1, order.route.max_attempts);
  policy.free_connect_failures = kFreeConnectFailures;
  policy.deadline = std::max<core::Duration>(order.answer_by - order.arrived, milliseconds(1));
  return policy;
}

request::RequestFacts FactsOf(const RelayOrder& order, const core::RequestId& internal_id) {
  request::RequestFacts facts;
  facts.id = order.request.id;
  facts.attempt_prefix = internal_id.value();
  facts.resumable = order.route.kind == routes::RequestKind::kStream && order.route.resumable;
  return facts;
}

FailureKind KindOf(request::RequestError error) {
  switch (error) {
    case request::RequestError::kOverloaded:
    case request::RequestError::kNoReplica:
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
    : m_services(services),
      m_order(std::move(order)),
      m_internal_id(std::move(internal_id)),
      m_response(response),
      m_writer(response),
      m_mailbox(std::make_shared<RequestMailbox>(services.context)),
      m_machine(PolicyOf(m_order), FactsOf(m_order, m_internal_id), m_order.arrived) {}

RelayTask::~RelayTask() { m_mailbox->Close(); }

boost::asio::awaitable<void> RelayTask::Run() {
  m_response.NotifyGone([mailbox = m_mailbox] { mailbox->Push(request::CallerGone{}); });
  m_services.retries.Of(m_order.service).OnRequest();
  Step(request::Started{});
  while (!m_outcome) {
    const auto wake = std::min(m_machine.WakeAt().value_or(core::Instant::max()), SilenceCheckAt());
    co_await m_mailbox->WaitUntil(m_services.clock.ToSteady(wake));
    while (m_writer.pending() < kFlushBytes) {
      std::optional<request::RequestEvent> event = m_mailbox->Pop();
      if (!event) break;
      Step(*event);
    }
    GiveUpIfSilent();
    Step(request::TimePassed{});
    co_await Flush();
    m_mailbox->MarkTaken();
  }
  m_services.dispatch.Withdraw(m_order.service, m_internal_id);
  co_await Flush();
  m_response.NotifyGone(nullptr);
  m_mailbox->Close();
}

void RelayTask::EndForShutdown() { m_mailbox->Push(request::ShutdownLimit{}); }

void RelayTask::Step(const request::RequestEvent& event) {
  for (const auto& action : m_machine.Step(m_services.clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
}

// Who waits and who is refused is decided together with the upstream.
void RelayTask::Perform(const request::AskAdmission&) { m_mailbox->Push(request::Admitted{}); }

// Requests on this platform have no key under which they could be claimed.
void RelayTask::Perform(const request::RequestClaim&) { assert(false); }
void RelayTask::Perform(const request::FinishClaim&) { assert(false); }

void RelayTask::Perform(const request::ChooseReplica& action) {
  dispatch::RequestArrived arrival;
  arrival.request = m_internal_id;
  if (m_order.account) arrival.account = m_order.account->id;
  arrival.priority = m_order.Priority();
  arrival.target_latency = m_order.route.target_latency;
  arrival.deadline = m_order.answer_by;
  arrival.prompt_tokens = m_order.request.prompt_tokens;
  arrival.excluded = action.excluded;
  m_services.dispatch.Arrive(m_order.service, arrival,
                             [this, mailbox = m_mailbox](const DispatchHub::Decision& decision) {
                               if (!mailbox->closed()) OnDecision(decision);
                             });
}

void RelayTask::OnDecision(const DispatchHub::Decision& decision) {
  std::visit(
      core::Overloaded{[this](const dispatch::Assigned& assigned) {
                         m_waited += assigned.waited;
                         m_services.log.Info("request_assigned",
                                             {{"request", m_order.request.id},
                                              {"service", m_order.service},
                                              {"upstream", assigned.upstream},
                                              {"own_in_flight", assigned.own},
                                              {"peers_in_flight", assigned.peers},
                                              {"waited_us", assigned.waited},
                                              {"configuration", m_order.configuration_version},
                                              {"directory", m_services.directory.version()}});
                         m_mailbox->Push(request::ReplicaChosen{assigned.upstream});
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
                         m_mailbox->Push(request::Refused{request::RequestError::kOverloaded,
                                                          rejected.retry_after});
                       }},
      decision);
}

void RelayTask::Perform(const request::AskRetryToken&) {
  // A refused connection cost no upstream any work, so only sent attempts use up the budget.
  const bool free = m_last_result == request::AttemptResult::kConnectFailed;
  const bool granted = free || m_services.retries.Of(m_order.service).TryRetry();
  m_services.log.Info("request_retry", {{"request", m_order.request.id},
                                        {"service", m_order.service},
                                        {"after", ToString(m_last_result)},
                                        {"granted", granted}});
  if (granted) {
    m_mailbox->Push(request::RetryGranted{});
  } else {
    m_mailbox->Push(request::RetryDenied{});
  }
}

void RelayTask::Perform(const request::OpenAttempt& action) {
  const auto entry = m_services.directory.Find(action.upstream);
  if (!entry || entry->leaving) {
    m_mailbox->Push(request::ConnectFailed{action.attempt});
    return;
  }
  UpstreamOrder order;
  order.upstream = action.upstream;
  order.endpoint = entry->endpoint;
  order.request = m_order.request;
  if (m_order.account) order.account = m_order.account->id;
  order.resume_after = m_order.request.resume_after;
  if (action.resume_after.sequence > 0) order.resume_after = action.resume_after.sequence;
  order.deadline = m_order.answer_by;
  m_sent_at = m_last_output = m_silence_checked = m_services.clock.Now();
  // A kept connection can be closed by the upstream while the request is on its way, and then
  // nobody knows whether it ran.
  const auto use = m_order.route.Repeatable() ? net::HttpClient::ConnectionUse::kReuse
                                              : net::HttpClient::ConnectionUse::kFresh;
  m_call = std::make_shared<UpstreamCall>(UpstreamCall::Io{m_services.context, m_services.clock,
                                                           m_services.client, m_services.upstreams},
                                          action.attempt, std::move(order), use, m_mailbox);
  m_call->Start();
}

void RelayTask::Perform(const request::CancelAttempt& action) {
  if (m_call && m_call->attempt() == action.attempt) m_call->Cancel();
}

void RelayTask::NoteOutput() {
  m_last_output = m_silence_checked = m_services.clock.Now();
  if (!m_first_output) m_first_output = m_last_output;
  m_services.dispatch.NoteFirstOutput(m_order.service, m_internal_id);
}

void RelayTask::Perform(const request::ForwardChunk& action) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded, m_call->head()->event_stream);
  }
  NoteOutput();
  m_writer.Append(action.payload);
}

void RelayTask::Perform(const request::FinishAnswer&) {
  assert(m_call && m_call->head());
  if (!m_writer.has_head()) {
    m_writer.SetHead(m_call->head()->forwarded, m_call->head()->event_stream);
  }
  m_writer.Finish();
}

void RelayTask::Perform(const request::ForwardFailure&) {
  assert(m_failed_call && m_failed_call->head());
  m_writer.SetHead(m_failed_call->head()->forwarded, false);
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
      return dispatch::AttemptEnd::kErrors;
    case AttemptResult::kRefused: {
      if (m_call->head()->misdirected) return dispatch::AttemptEnd::kGone;
      const auto& culprit = m_call->head()->culprit;
      return culprit && *culprit != action.upstream ? dispatch::AttemptEnd::kBlocked
                                                    : dispatch::AttemptEnd::kRefused;
    }
    case AttemptResult::kCancelled: {
      // An upstream that let the whole time pass without a sign is not just slow.
      const bool silent = m_last_output == m_sent_at;
      const bool timed_out = m_services.clock.Now() >= m_order.answer_by;
      return silent && timed_out ? dispatch::AttemptEnd::kFailed : dispatch::AttemptEnd::kCancelled;
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
  if (!m_tried.empty()) m_tried += ' ';
  m_tried.append(action.upstream.value()).append("=").append(ToString(action.result));
  m_sent_at.reset();
}

void RelayTask::Perform(const request::RecordOutcome& action) {
  m_outcome = action;
  LogOutcome(action);
}

core::Duration RelayTask::SilenceLimit() const {
  if (m_order.route.kind == routes::RequestKind::kStream) return kStreamSilence;
  const auto* dispatcher = m_services.dispatch.Find(m_order.service);
  const core::Duration usual = dispatcher ? dispatcher->hold() : core::Duration{};
  return std::max<core::Duration>(usual * kSlowAnswerFactor, kLeastAnswerSilence);
}

core::Instant RelayTask::SilenceCheckAt() const {
  const bool repeatable = m_order.route.Repeatable();
  const bool attempts_left = m_machine.snapshot().attempts < m_order.route.max_attempts;
  if (!m_sent_at || !repeatable || !attempts_left) return core::Instant::max();
  return std::max(m_last_output + SilenceLimit(), m_silence_checked + kSilenceRecheck);
}

void RelayTask::GiveUpIfSilent() {
  const core::Instant now = m_services.clock.Now();
  if (now < SilenceCheckAt()) return;
  m_silence_checked = now;
  const auto* dispatcher = m_services.dispatch.Find(m_order.service);
  const bool stream = m_order.route.kind == routes::RequestKind::kStream;
  // When the whole service stands still, another upstream would not answer either.
  const bool others_go_on =
      dispatcher != nullptr && now - dispatcher->last_output() < kServiceActive;
  if (stream && !others_go_on) return;
  if (m_services.retries.Of(m_order.service).saved() < 1) return;
  m_services.log.Warning("attempt_given_up", {{"request", m_order.request.id},
                                              {"service", m_order.service},
                                              {"attempt", m_call->attempt()},
                                              {"silent_us", now - m_last_output}});
  m_call->Cancel();
  Step(request::UpstreamClosed{m_call->attempt()});
}

void RelayTask::LogOutcome(const request::RecordOutcome& action) {
  const std::string outcome = action.error ? std::string(ToString(*action.error)) : "completed";
  const core::Instant now = m_services.clock.Now();
  const auto first_output = m_first_output ? *m_first_output - m_order.arrived : core::Duration{-1};
  const auto level = action.error ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kInfo;
  m_services.log.LogEvent(
      level, "request_finished",
      {{"request", m_order.request.id},
       {"account", m_order.account ? m_order.account->id : core::ClientAccountId()},
       {"route", m_order.route.name},
       {"service", m_order.service},
       {"outcome", outcome},
       {"execution", action.execution},
       {"attempts", action.attempts},
       {"upstreams", m_tried},
       {"configuration", m_order.configuration_version},
       {"waited_us", m_waited},
       {"first_output_us", first_output},
       {"elapsed_us", action.elapsed},
       {"left_us", m_order.answer_by - now}});
  auto& metrics = m_services.metrics;
  const std::string service = m_order.service.value();
  metrics
      .GetCounter("cornelrelay_requests_total", "Finished requests.",
                  {{"service", service}, {"outcome", outcome}})
      .Add();
  metrics
      .GetCounter("cornelrelay_attempts_total", "Attempts sent to upstreams.",
                  {{"service", service}})
      .Add(static_cast<std::uint64_t>(action.attempts));
  metrics
      .GetHistogram("cornelrelay_request_seconds", "Time from a request to the end of its answer.",
                    {{"service", service}, {"outcome", outcome}})
      .Observe(action.elapsed);
  if (!m_first_output) return;
  metrics
      .GetHistogram("cornelrelay_first_output_seconds", "Time from a request to its first output.",
                    {{"service", service}})
      .Observe(first_output);
}

boost::asio::awaitable<void> RelayTask::Flush() {
  bool gone = false;
  try {
    co_await m_writer.Flush();
  } catch (const net::CallerGone&) {
    gone = true;
  }
  if (gone) m_mailbox->Push(request::CallerGone{});
}

}  // namespace cornelrelay::relay
