#pragma once

#include <array>
#include <compare>
#include <cstdint>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::wire {

using Digest = std::array<std::uint8_t, 16>;

/// \brief Asks the owner of a partition for the right to run a request once.
struct ClaimCall {
  std::uint64_t call_id = 0;
  std::uint32_t partition = 0;
  Digest key{};
  Digest body{};
  core::ClientAccountId account;
  std::uint64_t key_unix_milliseconds = 0;  ///< time in the key; the digest does not show it

  friend auto operator<=>(const ClaimCall&, const ClaimCall&) = default;
};

}  // namespace cornelrelay::wire
