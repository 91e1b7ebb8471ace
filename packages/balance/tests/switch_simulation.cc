#include "switch_simulation.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::balance {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kPass{50};
constexpr milliseconds kLease{1500};
constexpr std::uint16_t kExperts = 6;

}  // namespace

void SimulatedEngine::Reset(std::uint64_t epoch, std::vector<std::uint16_t> experts) {
  m_state = RankState{};
  m_state.epoch = epoch;
  m_state.experts = {std::move(experts)};
  m_content.clear();
  m_highest_version = 0;
}

OrderResult SimulatedEngine::ExecuteOrder(std::uint64_t epoch, const RankOrder& order) {
  if (epoch != m_state.epoch) return OrderResult::kRefused;
  return std::visit([this](const auto& o) { return Execute(o); }, order);
}

OrderResult SimulatedEngine::Execute(const PrepareMap& order) {
  if (order.version <= m_highest_version || m_state.armed) return OrderResult::kRefused;
  m_highest_version = order.version;
  m_state.prepared = order.version;
  m_prepared_content = order.map.layers();
  return OrderResult::kDone;
}

OrderResult SimulatedEngine::Execute(const ArmMap& order) {
  if (m_state.prepared != order.version || order.step <= m_state.step) return OrderResult::kRefused;
  m_state.armed = ArmedMap{order.version, order.step};
  return OrderResult::kDone;
}

OrderResult SimulatedEngine::Execute(const DisarmMap& order) {
  if (m_state.map == order.version) return OrderResult::kRefused;
  if (m_state.armed && m_state.armed->version == order.version) m_state.armed.reset();
  return OrderResult::kDone;
}

OrderResult SimulatedEngine::Execute(const HoldPass& order) {
  if (order.step <= m_state.step) return OrderResult::kRefused;
  if (m_state.held && *m_state.held != order.step) return OrderResult::kRefused;
  m_state.held = order.step;
  return OrderResult::kDone;
}

OrderResult SimulatedEngine::Execute(const ReleasePass& order) {
  if (m_state.held == order.step) m_state.held.reset();
  return OrderResult::kDone;
}

void SimulatedEngine::BeginPass(StepIndex step) {
  m_state.step = step;
  if (!m_state.armed || m_state.armed->step != step) return;
  m_state.map = m_state.armed->version;
  m_content = m_prepared_content;
  m_state.armed.reset();
  m_state.prepared.reset();
}

SwitchSimulation::SwitchSimulation(SwitchSimulationSettings settings, std::uint64_t seed)
    : m_settings(settings), m_random(seed), m_fence_guards(settings.ranks) {
  for (RankIndex rank = 0; rank < settings.ranks; ++rank) {
    m_engines.emplace_back(InitialExperts(rank));
    m_engines.back().Reset(m_epoch, InitialExperts(rank));
  }
  for (RankIndex self : {RankIndex{0}, RankIndex{1}}) {
    SwitchLeaderConfig config;
    config.ranks = settings.ranks;
    config.self = self;
    m_candidates.push_back({SwitchLeader(config), false, {}, {}, {}});
  }
}

std::vector<std::uint16_t> SwitchSimulation::InitialExperts(RankIndex rank) const {
  std::vector<std::uint16_t> experts;
  for (std::uint16_t e = 0; e < kExperts; ++e) {
    if (e % m_settings.ranks == rank) experts.push_back(e);
  }
  return experts;
}

void SwitchSimulation::Run(int ticks) {
  for (int i = 0; i < ticks; ++i) Tick();
}

void SwitchSimulation::Tick() {
  m_now += kTick;
  if (m_random.Unit() < m_settings.regroup_rate) {
    ++m_epoch;
    for (RankIndex rank = 0; rank < m_settings.ranks; ++rank) {
      m_engines[rank].Reset(m_epoch, InitialExperts(rank));
    }
    m_step = 0;
  }
  for (std::size_t i = 0; i < m_late.size();) {
    if (m_late[i].at > m_now) {
      ++i;
      continue;
    }
    m_engines[m_late[i].rank].ExecuteOrder(m_late[i].epoch, m_late[i].order);
    m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(i));
  }
  Elect();
  for (std::size_t index = 0; index < m_candidates.size(); ++index) {
    Candidate& candidate = m_candidates[index];
    if (m_now < candidate.frozen_until) continue;
    // Only one candidate freezes at a time. With both frozen, none could take over.
    const Candidate& other = m_candidates[1 - index];
    if (candidate.leads && m_now >= other.frozen_until &&
        m_random.Unit() < m_settings.freeze_rate) {
      candidate.frozen_until = m_now + milliseconds(500 + m_random.Below(4000));
      continue;
    }
    DeliverObservations(index);
    StepCandidate(index, SwitchTick{});
    if (m_random.Below(40) == 0) {
      LayerMap map(1);
      for (RankIndex r = 0; r < m_settings.ranks; ++r) {
        auto experts = InitialExperts(r);
        experts.push_back(static_cast<std::uint16_t>(m_random.Below(kExperts)));
        map[0].push_back(experts);
      }
      StepCandidate(index, MapRequested{map});
    }
  }
  if (m_now.time_since_epoch() % kPass == core::Duration::zero()) RunPass();
}

