#include "request_world.h"

#include <utility>

#include "cornelrelay/request/answer_verifier.h"
#include "fake_upstream.h"

namespace cornelrelay::request {

namespace {

using std::chrono::milliseconds;

bool Over(RequestState state) {
  return state == RequestState::kCompleted || state == RequestState::kFailed;
}

}  // namespace

RequestWorld::RequestWorld(WorldSettings settings, Tape tape, InjectedFault fault)
    : m_settings(std::move(settings)),
      m_tape(std::move(tape)),
      m_fault(fault),
      m_machine(m_settings.policy, m_settings.facts, m_now, fault) {}

std::set<std::string> RequestWorld::Run() {
  Step(Started{});
  // What is late still arrives after the request is over.
  for (int round = 0; round < 300; ++round) {
    if (Over(m_machine.state()) && m_replies.empty() && m_tape.exhausted()) break;
    if (!Over(m_machine.state())) Disturb();
    if (!m_replies.empty()) {
      const RequestEvent reply = m_replies.front();
      m_replies.pop_front();
      if (std::holds_alternative<ClaimGranted>(reply)) {
        m_claim_granted = true;
        m_claim_timely =
            m_machine.state() == RequestState::kAwaitingClaim && m_now < m_machine.WakeAt().value();
      }
      if (const auto* sent = std::get_if<BytesSent>(&reply); sent && !Send(*sent)) continue;
      if (const auto* refused = std::get_if<AttemptRefused>(&reply)) Refuse(*refused);
      if (std::holds_alternative<AnswerFailed>(reply)) m_failed_answer = true;
      Step(reply);
      continue;
    }
    // The current attempt mostly, at times a previous one whose events arrive late.
    for (auto& [id, attempt] : m_upstream) {
      if (m_open == id ? !m_tape.OneIn(6) : m_tape.OneIn(3)) Deliver(id, attempt);
    }
  }
  Expect(Over(m_machine.state()), "the request ends");
  Expect(m_outcomes == 1, "one outcome is recorded");
  Expect(m_answered || m_error || m_caller_gone, "the caller gets an answer or an error");
  Expect(!m_claim_granted || m_claim_finishes == 1, "a granted claim is finished once");
  return m_violations;
}

void RequestWorld::Step(const RequestEvent& event) {
  for (const RequestAction& action : m_machine.Step(m_now, event)) {
    std::visit([this](const auto& a) { Run(a); }, action);
  }
}

// A connection that was cancelled before its first byte carries nothing.
bool RequestWorld::Send(const BytesSent& event) {
  if (m_open != event.attempt) return false;
  ++m_sends;
  Expect(m_settings.policy.idempotent || m_sends <= 1, "a non-idempotent call is sent once");
  m_upstream.emplace(
      event.attempt,
      Attempt{FaultyStream(m_next, m_settings.answer_length, m_tape), SseParser(4096),
              StreamVerifier(event.attempt, m_next.resume_after, m_fault)});
  return true;
}

void RequestWorld::Refuse(const AttemptRefused& event) {
  if (m_upstream.erase(event.attempt) == 0) return;
  --m_sends;
  ++m_refusals;
}

void RequestWorld::Disturb() {
  switch (m_tape.Below(40)) {
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
  if (m_now >= m_machine.WakeAt().value() && !m_tape.OneIn(3)) Step(TimePassed{});
}

void RequestWorld::Deliver(const core::AttemptId& id, Attempt& attempt) {
  if (attempt.stream.empty()) {
    if (!std::exchange(attempt.closed, true)) Step(UpstreamClosed{id});
    return;
  }
  if (!m_settings.facts.resumable) return DeliverWhole(id, attempt);
  const SseEvent event = attempt.stream.front();
  attempt.stream.pop_front();
  std::string text;
  if (!event.id.empty()) text.append("id: ").append(event.id).append("\n");
  text.append("data: ").append(event.data).append("\n\n");
  const std::size_t split = m_tape.Below(text.size());
  attempt.parser.Feed(text.substr(0, split));
  attempt.parser.Feed(text.substr(split));
  while (const auto parsed = attempt.parser.Next()) {
    const bool done = parsed->data == "[DONE]";
    Step(ChunkChecked{id, attempt.verifier.Check(*parsed), done ? "" : parsed->data});
  }
}

void RequestWorld::DeliverWhole(const core::AttemptId& id, Attempt& attempt) {
  attempt.stream.clear();
  const WholeAnswer answer = FaultyAnswer(id, m_tape);
  const auto verdict = CheckModelAnswer(id, answer.announced_length, answer.body, m_fault);
  Step(ChunkChecked{id, verdict, answer.body});
}

void RequestWorld::Run(const AcquireAdmission&) {
  if (m_tape.OneIn(20)) return m_replies.push_back(Refused{RequestError::kOverloaded, {}});
  m_replies.push_back(Admitted{});
}

void RequestWorld::Run(const AcquireClaim&) {
  switch (m_tape.Below(8)) {
    case 5:
      return m_replies.push_back(ClaimDenied{ClaimDenial::kOutcomeUnknown, {}});
    case 6:
      return m_replies.push_back(ClaimDenied{ClaimDenial::kCompleted, "recorded"});
    case 7:  // the grant comes after the client has given up
      m_replies.push_back(ClaimTimedOut{});
      break;
  }
  m_replies.push_back(ClaimGranted{});
}

void RequestWorld::Run(const ChooseReplica& action) {
  Expect(action.excluded == m_tried, "tried replicas are excluded");
  if (m_tape.OneIn(16)) return m_replies.push_back(NoReplica{});
  m_replies.push_back(ReplicaChosen{core::UpstreamId(std::to_string(m_opened + 1))});
}

void RequestWorld::Run(const AcquireRetryToken&) {
  if (m_tape.OneIn(6)) return m_replies.push_back(RetryDenied{});
  ++m_tokens;
  m_replies.push_back(RetryGranted{});
}

void RequestWorld::Run(const OpenAttempt& action) {
  Expect(!Over(m_machine.state()) && !m_error && !m_answered, "no attempt after the end");
  Expect(++m_opened <= m_settings.policy.max_attempts, "the attempt limit holds");
  Expect(m_opened - 1 <= m_tokens, "each retry has a token");
  Expect(!m_open, "one attempt at a time");
  Expect(action.resume_after.sequence == m_forwarded, "resume after the last forwarded event");
  const bool needs_claim = !m_settings.policy.idempotent && m_settings.facts.has_key;
  Expect(!needs_claim || m_claim_timely, "no dispatch without a timely claim");
  m_tried.insert(action.upstream);
  if (m_tape.OneIn(5)) return m_replies.push_back(ConnectFailed{action.attempt});
  m_open = action.attempt;
  m_next = action;
  m_replies.push_back(BytesSent{action.attempt});
  if (m_tape.OneIn(8)) return m_replies.push_back(AttemptRefused{action.attempt, {}});
  if (m_tape.OneIn(12)) return m_replies.push_back(AnswerFailed{action.attempt});
  m_replies.push_back(HeadReceived{action.attempt, m_tape.OneIn(12) ? 503 : 200});
}

void RequestWorld::Run(const CancelAttempt& action) {
  if (m_open == action.attempt) m_open.reset();
}

void RequestWorld::Run(const ForwardChunk& action) {
  Expect(!m_answered && !m_error, "nothing is forwarded after the end");
  m_recorded_answer = action.payload == "recorded";
  if (m_recorded_answer) return;
  ++m_forwarded;
  Expect(ContentOf(action.payload) != "other", "no part of another answer");
  Expect(ContentOf(action.payload) == "own-" + std::to_string(m_forwarded), "own chunks in order");
}

void RequestWorld::Run(const FinishAnswer&) {
  Expect(!m_answered && !m_error, "one end");
  Expect(m_recorded_answer || m_forwarded == m_settings.answer_length, "the answer is whole");
  m_answered = true;
}

void RequestWorld::Run(const ForwardFailure&) {
  Expect(!m_answered && !m_error, "one end");
  Expect(m_failed_answer && m_forwarded == 0, "only a failed answer of an upstream is forwarded");
  m_forwarded_failure = m_answered = true;
}

void RequestWorld::Run(const SendError& action) {
  Expect(!m_answered && !m_error, "one end");
  Expect(action.execution != core::Execution::kNotRun || m_sends == 0, "not_run is true");
  m_error = action;
}

void RequestWorld::Run(const FinishClaim& action) {
  Expect(m_claim_granted, "only a granted claim is finished");
  Expect(action.outcome != ClaimOutcome::kReleased || m_sends == 0, "released only if unsent");
  Expect(action.outcome != ClaimOutcome::kCompleted || (m_answered && !m_forwarded_failure),
         "completed only if answered");
  ++m_claim_finishes;
}

void RequestWorld::Run(const RecordAttempt& action) {
  if (m_open == action.attempt) m_open.reset();
}

void RequestWorld::Run(const RecordOutcome&) { ++m_outcomes; }

}  // namespace cornelrelay::request
