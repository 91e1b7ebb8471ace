#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/balance/balance_faults.h"
#include "cornelrelay/balance/gate_events.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::balance {

/// \brief Controls the engine of one rank from the rank's agent. The gate loads and unloads
/// experts, and allows each step only with the map that the whole group uses for it. It holds the
/// rank at the switch step of an undecided plan.
///
/// The gate has no persistent state. After a restart it reads the plan record, the fence and the
/// engine's state before it allows a step or executes an order. A confirmed plan therefore still
/// holds a rank whose agent was restarted.
///
/// \code
/// RankGate gate(rank);
/// for (const GateAction& action : gate.Step(now, GateTick{})) Perform(action);
/// \endcode
class RankGate {
 public:
  explicit RankGate(RankIndex rank, BalanceFaults faults = {});

  std::vector<GateAction> Step(core::Instant now, const GateEvent& event);

  RankIndex rank() const { return m_rank; }
  const std::optional<PlanRecord>& record() const { return m_record; }
  const std::optional<Fence>& fence() const { return m_fence; }
  const std::set<ExpertIndex>& loaded() const { return m_loaded; }
  const std::set<ExpertIndex>& loading() const { return m_loading; }
  StepIndex last_allowed_step() const { return m_last_allowed_step; }
  const std::optional<StepIndex>& waiting_step() const { return m_waiting_step; }
  /// \brief Returns the incarnation of the engine that the gate controls; 0 while unknown.
  std::uint64_t engine_incarnation() const { return m_engine_incarnation; }
  bool ready() const { return m_record && m_fence && m_engine_incarnation != 0; }

 private:
  using Actions = std::vector<GateAction>;

  void Handle(core::Instant now, const GateTick& event, Actions& out);
  void Handle(core::Instant now, const FenceRead& event, Actions& out);
  void Handle(core::Instant now, const EngineReport& event, Actions& out);
  void Handle(core::Instant now, const StepRequested& event, Actions& out);
  void Handle(core::Instant now, const ExpertsLoaded& event, Actions& out);
  void Handle(core::Instant now, const PreparePlan& event, Actions& out);
  void Handle(core::Instant now, const DecisionReceived& event, Actions& out);
  void Handle(core::Instant now, const PlanRead& event, Actions& out);
  void Handle(core::Instant now, const PlanCallLost& event, Actions& out);

  void Adopt(const PlanRecord& record);
  bool IsPreparing() const;
  void UpdateLoadedExperts(Actions& out);
  void AnswerPreparePlan(Actions& out);
  void AllowWaitingStep(Actions& out);

  RankIndex m_rank;
  BalanceFaults m_faults;
  PlanCallId m_next_call = 1;
  PlanCallId m_pending_call = 0;
  std::optional<PlanRecord> m_record;
  std::optional<Fence> m_fence;
  std::uint64_t m_engine_incarnation = 0;
  std::set<ExpertIndex> m_loaded;
  std::set<ExpertIndex> m_loading;
  StepIndex m_last_allowed_step = 0;
  StepIndex m_last_completed_step = 0;
  std::optional<StepIndex> m_waiting_step;
  std::uint64_t m_prepared_plan = 0;  ///< number of the last plan that was ordered to be prepared
  bool m_answer_due = false;
};

}  // namespace cornelrelay::balance
