#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/request/request_machine.h"
#include "cornelrelay/request/sse_parser.h"
#include "cornelrelay/request/stream_verifier.h"
#include "tape.h"

namespace cornelrelay::request {

struct WorldSettings {
  RequestPolicy policy;
  RequestAttributes facts;
  std::size_t answer_length = 3;  ///< events of a stream; 1 for a whole answer
};

/// \brief Runs a RequestMachine, SseParser and StreamVerifier against a fake upstream, admission,
/// claim owner and retry budget, and judges every action by what really happened.
class RequestWorld {
 public:
  RequestWorld(WorldSettings settings, Tape tape, InjectedFault fault);

  /// \brief Runs the request to its end; returns the violated rules.
  std::set<std::string> Run();

  bool answered() const { return m_answered; }
  int sends() const { return m_sends; }
  int refusals() const { return m_refusals; }
  bool forwarded_failure() const { return m_forwarded_failure; }
  const std::optional<SendError>& error() const { return m_error; }

 private:
  struct Attempt {
    std::deque<SseEvent> stream;
    SseParser parser{4096};
    StreamVerifier verifier;
    bool closed = false;
  };

  void Step(const RequestEvent& event);
  bool Send(const BytesSent& event);
  void Refuse(const AttemptRefused& event);
  void Disturb();
  void Deliver(const core::AttemptId& id, Attempt& attempt);
  void DeliverWhole(const core::AttemptId& id, Attempt& attempt);
  void Expect(bool holds, const std::string& rule) {
    if (!holds) m_violations.insert(rule);
  }

  void Run(const AcquireAdmission&);
  void Run(const AcquireClaim&);
  void Run(const ChooseReplica&);
  void Run(const AcquireRetryToken&);
  void Run(const OpenAttempt&);
  void Run(const CancelAttempt&);
  void Run(const ForwardChunk&);
  void Run(const FinishAnswer&);
  void Run(const ForwardFailure&);
  void Run(const SendError&);
  void Run(const FinishClaim&);
  void Run(const RecordAttempt&);
  void Run(const RecordOutcome&);

  WorldSettings m_settings;
  Tape m_tape;
  InjectedFault m_fault;
  core::Instant m_now{};
  RequestMachine m_machine;
  std::deque<RequestEvent> m_replies;  ///< answers on their way to the machine
  std::map<core::AttemptId, Attempt> m_upstream;
  std::optional<core::AttemptId> m_open;
  OpenAttempt m_next;  ///< last attempt that was opened
  std::set<core::UpstreamId> m_tried;

  int m_sends = 0;     ///< attempts that were sent and not refused
  int m_refusals = 0;  ///< attempts that the upstream proved not to have run
  bool m_forwarded_failure = false;
  int m_opened = 0;
  int m_tokens = 0;
  bool m_claim_granted = false;
  bool m_claim_timely = false;
  int m_claim_finishes = 0;
  int m_outcomes = 0;
  std::size_t m_forwarded = 0;
  bool m_caller_gone = false;
  bool m_answered = false;
  bool m_failed_answer = false;  ///< the upstream has answered with a failure
  bool m_recorded_answer = false;
  std::optional<SendError> m_error;
  std::set<std::string> m_violations;
};

}  // namespace cornelrelay::request
