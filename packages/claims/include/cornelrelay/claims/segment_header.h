#pragma once

#include <cstdint>

#include "cornelrelay/claims/id128.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Position of a segment in its partition and the identity of the write that produced it.
struct SegmentHeader {
  core::HostId owner;
  WriteId write;
  std::uint64_t number = 1;  ///< increases by one at every roll-over
  std::uint64_t first = 1;   ///< segments below are dropped
  std::uint64_t erased = 1;  ///< segments below are also removed from the store
  core::Instant floor;       ///< keys up to this time are refused, whatever a local clock says
  bool sealed = false;       ///< no claim is added any more

  friend bool operator==(const SegmentHeader&, const SegmentHeader&) = default;
};

}  // namespace cornelrelay::claims
