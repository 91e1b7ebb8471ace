#pragma once

namespace cornelrelay::request {

/// \brief Deliberate faults with which tests show that their checks detect a failure. Products pass
/// kNone.
enum class InjectedFault {
  kNone,
  kSkipStreamIdCheck,         ///< accept events of other requests
  kAcceptGaps,                ///< accept any higher sequence number as the next one
  kEndWithoutFinish,          ///< accept `[DONE]` before the finish_reason of every choice
  kRetryAfterBytesSent,       ///< retry a non-idempotent call that may have begun
  kReportNotRunAfterSending,  ///< report not_run although an attempt sent bytes
  kReleaseAfterSending,       ///< release the claim although an attempt sent bytes
  kAcceptPreviousAttempts,    ///< process what arrives for a previous attempt id
  kRetryWithoutToken,         ///< skip the retry budget
  kDispatchWithoutClaim,      ///< send a non-idempotent call after a denied claim
};

}  // namespace cornelrelay::request
