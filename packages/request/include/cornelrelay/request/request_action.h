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

struct AcquireAdmission {};
struct AcquireClaim {
  core::Instant deadline;
};
struct ChooseReplica {
  std::set<core::UpstreamId> excluded;  ///< replicas that this request has tried
};
/// \brief Asks the retry budget for one token.
struct AcquireRetryToken {};

struct OpenAttempt {
  core::AttemptId attempt;
  core::UpstreamId upstream;
  StreamPosition resume_after;  ///< sequence 0: from the start, without `Last-Event-ID`
};
/// \brief Close the attempt's connection. Nothing may be written to it afterwards.
struct CancelAttempt {
  core::AttemptId attempt;
};

struct ForwardChunk {
  std::string payload;
};
struct FinishAnswer {};
/// \brief Forward the upstream's last failed answer as it is.
struct ForwardFailure {};
/// \brief As an HTTP error before the first forwarded chunk, as `event: error` after it.
struct SendError {
  RequestError error = RequestError::kOverloaded;
  core::Execution execution = core::Execution::kUnknown;
  std::optional<core::Duration> retry_after;
};

enum class ClaimOutcome {
  kCompleted,
  kReleased,  ///< proved: nothing was sent
  kUnknown,
};
struct FinishClaim {
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
};

enum class AttemptResult {
  kCompleted,
  kConnectFailed,
  kBroken,     ///< closed or cut after bytes were sent; a crash is possible
  kFailed,     ///< answered with a server error
  kForeign,    ///< answered with another request's data
  kRefused,    ///< proved not run by the upstream
  kCancelled,  ///< ended from this side
};
std::string_view ToString(AttemptResult result);

/// \brief For the replica's statistics and the crash ledger.
struct RecordAttempt {
  core::AttemptId attempt;
  core::UpstreamId upstream;
  AttemptResult result = AttemptResult::kCancelled;
};
/// \brief The request is over. Exactly one per request.
struct RecordOutcome {
  std::optional<RequestError> error;  ///< empty after a complete answer
  core::Execution execution = core::Execution::kUnknown;
  int attempts = 0;
  core::Duration elapsed{};
};

using RequestAction =
    std::variant<AcquireAdmission, AcquireClaim, ChooseReplica, AcquireRetryToken, OpenAttempt,
                 CancelAttempt, ForwardChunk, FinishAnswer, ForwardFailure, SendError, FinishClaim,
                 RecordAttempt, RecordOutcome>;

}  // namespace cornelrelay::request
