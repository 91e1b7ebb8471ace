#include "coordinator_simulation.h"

#include <algorithm>
#include <chrono>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::balance::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RankIndex kRanks = 3;
constexpr ExpertIndex kExperts = 5;

}  // namespace

CoordinatorSimulation::CoordinatorSimulation(std::uint64_t seed, BalanceFaults faults,
                                             bool engines_check_fences)
    : m_random(seed), m_faults(faults), m_engines_check_fences(engines_check_fences) {
  constexpr std::uint64_t kFaultDivisors[] = {1, 4, 16};
  m_fault_divisor = kFaultDivisors[RandomBelow(3)];
  m_settings.ranks = kRanks;
  m_settings.lead_steps = 6;
  m_settings.expert_bytes = 20'000'000;
  m_settings.prepare_timeout = seconds(20);
  for (int c = 0; c < 2; ++c) m_coordinators.emplace_back(MapSwitchCoordinator(m_settings, faults));
  m_ranks.resize(kRanks);
  for (RankIndex r = 0; r < kRanks; ++r) RestartGate(r);
  GrantLease(0);
}

ExpertMap CoordinatorSimulation::RandomMap() {
  ExpertMap::Placement placement;
  for (ExpertIndex e = 0; e < kExperts; ++e) {
    placement[e].insert(static_cast<RankIndex>(RandomBelow(kRanks)));
    if (RandomBelow(2) == 0) placement[e].insert(static_cast<RankIndex>(RandomBelow(kRanks)));
  }
  return ExpertMap(m_next_version++, kRanks, placement);
}

void CoordinatorSimulation::SendToGate(RankIndex r, int generation, const GateEvent& event,
                                       bool network) {
  // With generation 0, the event goes to the agent process that runs on delivery. Answers of the
  // store and the engine go only to the agent process that asked.
  Message message;
  message.network = network;
  message.deliver = [this, r, generation, event] {
    if (generation == 0 || generation == m_ranks[r].generation) StepGate(r, event);
  };
  m_messages.push_back(message);
}

void CoordinatorSimulation::SendToCoordinator(int c, const CoordinatorEvent& event) {
  Message message;
  message.network = true;
  message.paused_by = c;
  message.deliver = [this, c, event] { StepCoordinator(c, event); };
  m_messages.push_back(message);
}

void CoordinatorSimulation::StepCoordinator(int c, const CoordinatorEvent& event) {
  const int generation = m_coordinators[c].generation;
  const auto answer = [this, c, generation](const CoordinatorEvent& result) {
    Message message;
    message.paused_by = c;
    message.deliver = [this, c, generation, result] {
      if (m_coordinators[c].generation == generation) StepCoordinator(c, result);
    };
    m_messages.push_back(message);
  };
  const auto store_call = [&](PlanCallId call, std::function<CoordinatorEvent()> serve) {
    Message message;
    message.deliver = [answer, serve] { answer(serve()); };
    message.lose = [answer, call] { answer(PlanCallLost{call}); };
    m_messages.push_back(message);
  };
  for (const CoordinatorAction& action : m_coordinators[c].machine.Step(m_now, event)) {
    std::visit(
        core::Overloaded{
            [&](const ReadPlan& a) {
              store_call(a.call, [this, a] { return PlanRead{a.call, m_revision, m_plan}; });
            },
            [&](const SwapPlan& a) {
              store_call(a.call, [this, a]() -> CoordinatorEvent {
                const bool swapped = a.expected == m_revision;
                if (swapped) {
                  m_plan = DecodePlan(EncodePlan(a.record));
                  ++m_revision;
                }
                return PlanSwapped{a.call, swapped, m_revision};
              });
            },
            [&](const SendPrepare& a) { SendToGate(a.rank, 0, a.message, true); },
            [&](const SendDecision& a) { SendToGate(a.rank, 0, DecisionReceived{a.record}, true); },
            [](const ReportHealth&) {},
            [&](const PlanEnded& a) { m_committed_plans += a.committed ? 1 : 0; }},
        action);
  }
}

void CoordinatorSimulation::KillRank(RankIndex rank) {
  m_ranks[rank].alive = false;
  for (int c = 0; c < 2; ++c) {
    StepCoordinator(c, RankProgress{rank, false, m_ranks[rank].last_step});
  }
}

