#pragma once

#include <cstdint>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::balance {

/// \brief Identity and state of a rank.
struct RankReport {
  core::GroupId group;
  RankIndex rank = 0;
  RankIndex size = 1;             ///< number of ranks in the group
  std::uint64_t incarnation = 0;  ///< incarnation of the engine, which changes with each start
  double pace = 1;                ///< factor by which the engine works longer than a sound one
  RankState state;

  friend bool operator==(const RankReport&, const RankReport&) = default;
};

}  // namespace cornelrelay::balance
