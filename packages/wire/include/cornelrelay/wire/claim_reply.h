#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace cornelrelay::wire {

/// \brief Longest recorded answer of a completed claim.
inline constexpr std::size_t kMaxRecordedAnswer = 512;

struct ClaimGranted {
  friend auto operator<=>(const ClaimGranted&, const ClaimGranted&) = default;
};

/// \brief Granted before and without a known outcome.
struct ClaimAlreadyTaken {
  friend auto operator<=>(const ClaimAlreadyTaken&, const ClaimAlreadyTaken&) = default;
};

/// \brief Ran to its end; `answer` is empty if it was too long to record.
struct ClaimCompleted {
  std::string answer;

  friend auto operator<=>(const ClaimCompleted&, const ClaimCompleted&) = default;
};

struct ClaimBodyMismatch {
  friend auto operator<=>(const ClaimBodyMismatch&, const ClaimBodyMismatch&) = default;
};

enum class ClaimRefusal : std::uint8_t { kStoreUnavailable, kNotOwner, kOverloaded, kKeyExpired };

/// \brief No claim was written: the request was not run.
struct ClaimRefused {
  ClaimRefusal reason = ClaimRefusal::kStoreUnavailable;
  std::uint32_t retry_after_milliseconds = 0;

  friend auto operator<=>(const ClaimRefused&, const ClaimRefused&) = default;
};

using ClaimAnswer =
    std::variant<ClaimGranted, ClaimAlreadyTaken, ClaimCompleted, ClaimBodyMismatch, ClaimRefused>;

struct ClaimReply {
  std::uint64_t call_id = 0;
  ClaimAnswer answer;

  friend auto operator<=>(const ClaimReply&, const ClaimReply&) = default;
};

}  // namespace cornelrelay::wire
