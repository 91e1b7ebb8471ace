#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/request/request_error.h"
#include "cornelrelay/request/stream_position.h"

namespace cornelrelay::request {

/// \brief Asks admission control to admit the request. It answers with Admitted or Refused.
struct AcquireAdmission {};
/// \brief Claims the idempotency key of the request, so that a non-idempotent call runs at most
/// once. The answer is ClaimGranted, ClaimDenied or ClaimTimedOut.
struct AcquireClaim {
  core::Instant deadline;  ///< the latest time at which a grant is still used
};
/// \brief Asks for an upstream for the next attempt. The answer is UpstreamChosen, NoUpstream or
/// Refused.
struct ChooseUpstream {
  std::set<core::UpstreamId> excluded;  ///< upstreams that this request has already tried
};
/// \brief Takes one token from the retry budget. The answer is RetryGranted or RetryDenied.
struct AcquireRetryToken {};

/// \brief Sends the request to `upstream` under the id `attempt`.
struct OpenAttempt {
  core::AttemptId attempt;
  core::UpstreamId upstream;
  StreamPosition resume_after;  ///< without a sequence number the stream starts afresh
};
/// \brief Closes the connection of the attempt. Nothing may be written to it afterwards.
struct CancelAttempt {
  core::AttemptId attempt;
};

/// \brief Sends a part of the answer to the caller.
struct ForwardChunk {
  std::string payload;
};
/// \brief Completes the answer to the caller.
struct FinishAnswer {};
/// \brief Sends the most recent error response of an upstream to the caller unchanged.
struct ForwardErrorResponse {};
/// \brief Sends an error to the caller: an HTTP error response before the first forwarded chunk, a
/// server-sent `event: error` after it.
struct SendError {
  RequestError error = RequestError::kOverloaded;
  core::Execution execution = core::Execution::kUnknown;
  std::optional<core::Duration> retry_after;
};

enum class ClaimOutcome {
  kCompleted,
  kReleased,  ///< each attempt sent no byte or was refused by its upstream, so the call has not run
  kUnknown,   ///< an attempt may have run
};
/// \brief Records the outcome of a granted claim.
struct FinishClaim {
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
};

enum class AttemptResult {
  kCompleted,
  kConnectFailed,
  kBroken,     ///< cut off or invalid after bytes were sent; the upstream may have crashed
  kFailed,     ///< answered with an error
  kForeign,    ///< answered with data of another request
  kRefused,    ///< the upstream proved that it has not run the attempt
  kCancelled,  ///< ended by this process
};
/// \brief The name used in logs and metrics, e.g. `connect_failed`.
std::string_view ToString(AttemptResult result);

/// \brief Records the result of an attempt for the statistics of the upstream and for the record
/// of requests that may have crashed upstreams.
struct RecordAttempt {
  core::AttemptId attempt;
  core::UpstreamId upstream;
  AttemptResult result = AttemptResult::kCancelled;
};
/// \brief Records the end of the request. Emitted exactly once per request.
struct RecordOutcome {
  std::optional<RequestError> error;  ///< empty after a complete answer
  core::Execution execution = core::Execution::kUnknown;
  int attempts = 0;          ///< attempts opened, including those that failed to connect
  core::Duration elapsed{};  ///< time since the start of the request
};

/// \brief What RequestMachine asks its driver to do.
using RequestAction =
    std::variant<AcquireAdmission, AcquireClaim, ChooseUpstream, AcquireRetryToken, OpenAttempt,
                 CancelAttempt, ForwardChunk, FinishAnswer, ForwardErrorResponse, SendError,
                 FinishClaim, RecordAttempt, RecordOutcome>;

}  // namespace cornelrelay::request
