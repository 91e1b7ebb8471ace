#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::balance {

/// \brief This process leads the group, with a fence above all earlier ones.
struct LeadershipGained {
  Fence fence = 0;
};
struct LeadershipLost {};
/// \brief A state that a rank told outside of an order.
struct RankObserved {
  RankIndex rank = 0;
  RankState state;
  core::Instant requested_at;  ///< the state is not older than this
};
/// \brief The end of an order, with the state after it if it is known.
struct OrderEnded {
  RankIndex rank = 0;
  OrderResult result = OrderResult::kUnknown;
  std::optional<RankState> state;
  core::Instant requested_at;  ///< the state is not older than this
};
/// \brief The map that the group should have.
struct MapRequested {
  LayerMap map;
};
struct SwitchTick {};

using SwitchEvent = std::variant<LeadershipGained, LeadershipLost, RankObserved, OrderEnded,
                                 MapRequested, SwitchTick>;

/// \brief Send an order to a rank; it carries the epoch, so that it has no effect in another one.
struct SendOrder {
  RankIndex rank = 0;
  RankOrder order;
  Fence fence = 0;
  std::uint64_t epoch = 0;
  /// Rank whose agent gives the order instead of the rank's own.
  std::optional<RankIndex> forwarder{};
};

enum class SwitchOutcome {
  kSwitched,   ///< the map is in force on all ranks
  kGivenUp,    ///< not all ranks loaded the map in time; nothing was armed
  kAborted,    ///< a pass was held, but no rank can switch to the map any more
  kEpochOver,  ///< the group formed anew
  kFenced,     ///< left to the next leader
};
std::string_view ToString(SwitchOutcome outcome);

struct SwitchEnded {
  MapVersion version = 0;
  SwitchOutcome outcome = SwitchOutcome::kSwitched;
  StepIndex step = 0;
  core::Duration elapsed{};
  SharedLayerMap map;
};
/// \brief An unfinished switch of an earlier leader was found.
struct SwitchInherited {
  StepIndex step = 0;
  bool will_complete = false;  ///< all ranks are armed alike, so it is completed
};

/// \brief All ranks have a new map, which the next one is planned against; ask them for their
/// state.
struct RefreshRankStates {};

using SwitchAction = std::variant<SendOrder, SwitchEnded, SwitchInherited, RefreshRankStates>;

}  // namespace cornelrelay::balance
