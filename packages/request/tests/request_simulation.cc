#include "request_simulation.h"

#include <utility>

#include "cornelrelay/request/answer_verifier.h"
#include "fake_upstream.h"

namespace cornelrelay::request {

namespace {

using std::chrono::milliseconds;

bool IsFinal(RequestState state) {
  return state == RequestState::kCompleted || state == RequestState::kFailed;
}

}  // namespace

RequestSimulation::RequestSimulation(SimulationSettings settings, ChoiceSequence choices,
                                     InjectedFault fault)
    : m_settings(std::move(settings)),
      m_choices(std::move(choices)),
      m_fault(fault),
      m_machine(m_settings.policy, m_settings.attributes, m_now, fault) {}

std::set<std::string> RequestSimulation::Run() {
  Step(Started{});
  // Late events still arrive after the request has ended.
  for (int round = 0; round < 300; ++round) {
    if (IsFinal(m_machine.state()) && m_replies.empty() && m_choices.exhausted()) break;
    if (!IsFinal(m_machine.state())) AdvanceTimeOrInterrupt();
    if (!m_replies.empty()) {
      const RequestEvent reply = m_replies.front();
      m_replies.pop_front();
      if (std::holds_alternative<ClaimGranted>(reply)) {
        m_claim_granted = true;
        m_claim_timely =
            m_machine.state() == RequestState::kAwaitingClaim && m_now < m_machine.WakeAt().value();
      }
      if (const auto* refused = std::get_if<AttemptRefused>(&reply)) RecordRefusal(*refused);
      // Until this report, the machine has to assume that the attempt was written.
      if (const auto* lost = std::get_if<ConnectFailed>(&reply);
          lost && m_open_attempt == lost->attempt && IsLostUnsent(lost->attempt)) {
        --m_sends;
      }
      if (std::holds_alternative<ErrorResponseReceived>(reply)) m_error_response_received = true;
      Step(reply);
      if (const auto* sent = std::get_if<BytesSent>(&reply)) RecordSend(*sent);
      continue;
    }
    // Mostly delivers events of the current attempt, and sometimes late events of a previous one.
    for (auto& [id, attempt] : m_sent_attempts) {
      if (m_open_attempt == id ? !m_choices.OneIn(6) : m_choices.OneIn(3)) Deliver(id, attempt);
    }
  }
  Expect(IsFinal(m_machine.state()), "the request ends");
  Expect(m_outcomes == 1, "one outcome is recorded");
  Expect(m_answered || m_error || m_caller_gone, "the caller gets an answer or an error");
  Expect(!m_claim_granted || m_claim_finishes == 1, "a granted claim is finished once");
  return m_violations;
}

void RequestSimulation::Step(const RequestEvent& event) {
  for (const RequestAction& action : m_machine.Step(m_now, event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
}

// The driver writes after the step of BytesSent. A connection that was cancelled by then sends
// nothing.
void RequestSimulation::RecordSend(const BytesSent& event) {
  if (m_open_attempt != event.attempt) return;
  ++m_sends;
  Expect(m_settings.policy.idempotent || m_sends <= 1, "a non-idempotent call is sent once");
  if (IsLostUnsent(event.attempt)) return;
  m_sent_attempts.emplace(
      event.attempt,
      Attempt{FaultyStream(m_last_opened, m_settings.answer_length, m_choices), SseParser(4096),
              StreamVerifier(event.attempt, m_last_opened.resume_after, m_fault)});
}

void RequestSimulation::RecordRefusal(const AttemptRefused& event) {
  if (m_sent_attempts.erase(event.attempt) == 0) return;
  --m_sends;
  ++m_refusals;
  // The rest of a refusal is read after the refusal has been reported.
  if (m_choices.OneIn(3)) m_replies.push_back(UpstreamClosed{event.attempt});
}

void RequestSimulation::AdvanceTimeOrInterrupt() {
  switch (m_choices.Below(40)) {
    case 37:
      m_now += milliseconds(200);
      break;
    case 38:
      m_caller_gone = true;
      return Step(CallerGone{});
    case 39:
      return Step(ShutdownLimitReached{});
    default:
      m_now += milliseconds(1);
  }
  if (m_now >= m_machine.WakeAt().value() && !m_choices.OneIn(3)) Step(TimePassed{});
}

void RequestSimulation::Deliver(const core::AttemptId& id, Attempt& attempt) {
  if (attempt.stream.empty()) {
    if (!std::exchange(attempt.closed, true)) Step(UpstreamClosed{id});
    return;
  }
  if (!m_settings.attributes.resumable) return DeliverWhole(id, attempt);
  const SseEvent event = attempt.stream.front();
  attempt.stream.pop_front();
  std::string text;
  if (!event.id.empty()) text.append("id: ").append(event.id).append("\n");
  text.append("data: ").append(event.data).append("\n\n");
  const std::size_t split = m_choices.Below(text.size());
  attempt.parser.Feed(text.substr(0, split));
  attempt.parser.Feed(text.substr(split));
  while (const auto parsed = attempt.parser.Next()) {
    const bool done = parsed->data == "[DONE]";
    Step(ChunkChecked{id, attempt.verifier.Check(*parsed), done ? "" : parsed->data});
  }
}

void RequestSimulation::DeliverWhole(const core::AttemptId& id, Attempt& attempt) {
  attempt.stream.clear();
  const WholeAnswer answer = FaultyAnswer(id, m_choices);
  const auto verdict = CheckModelAnswer(id, answer.content_length, answer.body, m_fault);
  Step(ChunkChecked{id, verdict, answer.body});
}

void RequestSimulation::Perform(const AcquireAdmission&) {
  if (m_choices.OneIn(20)) return m_replies.push_back(Refused{RequestError::kOverloaded, {}});
  m_replies.push_back(Admitted{});
}

void RequestSimulation::Perform(const AcquireClaim&) {
  switch (m_choices.Below(8)) {
    case 5:
      return m_replies.push_back(ClaimDenied{ClaimDenial::kOutcomeUnknown, {}});
    case 6:
      return m_replies.push_back(ClaimDenied{ClaimDenial::kCompleted, "recorded"});
    case 7:  // the grant arrives after the timeout of the claim
      m_replies.push_back(ClaimTimedOut{});
      break;
  }
  m_replies.push_back(ClaimGranted{});
}

void RequestSimulation::Perform(const ChooseUpstream& action) {
  Expect(action.excluded == m_tried, "upstreams already tried are excluded");
  if (m_choices.OneIn(16)) return m_replies.push_back(NoUpstream{});
  m_replies.push_back(UpstreamChosen{core::UpstreamId(std::to_string(m_opened_count + 1))});
}

void RequestSimulation::Perform(const AcquireRetryToken&) {
  if (m_choices.OneIn(6)) return m_replies.push_back(RetryDenied{});
  ++m_tokens;
  m_replies.push_back(RetryGranted{});
}

void RequestSimulation::Perform(const OpenAttempt& action) {
  Expect(!IsFinal(m_machine.state()) && !m_error && !m_answered,
         "no attempt is opened after the end");
  Expect(++m_opened_count <= m_settings.policy.max_attempts, "the attempt limit holds");
  Expect(m_opened_count - 1 <= m_tokens, "each retry has a token");
  Expect(!m_open_attempt, "only one attempt is open at a time");
  const auto forwarded = m_forwarded > 0 ? std::optional<std::uint64_t>(m_forwarded) : std::nullopt;
  Expect(action.resume_after.sequence == forwarded,
         "an attempt resumes after the last forwarded event");
  const bool needs_claim = !m_settings.policy.idempotent && m_settings.attributes.has_key;
  Expect(!needs_claim || m_claim_timely,
         "a call that needs a claim is sent only after its claim was granted in time");
  m_tried.insert(action.upstream);
  if (m_choices.OneIn(5)) return m_replies.push_back(ConnectFailed{action.attempt});
  m_open_attempt = action.attempt;
  m_last_opened = action;
  m_replies.push_back(BytesSent{action.attempt});
  if (m_choices.OneIn(10)) {
    m_lost_unsent.insert(action.attempt);
    return m_replies.push_back(ConnectFailed{action.attempt});
  }
  if (m_choices.OneIn(8)) return m_replies.push_back(AttemptRefused{action.attempt, {}});
  if (m_choices.OneIn(12)) return m_replies.push_back(ErrorResponseReceived{action.attempt});
  // An upstream that does not know the stream that it is to go on with.
  if (m_forwarded > 0 && m_choices.OneIn(10)) {
    m_replies.push_back(HeadReceived{action.attempt, 404, false});
    const std::string body = ChunkJson(action.attempt.value(), "no such stream", true);
    return m_replies.push_back(ChunkChecked{action.attempt, End{}, body});
  }
  m_replies.push_back(HeadReceived{action.attempt, m_choices.OneIn(12) ? 503 : 200,
                                   m_settings.attributes.resumable});
}

void RequestSimulation::Perform(const CancelAttempt& action) {
  if (m_open_attempt == action.attempt) m_open_attempt.reset();
}

void RequestSimulation::Perform(const ForwardChunk& action) {
  Expect(!m_answered && !m_error, "nothing is forwarded after the end");
  m_recorded_answer = action.payload == "recorded";
  if (m_recorded_answer) return;
  ++m_forwarded;
  Expect(ContentOf(action.payload) != "other", "no data of another request is forwarded");
  Expect(ContentOf(action.payload) == "own-" + std::to_string(m_forwarded),
         "chunks are forwarded in order");
}

void RequestSimulation::Perform(const FinishAnswer&) {
  Expect(!m_answered && !m_error, "the request ends only once");
  Expect(m_recorded_answer || m_forwarded == m_settings.answer_length,
         "a finished answer is complete");
  m_answered = true;
}

void RequestSimulation::Perform(const ForwardErrorResponse&) {
  Expect(!m_answered && !m_error, "the request ends only once");
  Expect(m_error_response_received && m_forwarded == 0,
         "only an error response of an upstream is forwarded");
  m_forwarded_error_response = m_answered = true;
}

void RequestSimulation::Perform(const SendError& action) {
  Expect(!m_answered && !m_error, "the request ends only once");
  Expect(action.execution != core::Execution::kNotRun || m_sends == 0,
         "not_run is reported only if every attempt was unsent or refused");
  const bool needs_claim = !m_settings.policy.idempotent && m_settings.attributes.has_key;
  Expect(action.execution != core::Execution::kUnknown || m_sends > 0 ||
             (needs_claim && !m_claim_timely),
         "unknown is reported only if an attempt was sent and not refused");
  m_error = action;
}

void RequestSimulation::Perform(const FinishClaim& action) {
  Expect(m_claim_granted, "only a granted claim is finished");
  Expect(action.outcome != ClaimOutcome::kReleased || m_sends == 0,
         "a claim is released only if no attempt was sent");
  Expect(action.outcome != ClaimOutcome::kCompleted || (m_answered && !m_forwarded_error_response),
         "a claim is completed only with an answer");
  ++m_claim_finishes;
}

void RequestSimulation::Perform(const RecordAttempt& action) {
  if (m_open_attempt == action.attempt) m_open_attempt.reset();
}

void RequestSimulation::Perform(const RecordOutcome&) { ++m_outcomes; }

}  // namespace cornelrelay::request
