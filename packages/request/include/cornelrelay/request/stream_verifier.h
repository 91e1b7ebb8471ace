#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/sse_event.h"
#include "cornelrelay/request/stream_position.h"
#include "cornelrelay/request/stream_verdict.h"

namespace cornelrelay::request {

/// \brief Checks each event of a streamed chat completion against the attempt that it belongs to.
///
/// The JSON `id` must be the attempt id, and the SSE `id:` must count up by 1 from 1. A resumed
/// attempt must continue right after `resume_after`. A stream that starts over has ignored
/// `Last-Event-ID` and may contain other tokens, so its first event is a Gap and not a Duplicate.
/// `[DONE]` is accepted as the end only after every choice has its finish_reason, which detects a
/// lost last chunk.
///
/// \code
/// StreamVerifier verifier(attempt, resume_after);
/// const StreamVerdict verdict = verifier.Check(event);
/// \endcode
class StreamVerifier {
 public:
  explicit StreamVerifier(core::AttemptId attempt, StreamPosition resume_after = {},
                          InjectedFault fault = InjectedFault::kNone);

  StreamVerdict Check(const SseEvent& event);

  /// \brief Verdict on the stream when the upstream closes it: End if it is complete, else
  /// Truncated.
  StreamVerdict Close() const;

  const StreamPosition& position() const { return m_position; }

 private:
  StreamVerdict CheckDone(const SseEvent& event);
  std::uint64_t NextSequence() const;

  core::AttemptId m_attempt;
  StreamPosition m_position;
  InjectedFault m_fault;
  bool m_accepted_any = false;
  bool m_ended = false;
};

}  // namespace cornelrelay::request
