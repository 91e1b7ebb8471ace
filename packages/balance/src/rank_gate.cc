#include "cornelrelay/balance/rank_gate.h"

#include <algorithm>

namespace cornelrelay::balance {
namespace {

bool Covers(const std::set<ExpertIndex>& set, const std::set<ExpertIndex>& part) {
  return std::includes(set.begin(), set.end(), part.begin(), part.end());
}

std::set<ExpertIndex> Without(std::set<ExpertIndex> set, const std::set<ExpertIndex>& part) {
  for (const ExpertIndex expert : part) set.erase(expert);
  return set;
}

}  // namespace

RankGate::RankGate(RankIndex rank, BalanceFaults faults) : m_rank(rank), m_faults(faults) {}

std::vector<GateAction> RankGate::Step(core::Instant now, const GateEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Handle(now, e, out); }, event);
  if (ready()) {
    UpdateLoadedExperts(out);
    AnswerPreparePlan(out);
    AllowWaitingStep(out);
  }
  return out;
}

void RankGate::Handle(core::Instant /*now*/, const GateTick& /*event*/, Actions& out) {
  if (!m_fence) out.emplace_back(ReadFence{});
  if (m_engine_incarnation == 0) out.emplace_back(QueryEngine{});
  // The coordinator may be dead, so an undecided plan is polled until some coordinator has decided
  // it.
  if (!m_record || m_record->state == PlanState::kProposed) {
    m_pending_call = m_next_call++;
    out.emplace_back(ReadPlan{m_pending_call});
  }
}

void RankGate::Handle(core::Instant /*now*/, const FenceRead& event, Actions& /*out*/) {
  m_fence = std::max(m_fence.value_or(0), event.fence);
}

void RankGate::Handle(core::Instant /*now*/, const EngineReport& event, Actions& /*out*/) {
  // A second answer to QueryEngine may be older than the orders sent since the first one.
  if (m_engine_incarnation != 0 && event.incarnation <= m_engine_incarnation) return;
  m_engine_incarnation = event.incarnation;
  m_waiting_step.reset();
  m_loaded = event.loaded;
  m_loading.clear();
  // A restarted engine may have missed the last permission, so the step that it reports is used.
  m_last_allowed_step = event.last_step;
  m_last_completed_step = event.last_step == 0 ? 0 : event.last_step - 1;
}

void RankGate::Handle(core::Instant /*now*/, const StepRequested& event, Actions& /*out*/) {
  m_waiting_step = event.step;
  m_last_completed_step = event.step - 1;
}

void RankGate::Handle(core::Instant /*now*/, const ExpertsLoaded& event, Actions& /*out*/) {
  if (event.incarnation != m_engine_incarnation) return;
  // The load may have been ordered before a restart of the agent, so it need not be in m_loading.
  for (const ExpertIndex expert : event.experts) {
    m_loading.erase(expert);
    m_loaded.insert(expert);
  }
}

void RankGate::Handle(core::Instant /*now*/, const PreparePlan& event, Actions& /*out*/) {
  // Until the fence is read from the store, an order of a former coordinator cannot be told from a
  // valid one.
  if (!ready()) return;
  if (event.fence < *m_fence && !m_faults.accept_old_fence) return;
  m_fence = event.fence;
  Adopt(event.record);
  if (event.record != *m_record || m_record->state != PlanState::kProposed) return;
  m_prepared_plan = event.record.number;
  m_answer_due = true;
}

void RankGate::Handle(core::Instant /*now*/, const DecisionReceived& event, Actions& /*out*/) {
  // Before the first read the record is unknown, and a delayed message may carry an old one.
  if (m_record) Adopt(event.record);
}

void RankGate::Handle(core::Instant /*now*/, const PlanRead& event, Actions& /*out*/) {
  if (event.call != m_pending_call) return;
  if (!m_record) m_record = event.record;
  Adopt(event.record);
  if (m_fence) m_fence = std::max(*m_fence, event.record.fence);
}

void RankGate::Handle(core::Instant /*now*/, const PlanCallLost& /*event*/, Actions& /*out*/) {}

void RankGate::Adopt(const PlanRecord& record) {
  if (record.IsNewerThan(*m_record)) m_record = record;
}

bool RankGate::IsPreparing() const {
  return m_record->state == PlanState::kProposed && m_prepared_plan == m_record->number;
}

void RankGate::UpdateLoadedExperts(Actions& out) {
  const std::set<ExpertIndex> next = m_record->next.ExpertsOn(m_rank);
  std::set<ExpertIndex> wanted = m_record->RequiredExperts(m_rank, m_last_completed_step + 1);
  if (IsPreparing()) wanted.insert(next.begin(), next.end());
  const std::set<ExpertIndex> missing = Without(Without(wanted, m_loaded), m_loading);
  if (!missing.empty()) {
    m_loading.insert(missing.begin(), missing.end());
    out.emplace_back(LoadExperts{*m_fence, missing});
  }
  // A restarted agent does not know whether its rank has confirmed, so it keeps the weights of an
  // undecided plan.
  if (m_record->state == PlanState::kProposed) wanted.insert(next.begin(), next.end());
  const std::set<ExpertIndex> extra = Without(m_loaded, wanted);
  if (!extra.empty()) {
    m_loaded = Without(m_loaded, extra);
    out.emplace_back(UnloadExperts{*m_fence, extra});
  }
}

void RankGate::AnswerPreparePlan(Actions& out) {
  if (!m_answer_due || !IsPreparing()) return;
  const auto answer = [&](bool accepted) {
    m_answer_due = false;
    out.emplace_back(ConfirmPlan{PlanConfirmed{m_rank, m_record->number, accepted}});
  };
  // The switch step or a later one has already been allowed with the old map, so the plan is
  // refused.
  if (m_last_allowed_step >= m_record->switch_at) return answer(false);
  // The next record will no longer contain the map of the steps before `base_from`, so these must
  // be complete. An allowed step does not count as complete, because the permission is lost when
  // the engine restarts.
  if (m_last_completed_step + 1 < m_record->base_from) return;
  if (Covers(m_loaded, m_record->next.ExpertsOn(m_rank))) answer(true);
}

void RankGate::AllowWaitingStep(Actions& out) {
  if (!m_waiting_step) return;
  const StepIndex step = *m_waiting_step;
  std::optional<ExpertMap> map = m_record->MapAt(step);
  if (!map && m_faults.gate_does_not_hold) map = m_record->base;
  if (!map || !Covers(m_loaded, map->ExpertsOn(m_rank))) return;
  m_waiting_step.reset();
  m_last_allowed_step = std::max(m_last_allowed_step, step);
  out.emplace_back(AllowStep{step, map->version()});
  UpdateLoadedExperts(out);
}

}  // namespace cornelrelay::balance
