#include "cornelrelay/entry/request_errors.h"

#include <chrono>
#include <string>

namespace cornelrelay::entry {
namespace {

int StatusOf(request::RequestError error) {
  using request::RequestError;
  switch (error) {
    case RequestError::kOverloaded:
    case RequestError::kRateLimited:
      return 429;
    case RequestError::kKeyRequired:
    case RequestError::kKeyExpired:
      return 400;
    case RequestError::kKeyReused:
      return 422;
    case RequestError::kRequestQuarantined:
    case RequestError::kAlreadyClaimed:
    case RequestError::kAlreadyRun:
      return 409;
    case RequestError::kDeadlineUnreachable:
    case RequestError::kClaimUnavailable:
    case RequestError::kClaimTimeout:
    case RequestError::kNoUpstream:
    case RequestError::kConnectFailed:
    case RequestError::kShutdown:
      return 503;
    case RequestError::kUpstreamBroken:
    case RequestError::kUpstreamFailed:
    case RequestError::kForeignAnswer:
      return 502;
    case RequestError::kDeadlineExceeded:
      return 504;
    case RequestError::kCallerGone:
      return 499;
  }
  return 500;
}

}  // namespace

TypedError ToTypedError(const request::SendError& error) {
  TypedError typed;
  typed.status = StatusOf(error.error);
  typed.type = std::string(request::ToString(error.error));
  typed.message = std::string(request::Describe(error.error));
  typed.execution = error.execution;
  if (error.retry_after) {
    typed.retry_after_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(*error.retry_after).count();
  }
  return typed;
}

}  // namespace cornelrelay::entry
