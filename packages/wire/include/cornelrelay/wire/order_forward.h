#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "cornelrelay/core/ids.h"

namespace cornelrelay::wire {

inline constexpr std::size_t kMaxOrder = 64U << 10U;

/// \brief Order to an engine, passed to the agent that gates it by the group's fence.
struct OrderForward {
  core::GroupId group;
  std::uint64_t fence = 0;
  std::string order;  ///< JSON, at most kMaxOrder bytes

  friend auto operator<=>(const OrderForward&, const OrderForward&) = default;
};

}  // namespace cornelrelay::wire
