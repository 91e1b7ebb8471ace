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

struct Admitted {};
/// \brief Refused by admission, or later because the request is not sent to any upstream again.
struct Refused {
  RequestError error = RequestError::kOverloaded;
  std::optional<core::Duration> retry_after;
};

struct ClaimGranted {};
enum class ClaimDenial {
  kOutcomeUnknown,  ///< claimed before, no outcome recorded
  kCompleted,       ///< claimed before and completed
  kBodyMismatch,
  kKeyExpired,
  kUnavailable,  ///< the claim cannot be made durable now
};
struct ClaimDenied {
  ClaimDenial denial = ClaimDenial::kUnavailable;
  std::optional<std::string> recorded_answer;  ///< only with kCompleted
};
/// \brief The claim call got no answer; the machine's own timeout has the same effect.
struct ClaimTimedOut {};

struct ReplicaChosen {
  core::UpstreamId upstream;
};
struct NoReplica {
  std::optional<core::Duration> retry_after;
};

/// \brief Answers to AcquireRetryToken.
struct RetryGranted {};
struct RetryDenied {};

/// \brief No byte of the attempt was written; later ones will not be either.
struct ConnectFailed {
  core::AttemptId attempt;
};
/// \brief Must be passed to the machine before the first byte is handed to the socket.
struct BytesSent {
  core::AttemptId attempt;
};
struct HeadReceived {
  core::AttemptId attempt;
  int status = 0;
};
/// \brief One checked event of a stream (for `[DONE]` without payload), or a whole answer with
/// verdict End and its body.
struct ChunkChecked {
  core::AttemptId attempt;
  StreamVerdict verdict;
  std::string payload;
};
/// \brief The connection ended, or the driver gave up a stalled attempt and closed it.
struct UpstreamClosed {
  core::AttemptId attempt;
};

/// \brief The upstream proved that it has not run the attempt and never will, so that the attempt
/// counts as not sent.
struct AttemptRefused {
  core::AttemptId attempt;
  std::optional<core::Duration> retry_after;
};
/// \brief The whole answer has arrived, and it reports a failure of the upstream. The driver keeps
/// it for ForwardFailure.
struct AnswerFailed {
  core::AttemptId attempt;
};

struct CallerGone {};
/// \brief No occurrence but time; due at RequestMachine::WakeAt().
struct TimePassed {};
/// \brief The time limit of a shutdown is over.
struct ShutdownLimitReached {};

using RequestEvent =
    std::variant<Started, Admitted, Refused, ClaimGranted, ClaimDenied, ClaimTimedOut,
                 ReplicaChosen, NoReplica, RetryGranted, RetryDenied, ConnectFailed, BytesSent,
                 HeadReceived, ChunkChecked, UpstreamClosed, AttemptRefused, AnswerFailed,
                 CallerGone, TimePassed, ShutdownLimitReached>;

}  // namespace cornelrelay::request
