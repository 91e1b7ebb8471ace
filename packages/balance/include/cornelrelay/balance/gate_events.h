#pragma once

#include <cstdint>
#include <set>
#include <variant>

#include "cornelrelay/balance/coordinator_events.h"
#include "cornelrelay/balance/plan_record.h"
#include "cornelrelay/balance/plan_store.h"

namespace cornelrelay::balance {

/// \brief The highest fence of the group's lease, read from the store after a start of the agent.
struct FenceRead {
  Fence fence = 0;
};

/// \brief The engine's state, sent in answer to QueryEngine and after each start of the engine.
struct EngineReport {
  std::uint64_t incarnation = 0;  ///< starts at 1 and rises with each start of the engine
  std::set<ExpertIndex> loaded;
  StepIndex last_step = 0;  ///< last step that the engine has started, 0 for none
};

/// \brief The engine has ended all earlier steps and waits for permission to run this one. Steps
/// count from 1.
struct StepRequested {
  StepIndex step = 0;
};

struct ExpertsLoaded {
  std::uint64_t incarnation = 0;
  std::set<ExpertIndex> experts;
};

struct DecisionReceived {
  PlanRecord record;
};

/// \brief Timer event, due at least every second. The first one starts the gate.
struct GateTick {};

using GateEvent = std::variant<GateTick, FenceRead, EngineReport, StepRequested, ExpertsLoaded,
                               PreparePlan, DecisionReceived, PlanRead, PlanCallLost>;

/// \brief Reads the fence from the store key `cornelrelay/groups/<group>`.
struct ReadFence {};
struct QueryEngine {};

struct LoadExperts {
  Fence fence = 0;
  std::set<ExpertIndex> experts;
};
struct UnloadExperts {
  Fence fence = 0;
  std::set<ExpertIndex> experts;
};

struct AllowStep {
  StepIndex step = 0;
  std::uint64_t map_version = 0;
};

/// \brief Sends the rank's answer to PreparePlan, an acceptance or a refusal.
struct ConfirmPlan {
  PlanConfirmed message;
};

/// \brief Actions of a gate. The caller must drop orders to an engine that has restarted since its
/// last EngineReport.
using GateAction = std::variant<ReadPlan, ReadFence, QueryEngine, LoadExperts, UnloadExperts,
                                AllowStep, ConfirmPlan>;

}  // namespace cornelrelay::balance
