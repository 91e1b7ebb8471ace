#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/balance/shared_layer_map.h"

namespace cornelrelay::balance {

/// \brief Order: load a map beside the one in use.
struct PrepareMap {
  MapVersion version = 0;
  SharedLayerMap map;

  friend bool operator==(const PrepareMap&, const PrepareMap&) = default;
};
/// \brief Order: switch to the prepared map as the pass `step` begins.
struct ArmMap {
  MapVersion version = 0;
  StepIndex step = 0;

  friend bool operator==(const ArmMap&, const ArmMap&) = default;
};
/// \brief Order: cancel the switch to the map of this version.
struct DisarmMap {
  MapVersion version = 0;

  friend bool operator==(const DisarmMap&, const DisarmMap&) = default;
};
/// \brief Order: the group does not begin this pass before it is released at the same rank.
struct HoldPass {
  StepIndex step = 0;

  friend bool operator==(const HoldPass&, const HoldPass&) = default;
};
/// \brief Order: end the hold of this pass at the same rank.
struct ReleasePass {
  StepIndex step = 0;

  friend bool operator==(const ReleasePass&, const ReleasePass&) = default;
};
/// \brief Order without an effect; the answer contains the state of the rank.
struct ObserveRank {
  friend bool operator==(const ObserveRank&, const ObserveRank&) = default;
};

using RankOrder = std::variant<PrepareMap, ArmMap, DisarmMap, HoldPass, ReleasePass, ObserveRank>;

/// \brief Returns the name of the order's kind in logs, e.g. `arm`.
std::string_view KindName(const RankOrder& order);

enum class OrderResult {
  kDone,     ///< executed, started, or already in force
  kRefused,  ///< the order does not fit the state of the rank
  kFenced,   ///< the rank knows a newer leader
  kUnknown,  ///< no answer: it may have been executed, or may be later, after newer orders
};
std::string_view ToString(OrderResult result);

}  // namespace cornelrelay::balance
