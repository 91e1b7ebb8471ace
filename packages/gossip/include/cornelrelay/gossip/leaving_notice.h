#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::gossip {

enum class LeavingScope : std::uint8_t { kUpstream, kHost };

/// \brief The subject (an upstream or a whole host) takes no new work.
struct LeavingNotice {
  LeavingScope scope = LeavingScope::kUpstream;

  friend auto operator<=>(const LeavingNotice&, const LeavingNotice&) = default;
};

}  // namespace cornelrelay::gossip
