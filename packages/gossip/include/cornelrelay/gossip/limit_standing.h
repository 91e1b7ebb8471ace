#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::gossip {

/// \brief Statement of an entry process that it keeps within its share of the limits in one view of
/// the members.
///
/// The meaning of both numbers belongs to the limits package; gossip only carries them.
struct LimitStanding {
  std::uint64_t view = 0;
  std::uint8_t standing = 0;

  friend auto operator<=>(const LimitStanding&, const LimitStanding&) = default;
};

}  // namespace cornelrelay::gossip
