#pragma once

#include <string_view>

namespace cornelrelay::request {

enum class RequestState {
  kIdle,
  kAwaitingAdmission,
  kAwaitingClaim,
  kAwaitingUpstreamChoice,
  kAwaitingRetryToken,
  kConnecting,
  kAwaitingHead,
  kStreaming,
  kCompleted,
  kFailed,
};

/// \brief The name used in the state dump, e.g. `awaiting_claim`.
std::string_view ToString(RequestState state);

}  // namespace cornelrelay::request
