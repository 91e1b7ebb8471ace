#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/load.h"

namespace cornelrelay::gossip {

/// \brief One element of a packed status array: it updates the load of an upstream whose full
/// record the receiver already has, and is ignored otherwise.
struct StatusSample {
  std::uint32_t subject_hash = 0;
  std::uint16_t incarnation_tag = 0;  ///< low bits of the record's incarnation
  std::uint32_t sequence = 0;
  Load load;
  bool draining = false;
  core::Duration age{};

  friend auto operator<=>(const StatusSample&, const StatusSample&) = default;
};

std::uint32_t SubjectHash(std::string_view subject);

}  // namespace cornelrelay::gossip
