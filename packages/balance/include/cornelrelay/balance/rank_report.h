#pragma once

#include <cstdint>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::balance {

/// \brief Who a rank is, and its state.
struct RankReport {
  core::GroupId group;
  RankIndex rank = 0;
  RankIndex size = 1;             ///< ranks of the group
  std::uint64_t incarnation = 0;  ///< of the engine; changes with each start
  RankState state;

  friend bool operator==(const RankReport&, const RankReport&) = default;
};

}  // namespace cornelrelay::balance
