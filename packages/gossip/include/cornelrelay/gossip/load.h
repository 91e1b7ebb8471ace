#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::gossip {

/// \brief Load of an upstream, each value quantised to one byte (see quantise.h).
struct Load {
  std::uint8_t running = 0;
  std::uint8_t waiting = 0;
  std::uint8_t cache_use = 0;
  std::uint8_t step_time = 0;

  friend auto operator<=>(const Load&, const Load&) = default;
};

}  // namespace cornelrelay::gossip
