#pragma once

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::balance {

/// \brief This process leads the group, with a fence above all earlier ones.
struct LeadershipGained {
  Fence fence = 0;
};
struct LeadershipLost {};
/// \brief A rank's state from a status query, not from the answer to an order (see OrderEnded).
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
/// \brief Results of orders that arrived together. They are all recorded before the next orders are
/// decided, so that those can be sent together as well.
struct OrdersEnded {
  std::vector<OrderEnded> orders;
};
/// \brief States of ranks that arrived together.
struct RanksObserved {
  std::vector<RankObserved> ranks;
};
/// \brief Requests a switch to this map. Ignored while another switch is in progress or pending.
struct MapRequested {
  LayerMap map;
};
struct SwitchTick {};

using SwitchEvent = std::variant<LeadershipGained, LeadershipLost, RankObserved, OrderEnded,
                                 OrdersEnded, RanksObserved, MapRequested, SwitchTick>;

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

/// \brief Result of a switch.
///
/// A switch takes place as a pass begins; the step is the number of that pass. The leader first
/// holds the pass, so that the group does not begin it (see HoldPass). It then arms the ranks,
/// which orders them to switch as the pass begins (see ArmMap).
enum class SwitchOutcome {
  kSwitched,  ///< all ranks use the map
  /// Ended before any rank was armed: a rank refused the map, not all ranks loaded it in time, or
  /// no pass was held in time.
  kGivenUp,
  kAborted,    ///< ended after a pass was held; no rank can switch to the map any more
  kEpochOver,  ///< the group formed again with a new epoch, which cancels the switch
  /// This process lost the leadership, or a rank refused an order because it knows a newer leader.
  /// The next leader completes or aborts the switch.
  kFenced,
};
std::string_view ToString(SwitchOutcome outcome);

struct SwitchEnded {
  MapVersion version = 0;
  SwitchOutcome outcome = SwitchOutcome::kSwitched;
  StepIndex step = 0;
  core::Duration elapsed{};
  /// The map of the switch. Empty if an earlier leader began it, of which only the version is
  /// known.
  std::optional<SharedLayerMap> map;
};
/// \brief An unfinished switch of an earlier leader was found.
struct SwitchInherited {
  StepIndex step = 0;
  bool will_complete = false;  ///< all ranks are armed for the same switch, so it is completed
};

/// \brief Requests the state of all ranks after a completed switch, because the next map is planned
/// against the one that they now report.
struct RefreshRankStates {};

using SwitchAction = std::variant<SendOrder, SwitchEnded, SwitchInherited, RefreshRankStates>;

}  // namespace cornelrelay::balance
