#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "choice_sequence.h"
#include "cornelrelay/request/request_machine.h"
#include "cornelrelay/request/sse_parser.h"
#include "cornelrelay/request/stream_verifier.h"

namespace cornelrelay::request {

struct SimulationSettings {
  RequestPolicy policy;
  RequestAttributes attributes;
  std::size_t answer_length = 3;  ///< number of events of a stream; 1 for a whole answer
};

/// \brief Runs a RequestMachine, SseParser and StreamVerifier against a fake upstream, admission
/// control, claim owner and retry budget. Checks every action against what the fakes have done.
class RequestSimulation {
 public:
  RequestSimulation(SimulationSettings settings, ChoiceSequence choices, InjectedFault fault);

  /// \brief Runs the request to its end and returns the rules that were violated.
  std::set<std::string> Run();

  bool answered() const { return m_answered; }
  int sends() const { return m_sends; }
  int refusals() const { return m_refusals; }
  bool forwarded_error_response() const { return m_forwarded_error_response; }
  const std::optional<SendError>& error() const { return m_error; }

 private:
  struct Attempt {
    std::deque<SseEvent> stream;
    SseParser parser{4096};
    StreamVerifier verifier;
    bool closed = false;
  };

  void Step(const RequestEvent& event);
  void RecordSend(const BytesSent& event);
  void RecordRefusal(const AttemptRefused& event);
  void AdvanceTimeOrInterrupt();
  bool IsLostUnsent(const core::AttemptId& attempt) const {
    return m_lost_unsent.contains(attempt);
  }
  void Deliver(const core::AttemptId& id, Attempt& attempt);
  void DeliverWhole(const core::AttemptId& id, Attempt& attempt);
  void Expect(bool holds, const std::string& rule) {
    if (!holds) m_violations.insert(rule);
  }

  void Perform(const AcquireAdmission&);
  void Perform(const AcquireClaim&);
  void Perform(const ChooseUpstream&);
  void Perform(const AcquireRetryToken&);
  void Perform(const OpenAttempt&);
  void Perform(const CancelAttempt&);
  void Perform(const ForwardChunk&);
  void Perform(const FinishAnswer&);
  void Perform(const ForwardErrorResponse&);
  void Perform(const SendError&);
  void Perform(const FinishClaim&);
  void Perform(const RecordAttempt&);
  void Perform(const RecordOutcome&);

  SimulationSettings m_settings;
  ChoiceSequence m_choices;
  InjectedFault m_fault;
  core::Instant m_now{};
  RequestMachine m_machine;
  std::deque<RequestEvent> m_replies;  ///< replies that have not reached the machine yet
  std::map<core::AttemptId, Attempt> m_sent_attempts;
  std::optional<core::AttemptId> m_open_attempt;
  std::set<core::AttemptId> m_lost_unsent;  ///< attempts that fail before their first byte
  OpenAttempt m_last_opened;                ///< the attempt that was opened last
  std::set<core::UpstreamId> m_tried;

  int m_sends = 0;     ///< number of attempts that were sent and not refused
  int m_refusals = 0;  ///< number of attempts that the upstream proved not to have run
  bool m_forwarded_error_response = false;
  int m_opened_count = 0;
  int m_tokens = 0;
  bool m_claim_granted = false;
  bool m_claim_timely = false;  ///< the claim was granted before its deadline
  int m_claim_finishes = 0;
  int m_outcomes = 0;
  std::size_t m_forwarded = 0;
  bool m_caller_gone = false;
  bool m_answered = false;
  bool m_error_response_received = false;  ///< an upstream has answered with an error response
  bool m_recorded_answer = false;
  std::optional<SendError> m_error;
  std::set<std::string> m_violations;
};

}  // namespace cornelrelay::request
