#pragma once

#include <cstdint>
#include <string_view>

namespace cornelrelay::claims {

/// \brief What the store knows about a claimed request.
enum class ClaimState : std::uint8_t {
  kGranted = 1,    ///< may be running or may have run
  kCompleted = 2,  ///< ran to its end
  kReleased = 3,   ///< its holder proved that nothing was sent upstream
  kUnknown = 4,    ///< its holder lost sight of it after sending
};

std::string_view ToString(ClaimState state);

}  // namespace cornelrelay::claims
