#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::gossip {

/// \brief Position of a record in its owner's history; a restarted owner uses a higher incarnation.
struct Version {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const Version&, const Version&) = default;
};

}  // namespace cornelrelay::gossip
