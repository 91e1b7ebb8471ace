#pragma once

#include <string_view>

namespace cornelrelay::request {

/// \brief Why a request ended without a complete answer.
enum class RequestError {
  kOverloaded,
  kRateLimited,
  kDeadlineUnreachable,
  kRequestQuarantined,  ///< the request has crashed upstreams
  kKeyRequired,
  kKeyExpired,
  kKeyReused,
  kAlreadyClaimed,  ///< the key was used before; the outcome is unknown
  kAlreadyRun,      ///< the call under this key has completed
  kClaimUnavailable,
  kClaimTimeout,
  kNoUpstream,
  kConnectFailed,
  kUpstreamBroken,  ///< the answer was cut off or invalid
  kUpstreamFailed,  ///< the upstream answered with an error
  kForeignAnswer,   ///< the upstream sent data of another request
  kDeadlineExceeded,
  kShutdown,
  kCallerGone,
};

/// \brief The `type` in caller-facing JSON, e.g. `deadline_exceeded`.
std::string_view ToString(RequestError error);

/// \brief The `message` in caller-facing JSON.
std::string_view Describe(RequestError error);

}  // namespace cornelrelay::request
