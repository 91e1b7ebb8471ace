#pragma once

#include <optional>
#include <string>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/request/request_error.h"
#include "cornelrelay/request/stream_verdict.h"

namespace cornelrelay::request {

/// \brief The request has arrived in full.
struct Started {};

/// \brief Admission control has admitted the request.
struct Admitted {};
/// \brief The request is refused, either by admission control or later because it is not sent to
/// any upstream again.
struct Refused {
  RequestError error = RequestError::kOverloaded;
  std::optional<core::Duration> retry_after;
};

/// \brief The claim of the idempotency key is recorded, and no earlier call under the same key has
/// run.
struct ClaimGranted {};
enum class ClaimDenial {
  kOutcomeUnknown,  ///< the key was claimed before and no outcome is recorded
  kCompleted,       ///< the key was claimed before and the call has completed
  kBodyMismatch,    ///< the key was used with a different body
  kKeyExpired,      ///< the key is older than the retention
  kUnavailable,     ///< the claim cannot be made durable at present
};
struct ClaimDenied {
  ClaimDenial denial = ClaimDenial::kUnavailable;
  std::optional<std::string> recorded_answer;  ///< set only with kCompleted, and only if recorded
};
/// \brief The claim was not answered in time. RequestMachine raises this event itself when the
/// deadline of AcquireClaim has passed.
struct ClaimTimedOut {};

/// \brief Answers ChooseUpstream.
struct UpstreamChosen {
  core::UpstreamId upstream;
};
/// \brief No upstream is available for the next attempt.
struct NoUpstream {
  std::optional<core::Duration> retry_after;
};

/// \brief The retry budget has given a token.
struct RetryGranted {};
/// \brief The retry budget is exhausted.
struct RetryDenied {};

/// \brief The connection could not be set up, or it was lost before the first byte. No byte of the
/// attempt was written or will be.
struct ConnectFailed {
  core::AttemptId attempt;
};
/// \brief The attempt is about to be written. The driver must pass this event to the machine before
/// it hands the first byte to the socket, and writes nothing if the machine cancels the attempt in
/// the same step.
struct BytesSent {
  core::AttemptId attempt;
};
/// \brief The head of the upstream's HTTP response has arrived.
struct HeadReceived {
  core::AttemptId attempt;
  int status = 0;
  bool event_stream = false;  ///< the body is a stream of events
};
/// \brief The verdict on one event of a stream or on a whole answer. `payload` is the data of the
/// event, or the body of the whole answer; it is empty for `[DONE]`.
struct ChunkChecked {
  core::AttemptId attempt;
  StreamVerdict verdict;
  std::string payload;
};
/// \brief The connection was closed by the upstream, or by the driver because the attempt stalled.
struct UpstreamClosed {
  core::AttemptId attempt;
};

/// \brief The upstream proved that it has not run the attempt and never will. The attempt counts as
/// not sent, also if its connection breaks afterwards.
struct AttemptRefused {
  core::AttemptId attempt;
  std::optional<core::Duration> retry_after;
};
/// \brief A complete response has arrived in which the upstream reports an error. The driver keeps
/// the response for ForwardErrorResponse.
struct ErrorResponseReceived {
  core::AttemptId attempt;
};

/// \brief The caller has closed its connection.
struct CallerGone {};
/// \brief Lets the machine check its timers. Due at RequestMachine::WakeAt().
struct TimePassed {};
/// \brief The process is shutting down and the time limit for open requests has passed.
struct ShutdownLimitReached {};

/// \brief The request has to end because requests like it crash upstreams.
struct Quarantined {};

/// \brief What the driver reports to RequestMachine.
using RequestEvent =
    std::variant<Started, Admitted, Refused, ClaimGranted, ClaimDenied, ClaimTimedOut,
                 UpstreamChosen, NoUpstream, RetryGranted, RetryDenied, ConnectFailed, BytesSent,
                 HeadReceived, ChunkChecked, UpstreamClosed, AttemptRefused, ErrorResponseReceived,
                 CallerGone, TimePassed, ShutdownLimitReached, Quarantined>;

}  // namespace cornelrelay::request
