#include "group_world.h"

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

GroupWorld::GroupWorld(std::uint64_t seed, BalanceFaults faults, bool engines_check_fences)
    : m_random(seed), m_faults(faults), m_engines_check_fences(engines_check_fences) {
  constexpr std::uint64_t kCalm[] = {1, 4, 16};
  m_calm = kCalm[Pick(3)];
  m_settings.ranks = kRanks;
  m_settings.lead_steps = 6;
  m_settings.expert_bytes = 20'000'000;
  m_settings.prepare_timeout = seconds(20);
  for (int c = 0; c < 2; ++c) m_coordinators.emplace_back(MapSwitchCoordinator(m_settings, faults));
  m_ranks.resize(kRanks);
  for (RankIndex r = 0; r < kRanks; ++r) RestartGate(r);
  GrantLease(0);
}

ExpertMap GroupWorld::RandomMap() {
  ExpertMap::Placement placement;
  for (ExpertIndex e = 0; e < kExperts; ++e) {
    placement[e].insert(static_cast<RankIndex>(Pick(kRanks)));
    if (Pick(2) == 0) placement[e].insert(static_cast<RankIndex>(Pick(kRanks)));
  }
  return ExpertMap(m_next_version++, kRanks, placement);
}

void GroupWorld::ToGate(RankIndex r, int life, const GateEvent& event, bool network) {
  // Life 0 addresses whichever agent runs; answers of the store and the engine are for one agent
  // process.
  Message message;
  message.network = network;
  message.deliver = [this, r, life, event] {
    if (life == 0 || life == m_ranks[r].life) StepGate(r, event);
  };
  m_messages.push_back(message);
}

void GroupWorld::ToCoordinator(int c, const CoordinatorEvent& event) {
  Message message;
  message.network = true;
  message.paused_by = c;
  message.deliver = [this, c, event] { StepCoordinator(c, event); };
  m_messages.push_back(message);
}

void GroupWorld::StepCoordinator(int c, const CoordinatorEvent& event) {
  const int life = m_coordinators[c].life;
  const auto answer = [this, c, life](const CoordinatorEvent& result) {
    Message message;
    message.paused_by = c;
    message.deliver = [this, c, life, result] {
      if (m_coordinators[c].life == life) StepCoordinator(c, result);
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
            [&](const SendPrepare& a) { ToGate(a.rank, 0, a.message, true); },
            [&](const SendDecision& a) { ToGate(a.rank, 0, DecisionReceived{a.record}, true); },
            [](const ReportHealth&) {},
            [&](const PlanEnded& a) { m_committed += a.committed ? 1 : 0; }},
        action);
  }
}

void GroupWorld::KillRank(RankIndex rank) {
  m_ranks[rank].alive = false;
  for (int c = 0; c < 2; ++c) {
    StepCoordinator(c, RankProgress{rank, false, m_ranks[rank].last_step});
  }
}

void GroupWorld::GrantLease(int c) { StepCoordinator(c, LeaseAcquired{++m_lease}); }

void GroupWorld::WantSwitch() {
  const ExpertMap map = RandomMap();
  for (int c = 0; c < 2; ++c) {
    if (!m_coordinators[c].paused) StepCoordinator(c, SwitchWanted{map});
  }
}

void GroupWorld::FaultyStep() {
  const int dice = Pick(1000);
  // Calm runs reach deep states: switches that are committed and reached.
  if (dice >= 970 && Pick(m_calm) != 0) return;
  const int c = Pick(2);
  const auto r = static_cast<RankIndex>(Pick(kRanks));
  if (dice < 600) {
    if (m_messages.empty()) return;
    const auto at = m_messages.begin() + Pick(m_messages.size());
    if (at->paused_by >= 0 && m_coordinators[at->paused_by].paused) return;
    const Message message = *at;
    const int fate = Pick(20);
    if (message.network && fate == 0) {
      m_messages.erase(at);
    } else if (message.lose && fate < 2) {
      // The request stays in flight without an answer and may take effect later.
      at->deliver = [deliver = message.deliver, this] {
        const std::size_t before = m_messages.size();
        deliver();
        m_messages.resize(std::min(before, m_messages.size()));
      };
      at->lose = nullptr;
      message.lose();
    } else {
      if (!message.network || fate != 1) m_messages.erase(at);
      message.deliver();
    }
  } else if (dice < 750) {
    RequestStep(r);
  } else if (dice < 830) {
    m_now += milliseconds(Pick(1500));
    for (int i = 0; i < 2; ++i) {
      if (!m_coordinators[i].paused) StepCoordinator(i, CoordinatorTick{});
    }
  } else if (dice < 900) {
    StepGate(r, GateTick{});
  } else if (dice < 940) {
    Report(r);
  } else if (dice < 970) {
    WantSwitch();
  } else if (dice < 978) {
    m_coordinators[c].paused = !m_coordinators[c].paused;
  } else if (dice < 984) {
    // The former holder notices late, or never while it is paused.
    if (!m_coordinators[c].paused) GrantLease(c);
    if (Pick(3) == 0) ToCoordinator(1 - c, LeaseLost{m_coordinators[1 - c].machine.fence()});
  } else if (dice < 987) {
    ++m_coordinators[c].life;
    m_coordinators[c].machine = MapSwitchCoordinator(m_settings, m_faults);
  } else if (dice < 994) {
    RestartGate(r);
  } else {
    RestartEngine(r);
  }
}

void GroupWorld::EndFaults() {
  for (Coordinator& coordinator : m_coordinators) coordinator.paused = false;
  StepCoordinator(1, LeaseLost{m_coordinators[1].machine.fence()});
  GrantLease(0);
}

void GroupWorld::RunQuietly() {
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
      Report(r);
    }
  }
}

StepIndex GroupWorld::steps() const {
  StepIndex steps = m_ranks[0].last_step;
  for (const Rank& rank : m_ranks) steps = std::min(steps, rank.last_step);
  return steps;
}

int GroupWorld::RanksWithWrongWeights() const {
  int wrong = 0;
  for (RankIndex r = 0; r < kRanks; ++r) {
    if (m_ranks[r].loaded != m_plan.Current().ExpertsOn(r)) ++wrong;
  }
  return wrong;
}

std::set<RankIndex> GroupWorld::LiveRanks() const {
  std::set<RankIndex> live;
  for (RankIndex r = 0; r < kRanks; ++r) {
    if (m_ranks[r].alive) live.insert(r);
  }
  return live;
}

}  // namespace cornelrelay::balance::testing
