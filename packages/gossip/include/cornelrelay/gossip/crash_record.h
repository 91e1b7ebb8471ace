#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <vector>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::gossip {

using Fingerprint = std::array<std::uint8_t, 16>;

/// \brief Upstreams that were lost while they ran one request.
struct CrashRecord {
  static constexpr std::size_t kMaxUpstreams = 4;

  Fingerprint fingerprint{};
  std::vector<core::UpstreamId> upstreams;  ///< at most kMaxUpstreams
  std::uint64_t unix_milliseconds = 0;

  friend auto operator<=>(const CrashRecord&, const CrashRecord&) = default;
};

}  // namespace cornelrelay::gossip
