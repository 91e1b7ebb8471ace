#pragma once

#include <compare>
#include <cstdint>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/load.h"

namespace cornelrelay::gossip {

/// \brief An owner's status record with a sequence divisible by this is sent in full, as the base
/// of the deltas that follow.
inline constexpr std::uint64_t kBaseInterval = 16;

/// \brief Typed update of an upstream's load against the full record with sequence `base`.
struct StatusDelta {
  core::UpstreamId upstream;
  std::uint16_t incarnation_tag = 0;
  std::uint32_t base = 0;
  std::uint32_t sequence = 0;
  std::uint8_t changed = 0;  ///< bit i: value i of the load differs from the base; bit 4: draining
  Load load;                 ///< values that did not change are zero
  core::Duration age{};

  friend auto operator<=>(const StatusDelta&, const StatusDelta&) = default;
};

}  // namespace cornelrelay::gossip
