#pragma once

#include <string_view>

namespace cornelrelay::request {

/// \brief Why a request ended without a complete answer.
enum class RequestError {
  kOverloaded,
  kRateLimited,
  kDeadlineUnreachable,
  kRequestQuarantined,
  kKeyRequired,
  kKeyExpired,
  kKeyReused,
  kAlreadyClaimed,
  kAlreadyRun,
  kClaimUnavailable,
  kClaimTimeout,
  kNoUpstream,
  kConnectFailed,
  kUpstreamBroken,
  kUpstreamFailed,
  kForeignAnswer,
  kDeadlineExceeded,
  kShutdown,
  kCallerGone,
};

/// \brief The `type` in caller-facing JSON, e.g. `deadline_exceeded`.
std::string_view ToString(RequestError error);

/// \brief The `message` in caller-facing JSON.
std::string_view Describe(RequestError error);

}  // namespace cornelrelay::request
