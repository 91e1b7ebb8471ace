#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/load.h"

namespace cornelrelay::gossip {

/// \brief One element of a packed status array: it updates the load of an upstream whose full
/// record the receiver already has, and is ignored otherwise. 11 bytes on the wire.
struct StatusSample {
  std::uint32_t subject_hash = 0;  ///< of the upstream's id and its agent's incarnation
  std::uint16_t sequence = 0;      ///< low bits; the receiver takes the nearest full number
  Load load;
  bool draining = false;
  core::Duration age{};

  friend auto operator<=>(const StatusSample&, const StatusSample&) = default;
};

std::uint32_t SubjectHash(std::string_view subject, std::uint64_t incarnation);

}  // namespace cornelrelay::gossip
