#pragma once

#include <optional>
#include <string_view>

#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::relay {

/// \brief Why a request ends without an upstream's answer.
enum class FailureKind {
  kMalformed,        ///< the request lacks what the protocol demands
  kNoRoute,          ///< the configuration has no route for it
  kUnknownKey,       ///< the configuration has no such key
  kNoConfiguration,  ///< this process cannot tell what the configuration says
  kOverloaded,       ///< no upstream could take it in time
  kDeadline,         ///< its time ran out
  kUpstreamFailed,   ///< the upstream broke off, and no other one may be tried
  kShutdown,         ///< this process ends
};
std::string_view ToString(FailureKind kind);

struct Failure {
  FailureKind kind = FailureKind::kUpstreamFailed;
  core::Execution execution = core::Execution::kUnknown;
  std::optional<core::Duration> retry_after;

  friend bool operator==(const Failure&, const Failure&) = default;
};

}  // namespace cornelrelay::relay
