#pragma once

#include <chrono>
#include <cstddef>

#include "cornelrelay/claims/retention.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Limits of a ClaimClient.
struct ClientSettings {
  /// Longest wait for a grant; longer than OwnerSettings::refuse_after, so that a refusal usually
  /// arrives first.
  core::Duration claim_timeout = std::chrono::seconds(1);
  /// One batch window and two store calls fit between two tries.
  core::Duration resend_after = std::chrono::milliseconds(250);
  core::Duration first_finish_resend = std::chrono::milliseconds(250);
  core::Duration longest_finish_resend = std::chrono::seconds(8);
  /// Doubling from 250 ms to 8 s, ten tries span about 40 s, longer than an owner's removal from
  /// the members.
  std::size_t finish_tries = 10;
  std::size_t max_calls = 4096;
  Retention retention;

  friend bool operator==(const ClientSettings&, const ClientSettings&) = default;
};

}  // namespace cornelrelay::claims
