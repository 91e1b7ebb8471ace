#pragma once

#include <cstdint>
#include <set>
#include <variant>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/plan_record.h"
#include "cornelrelay/balance/plan_store.h"

namespace cornelrelay::balance {

/// \brief This process has acquired the group's lease with the given fence.
struct LeaseAcquired {
  Fence fence = 0;
};
/// \brief The lease with that fence has lapsed. The event is ignored if the fence is not the
/// current one, so that a late event does not end a newer lease.
struct LeaseLost {
  Fence fence = 0;
};

/// \brief Requests a switch to a new map. The latest requested map waits until a switch in progress
/// has ended and all ranks are live.
struct SwitchRequested {
  ExpertMap map;
};

/// \brief Answer of a rank gate to PreparePlan.
struct PlanConfirmed {
  RankIndex rank = 0;
  std::uint64_t plan = 0;
  bool accepted = false;
};

/// \brief A rank's last step and whether it is alive.
struct RankProgress {
  RankIndex rank = 0;
  bool live = false;
  StepIndex step = 0;
};

struct CoordinatorTick {};

using CoordinatorEvent =
    std::variant<LeaseAcquired, LeaseLost, SwitchRequested, PlanConfirmed, RankProgress, PlanRead,
                 PlanSwapped, PlanCallLost, CoordinatorTick>;

/// \brief Order to a rank gate: load the experts of the proposed plan, then confirm.
struct PreparePlan {
  Fence fence = 0;
  PlanRecord record;
};

struct SendPrepare {
  RankIndex rank = 0;
  PreparePlan message;
};

/// \brief Sends a decision to a rank gate. Gates also read it from the store, so this only saves
/// time.
struct SendDecision {
  RankIndex rank = 0;
  PlanRecord record;
};

/// \brief Reports that the set of experts without a live replica has changed. It is empty while the
/// group is healthy.
struct ReportHealth {
  std::set<ExpertIndex> unserved;
};

struct PlanEnded {
  std::uint64_t plan = 0;
  bool committed = false;
};

using CoordinatorAction =
    std::variant<ReadPlan, SwapPlan, SendPrepare, SendDecision, ReportHealth, PlanEnded>;

}  // namespace cornelrelay::balance
