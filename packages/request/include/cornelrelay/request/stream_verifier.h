#pragma once

#include "cornelrelay/core/ids.h"
#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/sse_event.h"
#include "cornelrelay/request/stream_position.h"
#include "cornelrelay/request/stream_verdict.h"

namespace cornelrelay::request {

/// \brief Checks each event of a streamed chat completion against the attempt that it belongs to.
///
/// The JSON `id` must be the attempt id, and the SSE `id:` counts up by 1 from 1. A resumed attempt
/// must continue right after the position it was asked for: a stream that starts over ignored
/// `Last-Event-ID` and may hold other tokens, so it is a gap and not a duplicate. `[DONE]` counts
/// as the end only after every choice has had its finish_reason; this detects a lost last chunk.
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

  /// \brief Verdict when the upstream closes: End after a complete stream, else Truncated.
  StreamVerdict Close() const;

  const StreamPosition& position() const { return m_position; }

 private:
  StreamVerdict CheckDone(const SseEvent& event);

  core::AttemptId m_attempt;
  StreamPosition m_position;
  InjectedFault m_fault;
  bool m_accepted_any = false;
  bool m_ended = false;
};

}  // namespace cornelrelay::request
