#include <algorithm>

#include "coordinator_simulation.h"
#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::balance::testing {

void CoordinatorSimulation::StepGate(RankIndex r, const GateEvent& event) {
  Rank& rank = m_ranks[r];
  if (const auto* fence = std::get_if<FenceRead>(&event)) {
    rank.highest_fence = std::max(rank.highest_fence, fence->fence);
  }
  for (const GateAction& action : rank.gate->Step(m_now, event)) Perform(r, action);
}

void CoordinatorSimulation::Perform(RankIndex r, const GateAction& action) {
  Rank& rank = m_ranks[r];
  const int generation = rank.generation;
  std::visit(
      core::Overloaded{[&](const ReadPlan& a) {
                         Message message;
                         message.deliver = [this, r, generation, a] {
                           SendToGate(r, generation, PlanRead{a.call, m_revision, m_plan}, false);
                         };
                         message.lose = [this, r, generation, a] {
                           SendToGate(r, generation, PlanCallLost{a.call}, false);
                         };
                         m_messages.push_back(message);
                       },
                       [&](const ReadFence&) {
                         Message message;
                         message.deliver = [this, r, generation] {
                           SendToGate(r, generation, FenceRead{m_lease}, false);
                         };
                         m_messages.push_back(message);
                       },
                       [&](const QueryEngine&) { ReportEngine(r, generation); },
                       [&](const ConfirmPlan& a) {
                         for (int c = 0; c < 2; ++c) SendToCoordinator(c, a.message);
                       },
                       [&](const auto&) { SendToEngine(r, action); }},
      action);
}

bool CoordinatorSimulation::CheckFence(Rank& rank, Fence fence) {
  if (fence >= rank.highest_fence) {
    rank.highest_fence = fence;
    return true;
  }
  if (m_engines_check_fences) return false;
  m_violations.push_back("an order with an old fence reached the engine");
  return true;
}

void CoordinatorSimulation::SendToEngine(RankIndex r, const GateAction& action) {
  Rank& rank = m_ranks[r];
  if (!rank.alive || rank.gate->engine_incarnation() != rank.incarnation) return;
  std::visit(
      core::Overloaded{[&](const LoadExperts& a) {
                         if (!CheckFence(rank, a.fence)) return;
                         Message message;
                         const std::uint64_t engine = rank.incarnation;
                         message.deliver = [this, r, engine, a] {
                           Rank& loader = m_ranks[r];
                           if (!loader.alive || loader.incarnation != engine) return;
                           loader.loaded.insert(a.experts.begin(), a.experts.end());
                           StepGate(r, ExpertsLoaded{engine, a.experts});
                         };
                         m_messages.push_back(message);
                       },
                       [&](const UnloadExperts& a) {
                         if (!CheckFence(rank, a.fence)) return;
                         for (const ExpertIndex e : a.experts) rank.loaded.erase(e);
                       },
                       [&](const AllowStep& a) { HandleAllowedStep(r, a); }, [](const auto&) {}},
      action);
}

void CoordinatorSimulation::HandleAllowedStep(RankIndex r, const AllowStep& allowed) {
  Rank& rank = m_ranks[r];
  if (allowed.step != rank.last_step + 1) return;  // a repeated permission
  rank.last_step = allowed.step;
  const auto [map, first] = m_step_map_versions.emplace(allowed.step, allowed.map_version);
  if (!first && map->second != allowed.map_version) {
    m_violations.push_back("two maps in step " + std::to_string(allowed.step));
  }
  for (const ExpertMap& known : {m_plan.previous, m_plan.base, m_plan.next}) {
    if (known.version() != allowed.map_version) continue;
    for (const ExpertIndex e : known.ExpertsOn(r)) {
      if (!rank.loaded.contains(e)) m_violations.push_back("a step ran without its weights");
    }
  }
}

void CoordinatorSimulation::RequestStep(RankIndex r) {
  const Rank& rank = m_ranks[r];
  // The ranks run in lock-step: none starts a step before all have run the previous one.
  const bool all = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& other) {
    return other.alive && other.last_step >= rank.last_step;
  });
  if (all && rank.gate->engine_incarnation() == rank.incarnation) {
    StepGate(r, StepRequested{rank.last_step + 1});
  }
}

void CoordinatorSimulation::ReportProgress(RankIndex r) {
  for (int c = 0; c < 2; ++c) {
    SendToCoordinator(c, RankProgress{r, m_ranks[r].alive, m_ranks[r].last_step});
  }
}

void CoordinatorSimulation::RestartGate(RankIndex r) {
  ++m_ranks[r].generation;
  m_ranks[r].gate.emplace(r, m_faults);
  StepGate(r, GateTick{});
}

void CoordinatorSimulation::ReportEngine(RankIndex r, int generation) {
  // Engine and agent share one ordered connection, so the report holds all that was finished before
  // it arrives.
  Message message;
  message.deliver = [this, r, generation] {
    const Rank& rank = m_ranks[r];
    if (!rank.alive || rank.generation != generation) return;
    StepGate(r, EngineReport{rank.incarnation, rank.loaded, rank.last_step});
  };
  m_messages.push_back(message);
}

void CoordinatorSimulation::RestartEngine(RankIndex r) {
  Rank& rank = m_ranks[r];
  ++rank.incarnation;
  rank.alive = true;
  rank.loaded.clear();
  ReportEngine(r, rank.generation);
  ReportProgress(r);
}

}  // namespace cornelrelay::balance::testing