void CoordinatorSimulation::GrantLease(int c) { StepCoordinator(c, LeaseAcquired{++m_lease}); }

void CoordinatorSimulation::RequestSwitch() {
  const ExpertMap map = RandomMap();
  for (int c = 0; c < 2; ++c) {
    if (!m_coordinators[c].paused) StepCoordinator(c, SwitchRequested{map});
  }
}

void CoordinatorSimulation::RandomStep() {
  const int draw = RandomBelow(1000);
  // In runs with few faults, switches are committed and their steps are reached.
  if (draw >= 970 && RandomBelow(m_fault_divisor) != 0) return;
  const int c = RandomBelow(2);
  const auto r = static_cast<RankIndex>(RandomBelow(kRanks));
  if (draw < 600) {
    if (m_messages.empty()) return;
    const auto at = m_messages.begin() + RandomBelow(m_messages.size());
    if (at->paused_by >= 0 && m_coordinators[at->paused_by].paused) return;
    const Message message = *at;
    const int outcome = RandomBelow(20);
    if (message.network && outcome == 0) {
      m_messages.erase(at);
    } else if (message.lose && outcome < 2) {
      // The request stays in flight without an answer and may take effect later.
      at->deliver = [deliver = message.deliver, this] {
        const std::size_t before = m_messages.size();
        deliver();
        m_messages.resize(std::min(before, m_messages.size()));
      };
      at->lose = nullptr;
      message.lose();
    } else {
      if (!message.network || outcome != 1) m_messages.erase(at);
      message.deliver();
    }
  } else if (draw < 750) {
    RequestStep(r);
  } else if (draw < 830) {
    m_now += milliseconds(RandomBelow(1500));
    for (int i = 0; i < 2; ++i) {
      if (!m_coordinators[i].paused) StepCoordinator(i, CoordinatorTick{});
    }
  } else if (draw < 900) {
    StepGate(r, GateTick{});
  } else if (draw < 940) {
    ReportProgress(r);
  } else if (draw < 970) {
    RequestSwitch();
  } else if (draw < 978) {
    m_coordinators[c].paused = !m_coordinators[c].paused;
  } else if (draw < 984) {
    // The former holder notices the loss of its lease late, or never while it is paused.
    if (!m_coordinators[c].paused) GrantLease(c);
    if (RandomBelow(3) == 0)
      SendToCoordinator(1 - c, LeaseLost{m_coordinators[1 - c].machine.fence()});
  } else if (draw < 987) {
    ++m_coordinators[c].generation;
    m_coordinators[c].machine = MapSwitchCoordinator(m_settings, m_faults);
  } else if (draw < 994) {
    RestartGate(r);
  } else {
    RestartEngine(r);
  }
}

void CoordinatorSimulation::EndFaults() {
  for (Coordinator& coordinator : m_coordinators) coordinator.paused = false;
  StepCoordinator(1, LeaseLost{m_coordinators[1].machine.fence()});
  GrantLease(0);
}

void CoordinatorSimulation::RunWithoutFaults() {
  for (int round = 0; round < 300; ++round) {
    for (int budget = 500; budget > 0 && !m_messages.empty(); --budget) {
      const Message message = m_messages.front();
      m_messages.erase(m_messages.begin());
      message.deliver();
    }
    m_now += milliseconds(500);
    StepCoordinator(0, CoordinatorTick{});
    for (RankIndex r = 0; r < kRanks; ++r) {
      StepGate(r, GateTick{});
      RequestStep(r);
      ReportProgress(r);
    }
  }
}

StepIndex CoordinatorSimulation::last_common_step() const {
  StepIndex last = m_ranks[0].last_step;
  for (const Rank& rank : m_ranks) last = std::min(last, rank.last_step);
  return last;
}

int CoordinatorSimulation::RanksWithWrongWeights() const {
  int wrong = 0;
  for (RankIndex r = 0; r < kRanks; ++r) {
    if (m_ranks[r].loaded != m_plan.CurrentMap().ExpertsOn(r)) ++wrong;
  }
  return wrong;
}

std::set<RankIndex> CoordinatorSimulation::LiveRanks() const {
  std::set<RankIndex> live;
  for (RankIndex r = 0; r < kRanks; ++r) {
    if (m_ranks[r].alive) live.insert(r);
  }
  return live;
}

}  // namespace cornelrelay::balance::testing
