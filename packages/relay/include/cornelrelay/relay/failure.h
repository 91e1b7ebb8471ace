#pragma once

#include <optional>
#include <string_view>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::relay {

/// \brief Reason why a request ends without an upstream's response.
enum class FailureKind {
  kMalformed,        ///< a required part of the request is missing or invalid
  kNoRoute,          ///< the configuration has no route for the request
  kUnknownKey,       ///< the configuration does not contain the API key
  kNoConfiguration,  ///< this process does not know the current configuration
  kOverloaded,       ///< no upstream could accept the request in time
  kDeadline,         ///< the request's deadline has passed
  kQuarantined,      ///< requests like this one crash upstreams
  kUpstreamFailed,   ///< the upstream failed and no other upstream may be tried
  kShutdown,         ///< this process is shutting down
};
std::string_view ToString(FailureKind kind);

/// \brief Error that a caller receives instead of an upstream's response.
struct Failure {
  FailureKind kind = FailureKind::kUpstreamFailed;
  /// Whether an upstream has executed the request, as far as this process knows.
  core::Execution execution = core::Execution::kUnknown;
  std::optional<core::Duration> retry_after;  ///< time after which the caller may retry

  friend bool operator==(const Failure&, const Failure&) = default;
};

}  // namespace cornelrelay::relay
