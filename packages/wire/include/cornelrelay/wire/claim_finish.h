#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "cornelrelay/wire/claim_call.h"

namespace cornelrelay::wire {

struct FinishCompleted {
  std::string answer;  ///< at most kMaxRecordedAnswer bytes

  friend auto operator<=>(const FinishCompleted&, const FinishCompleted&) = default;
};

/// \brief Proved that nothing was sent to an upstream.
struct FinishReleased {
  friend auto operator<=>(const FinishReleased&, const FinishReleased&) = default;
};

struct FinishUnknown {
  friend auto operator<=>(const FinishUnknown&, const FinishUnknown&) = default;
};

using FinishOutcome = std::variant<FinishCompleted, FinishReleased, FinishUnknown>;

/// \brief Reports the outcome of a granted claim.
struct ClaimFinish {
  std::uint64_t call_id = 0;
  std::uint32_t partition = 0;
  Digest key{};
  FinishOutcome outcome;

  friend auto operator<=>(const ClaimFinish&, const ClaimFinish&) = default;
};

}  // namespace cornelrelay::wire
