#pragma once

namespace cornelrelay::request {

/// \brief Faults that tests inject to show that their checks detect them. Production code passes
/// kNone.
enum class InjectedFault {
  kNone,
  kSkipStreamIdCheck,           ///< accepts events of other requests
  kAcceptGaps,                  ///< accepts any higher sequence number as the next one
  kEndWithoutFinish,            ///< accepts `[DONE]` before every choice has a finish_reason
  kRetryAfterBytesSent,         ///< retries a non-idempotent call that may have run
  kReportNotRunAfterSending,    ///< reports not_run although an attempt sent bytes
  kReportUnknownBeforeSending,  ///< reports unknown although no attempt sent a byte
  kReleaseAfterSending,         ///< releases the claim although an attempt sent bytes
  kAcceptPreviousAttempts,      ///< processes events of previous attempts
  kRetryWithoutToken,           ///< retries without a token of the retry budget
  kDispatchWithoutClaim,        ///< sends a non-idempotent call after its claim was denied
};

}  // namespace cornelrelay::request
