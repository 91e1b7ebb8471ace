#include "cornelrelay/relay/failure.h"

#include <cassert>

namespace cornelrelay::relay {

std::string_view ToString(FailureKind kind) {
  switch (kind) {
    case FailureKind::kMalformed:
      return "malformed_request";
    case FailureKind::kNoRoute:
      return "no_route";
    case FailureKind::kUnknownKey:
      return "unknown_key";
    case FailureKind::kNoConfiguration:
      return "no_configuration";
    case FailureKind::kOverloaded:
      return "overloaded";
    case FailureKind::kDeadline:
      return "deadline_exceeded";
    case FailureKind::kQuarantined:
      return "request_quarantined";
    case FailureKind::kUpstreamFailed:
      return "upstream_failed";
    case FailureKind::kShutdown:
      return "shutdown";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::relay
