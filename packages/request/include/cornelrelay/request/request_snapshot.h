#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/request/request_error.h"
#include "cornelrelay/request/request_state.h"

namespace cornelrelay::request {

/// \brief Copy of the state of a RequestMachine for inspection.
struct RequestSnapshot {
  core::RequestId id;
  RequestState state = RequestState::kIdle;
  int attempts = 0;
  bool sent = false;  ///< an attempt that was not refused may have sent a byte
  bool claim_held = false;
  std::optional<std::uint64_t> forwarded_sequence;  ///< last sequence number sent to the caller
  std::optional<core::AttemptId> current_attempt;
  std::set<core::UpstreamId> tried;  ///< upstreams to which an attempt was opened
  std::optional<core::Instant> wake_at;
  std::optional<RequestError> error;
  bool may_retry = false;  ///< whether another attempt may follow if the current one breaks now
};

}  // namespace cornelrelay::request
