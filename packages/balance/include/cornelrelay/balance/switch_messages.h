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
/// \brief The state of a rank that was received other than as the answer to an order.
struct RankObserved {
  RankIndex rank = 0;
  RankState state;
  core::Instant requested_at;  ///< the state is not older than this
};
/// \brief The result of an order, with the state after it if it is known.
struct OrderEnded {
  RankIndex rank = 0;
  OrderResult result = OrderResult::kUnknown;
  std::optional<RankState> state;
  core::Instant requested_at;  ///< the state is not older than this
};
/// \brief Requests a switch to this map. Ignored while another switch is in progress or pending.
struct MapRequested {
  LayerMap map;
};
struct SwitchTick {};

using SwitchEvent = std::variant<LeadershipGained, LeadershipLost, RankObserved, OrderEnded,
                                 MapRequested, SwitchTick>;

/// \brief Sends an order to a rank. The order carries the epoch, so that it has no effect in
/// another one.
struct SendOrder {
  RankIndex rank = 0;
  RankOrder order;
  Fence fence = 0;
  std::uint64_t epoch = 0;
  /// Rank whose agent forwards the order to the engine instead of the target rank's own agent.
  std::optional<RankIndex> forwarder{};
};

enum class SwitchOutcome {
  kSwitched,   ///< all ranks use the map
  kGivenUp,    ///< not all ranks loaded the map in time; nothing was armed
  kAborted,    ///< a pass was held, but no rank can switch to the map any more
  kEpochOver,  ///< the group formed again
  kFenced,     ///< the switch is left to the next leader
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
  bool will_complete = false;  ///< all ranks are armed for the same switch, so it is completed
};

/// \brief Requests the state of all ranks. They have a new map, and the next one is planned against
/// it.
struct RefreshRankStates {};

using SwitchAction = std::variant<SendOrder, SwitchEnded, SwitchInherited, RefreshRankStates>;

}  // namespace cornelrelay::balance