// The lease is renewed while its holder runs. When it lapses, a candidate acquires it, and the
// former leader continues until a rank reports the newer one.
void SwitchSimulation::Elect() {
  for (Candidate& candidate : m_candidates) {
    if (!candidate.leads || m_now < candidate.frozen_until) continue;
    const bool lapses = m_random.Unit() < m_settings.lapse_rate;
    candidate.lease_until = lapses ? m_now : m_now + kLease;
    if (lapses) candidate.leads = false;
  }
  const bool taken = std::any_of(m_candidates.begin(), m_candidates.end(),
                                 [&](const auto& c) { return c.leads && m_now < c.lease_until; });
  if (taken) return;
  const std::size_t index = m_random.Below(m_candidates.size());
  Candidate& candidate = m_candidates[index];
  if (m_now < candidate.frozen_until) return;
  for (Candidate& former : m_candidates) former.leads = false;
  if (m_settings.fault != SwitchFault::kReuseVersions || m_fence == 0) ++m_fence;
  candidate.leads = true;
  candidate.lease_until = m_now + kLease;
  StepCandidate(index, LeadershipGained{m_fence});
}

// States arrive with a delay and can overtake each other.
void SwitchSimulation::DeliverObservations(std::size_t index) {
  Candidate& candidate = m_candidates[index];
  const auto rank = static_cast<RankIndex>(m_random.Below(m_settings.ranks));
  const milliseconds delay(m_random.Below(m_settings.max_state_delay.count()));
  candidate.observations.push_back(
      {m_now + delay, RankObserved{rank, m_engines[rank].state(), m_now}});
  std::vector<RankObserved> due;
  std::erase_if(candidate.observations, [&](const Observation& observation) {
    if (observation.at > m_now) return false;
    due.push_back(observation.event);
    return true;
  });
  for (RankObserved& event : due) {
    if (m_settings.fault == SwitchFault::kAcceptOldStates) event.requested_at = m_now;
    StepCandidate(index, event);
  }
}

void SwitchSimulation::StepCandidate(std::size_t index, const SwitchEvent& event) {
  Candidate& candidate = m_candidates[index];
  std::deque<SwitchEvent> events{event};
  while (!events.empty()) {
    const SwitchEvent next = events.front();
    events.pop_front();
    OrdersEnded batch;
    for (const SwitchAction& action : candidate.machine.Step(m_now, next)) {
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        const OrderEnded ended = DeliverOrder(*send);
        if (m_settings.batched_results) {
          batch.orders.push_back(ended);
        } else {
          events.emplace_back(ended);
        }
        const bool aborting = candidate.machine.phase() == SwitchLeader::Phase::kAborting;
        const bool arming = std::holds_alternative<ArmMap>(send->order);
        const bool release = (m_settings.fault == SwitchFault::kSkipAbort && aborting) ||
                             (m_settings.fault == SwitchFault::kReleaseUnconfirmed && arming);
        for (SimulatedEngine& engine : m_engines) {
          if (release && engine.state().held) {
            engine.ExecuteOrder(m_epoch, ReleasePass{*engine.state().held});
          }
        }
      } else if (const auto* ended = std::get_if<SwitchEnded>(&action)) {
        if (ended->outcome == SwitchOutcome::kSwitched) {
          ++m_switches;
          CheckNamedMap(*ended);
        }
      } else if (std::holds_alternative<RefreshRankStates>(action)) {
        ++m_state_reads;
      }
    }
    if (!batch.orders.empty()) events.emplace_back(std::move(batch));
  }
}

void SwitchSimulation::CheckNamedMap(const SwitchEnded& ended) {
  for (const SimulatedEngine& engine : m_engines) {
    const bool uses_it = engine.state().map == ended.version;
    if (uses_it && ended.map && engine.content() != ended.map->layers()) {
      m_violations.insert("a switch names another map");
    }
  }
}

OrderEnded SwitchSimulation::DeliverOrder(const SendOrder& send) {
  OrderEnded ended{send.rank, OrderResult::kUnknown, std::nullopt, m_now};
  SimulatedEngine& engine = m_engines[send.rank];
  FenceGuard& guard = m_fence_guards[send.rank];
  if (!guard.fence()) guard.RaiseFence(m_fence);
  if (!guard.Admit(send.fence) && m_settings.fault != SwitchFault::kIgnoreFence) {
    ended.result = OrderResult::kFenced;
    return ended;
  }
  const double draw = m_random.Unit();
  const double late = m_settings.lost_order_rate + m_settings.late_order_rate;
  if (draw < m_settings.lost_order_rate) return ended;
  if (draw < late) {
    m_late.push_back(
        {m_now + milliseconds(20 + m_random.Below(8000)), send.rank, send.epoch, send.order});
    return ended;
  }
  const OrderResult result = engine.ExecuteOrder(send.epoch, send.order);
  if (draw < late + m_settings.lost_answer_rate) return ended;
  ended.result = result;
  if (!std::holds_alternative<HoldPass>(send.order)) ended.state = engine.state();
  return ended;
}

void SwitchSimulation::RunPass() {
  const StepIndex next = m_step + 1;
  const bool blocked = std::any_of(m_engines.begin(), m_engines.end(),
                                   [&](const SimulatedEngine& e) { return e.HoldsPass(next); });
  if (blocked) {
    m_longest_hold = std::max(m_longest_hold, ++m_consecutive_held);
    return;
  }
  m_consecutive_held = 0;
  m_step = next;
  ++m_passes;
  for (SimulatedEngine& engine : m_engines) engine.BeginPass(next);
  for (const SimulatedEngine& engine : m_engines) {
    if (engine.state().map != m_engines.front().state().map) m_violations.insert("two versions");
    if (engine.content() != m_engines.front().content()) m_violations.insert("two contents");
  }
}

}  // namespace cornelrelay::balance
