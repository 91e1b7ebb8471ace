#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/balance/shared_layer_map.h"

namespace cornelrelay::balance {

struct PrepareMap {
  MapVersion version = 0;
  SharedLayerMap map;

  friend bool operator==(const PrepareMap&, const PrepareMap&) = default;
};
struct ArmMap {
  MapVersion version = 0;
  StepIndex step = 0;

  friend bool operator==(const ArmMap&, const ArmMap&) = default;
};
struct DisarmMap {
  MapVersion version = 0;

  friend bool operator==(const DisarmMap&, const DisarmMap&) = default;
};
/// \brief The group does not begin this pass before it is released at the same rank.
struct HoldPass {
  StepIndex step = 0;

  friend bool operator==(const HoldPass&, const HoldPass&) = default;
};
struct ReleasePass {
  StepIndex step = 0;

  friend bool operator==(const ReleasePass&, const ReleasePass&) = default;
};
/// \brief Only tells the state.
struct ObserveRank {
  friend bool operator==(const ObserveRank&, const ObserveRank&) = default;
};

using RankOrder = std::variant<PrepareMap, ArmMap, DisarmMap, HoldPass, ReleasePass, ObserveRank>;

/// \brief Name of the order's kind in logs, e.g. `arm`.
std::string_view KindName(const RankOrder& order);

enum class OrderResult {
  kDone,     ///< begun, done, or already so
  kRefused,  ///< does not fit the state of the rank
  kFenced,   ///< the rank knows a newer leader
  kUnknown,  ///< no answer: it may have been carried out, or may be later, after newer orders
};
std::string_view ToString(OrderResult result);

}  // namespace cornelrelay::balance
