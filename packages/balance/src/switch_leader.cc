#include "cornelrelay/balance/switch_leader.h"

#include <utility>

#include "cornelrelay/balance/hold_forwarder.h"

namespace cornelrelay::balance {

SwitchLeader::SwitchLeader(SwitchLeaderConfig config)
    : m_config(config),
      m_ranks(config.ranks, config.self, config.initial_pass_time),
      m_orders(config.ranks, config.orders),
      m_pass_selector(config.pass_selector) {}

std::vector<SwitchAction> SwitchLeader::Step(core::Instant now, const SwitchEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Advance(now, out);
  return out;
}

void SwitchLeader::Apply(core::Instant now, const LeadershipGained& event, Actions&) {
  m_fence = event.fence;
  m_orders.SetFence(m_fence);
  m_hold_rank = static_cast<RankIndex>((m_config.self + m_fence) % m_config.ranks);
  m_versions_used = 0;
  EnterPhase(now, Phase::kSurveying);
}

void SwitchLeader::Apply(core::Instant now, const LeadershipLost&, Actions& out) {
  if (m_phase == Phase::kFollowing) return;
  if (Switching()) EndSwitch(now, SwitchOutcome::kFenced, out);
  EnterPhase(now, Phase::kFollowing);
}

void SwitchLeader::Apply(core::Instant now, const RankObserved& event, Actions& out) {
  Observe(now, event.rank, event.state, event.requested_at, out);
}

void SwitchLeader::Apply(core::Instant now, const OrderEnded& event, Actions& out) {
  m_orders.RecordResult(event.rank, event.result);
  if (event.result == OrderResult::kFenced) return Apply(now, LeadershipLost{}, out);
  if (event.result == OrderResult::kUnknown) m_pass_selector.RecordUnanswered(now);
  if (event.state) Observe(now, event.rank, *event.state, event.requested_at, out);
}

void SwitchLeader::Apply(core::Instant now, const OrdersEnded& event, Actions& out) {
  for (const OrderEnded& order : event.orders) Apply(now, order, out);
}

void SwitchLeader::Apply(core::Instant now, const RanksObserved& event, Actions& out) {
  for (const RankObserved& rank : event.ranks) Apply(now, rank, out);
}

// A map is planned against the one in use, so it is dropped while another switch is in progress.
void SwitchLeader::Apply(core::Instant, const MapRequested& event, Actions&) {
  if (ReadyForSwitch()) m_requested_map.emplace(event.map);
}
void SwitchLeader::Apply(core::Instant, const SwitchTick&, Actions&) {}

void SwitchLeader::Observe(core::Instant now, RankIndex index, const RankState& state,
                           core::Instant requested_at, Actions& out) {
  if (state.epoch < m_ranks.epoch()) return;
  if (state.epoch > m_ranks.epoch()) {
    // The group has formed again, with nothing prepared, armed or held.
    m_ranks.Reset(state.epoch);
    m_orders.SetEpoch(state.epoch);
    m_requested_map.reset();
    m_pass_selector.Reset();
    if (m_phase != Phase::kFollowing) {
      if (Switching()) EndSwitch(now, SwitchOutcome::kEpochOver, out);
      EnterPhase(now, Phase::kSurveying);
    }
  }
  m_ranks.Observe(now, index, state, requested_at);
}

void SwitchLeader::EnterPhase(core::Instant now, Phase phase) {
  m_phase = phase;
  m_phase_start = now;
  m_orders.BeginPhase();
}

void SwitchLeader::EndSwitch(core::Instant now, SwitchOutcome outcome, Actions& out) {
  out.emplace_back(SwitchEnded{m_version, outcome, m_switch_step, now - m_switch_start, m_new_map});
  if (outcome == SwitchOutcome::kSwitched) {
    m_requested_map.reset();
    out.emplace_back(RefreshRankStates{});
  }
  EnterPhase(now, Phase::kIdle);
}

// A switch can run through several phases within one call. Each call of RunPhase() either enters a
// phase or leaves the phase unchanged.
void SwitchLeader::Advance(core::Instant now, Actions& out) {
  std::uint64_t before = 0;
  do {
    before = m_orders.phase();
    RunPhase(now, out);
  } while (m_orders.phase() != before);
}

void SwitchLeader::RunPhase(core::Instant now, Actions& out) {
  switch (m_phase) {
    case Phase::kFollowing:
      return;
    case Phase::kSurveying:
      return Survey(now, out);
    case Phase::kIdle:
      return StartNextSwitch(now);
    case Phase::kPreparing:
      return Prepare(now, out);
    case Phase::kHolding:
      return Hold(now, out);
    case Phase::kChecking:
      return Check(now, out);
    case Phase::kArming:
      return Arm(now, out);
    case Phase::kRecovering:
      return Recover(now, out);
    case Phase::kAborting:
      return Abort(now, out);
    case Phase::kReleasing:
      return Release(now, out);
  }
}

void SwitchLeader::Survey(core::Instant now, Actions& out) {
  bool complete = true;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    // Only the answer to an order of this leader shows that the rank knows its fence.
    if (m_orders.AnyAccepted(index) && m_ranks.state(index)) continue;
    complete = false;
    m_orders.Poll(now, index, out);
  }
  if (!complete || !m_ranks.AllOpen()) return;
  EnterPhase(now, Phase::kIdle);
}

void SwitchLeader::StartNextSwitch(core::Instant now) {
  const auto unfinished = m_ranks.UnfinishedSwitchStep();
  if (unfinished) {
    m_switch_step = *unfinished;
    m_version = 0;
    m_new_map.reset();
    m_switch_start = now;
    return EnterPhase(now, Phase::kRecovering);
  }
  if (!m_requested_map || !ReadyForSwitch()) return;
  std::optional<LayerMap> previous_map = m_ranks.MapInUse();
  if (!previous_map) return;
  m_new_map = std::exchange(m_requested_map, std::nullopt);
  if (m_new_map->layers() == *previous_map) return;
  m_previous_map = SharedLayerMap(std::move(*previous_map));
  m_version = NextVersion();
  m_switch_start = now;
  EnterPhase(now, Phase::kPreparing);
}

void SwitchLeader::Prepare(core::Instant now, Actions& out) {
  if (now - m_phase_start > m_config.prepare_timeout) {
    return EndSwitch(now, SwitchOutcome::kGivenUp, out);
  }
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->prepared == m_version) continue;
    const bool refused = m_orders.Refused(index);
    if (refused && !m_orders.Unanswered(index) && !m_orders.AnyAccepted(index)) {
      return EndSwitch(now, SwitchOutcome::kGivenUp, out);
    }
    // A refusal can mean that an earlier order without an answer was accepted.
    if (m_orders.Accepted<PrepareMap>(index) || refused) {
      m_orders.Poll(now, index, out);
    } else {
      m_orders.Send(now, index, PrepareMap{m_version, *m_new_map}, out);
    }
  }
  if (!m_ranks.AllPrepared(m_version)) return;
  m_switch_step = m_pass_selector.Select(now, m_ranks, m_hold_rank);
  m_hold_start = now;
  EnterPhase(now, Phase::kHolding);
}

void SwitchLeader::Hold(core::Instant now, Actions& out) {
  if (const auto held = m_ranks.PassHeldAt(m_hold_rank)) {
    m_switch_step = *held;
    m_complete_on_release = false;
    // If the pass was released before, that release may still be in flight and end the hold. The
    // switch is then given up, as nothing is armed yet.
    return EnterPhase(now, m_pass_selector.WasReleased(m_hold_rank, m_switch_step)
                               ? Phase::kReleasing
                               : Phase::kChecking);
  }
  if (now - m_phase_start > m_config.arm_timeout) {
    return EndSwitch(now, SwitchOutcome::kGivenUp, out);
  }
  if (m_orders.Refused(m_hold_rank) || m_ranks.LatestStep() >= m_switch_step) {
    m_switch_step = m_pass_selector.Select(now, m_ranks, m_hold_rank);
    m_orders.ClearResults(m_hold_rank);
  }
  SendHold(now, out);
}

// The forwarding agent does not return the state of the target rank, so the state is requested
// afterwards.
void SwitchLeader::SendHold(core::Instant now, Actions& out) {
  if (!m_orders.Accepted<HoldPass>(m_hold_rank)) {
    return m_orders.Send(now, m_hold_rank, HoldPass{m_switch_step}, out,
                         ChooseHoldForwarder(m_hold_rank, m_config.self, m_config.ranks));
  }
  if (m_orders.LastOrderEnded<HoldPass>(m_hold_rank)) {
    m_orders.PollWithoutDelay(now, m_hold_rank, out);
  } else {
    m_orders.Poll(now, m_hold_rank, out);
  }
}

void SwitchLeader::Check(core::Instant now, Actions& out) {
  if (m_ranks.PassHeldAt(m_hold_rank) != m_switch_step) return EnterPhase(now, Phase::kRecovering);
  bool complete = true;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    if (m_orders.Accepted<ObserveRank>(index)) continue;
    complete = false;
    m_orders.Poll(now, index, out);
  }
  if (complete) return EnterPhase(now, Phase::kArming);
  if (now - m_phase_start <= m_config.check_timeout) return;
  m_complete_on_release = false;
  EnterPhase(now, Phase::kReleasing);
}

void SwitchLeader::Arm(core::Instant now, Actions& out) {
  if (m_ranks.PassHeldAt(m_hold_rank) != m_switch_step) return EnterPhase(now, Phase::kRecovering);
  const ArmedMap target{m_version, m_switch_step};
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->armed == target) continue;
    if (m_orders.Refused(index)) return BeginAbort(now);
    m_orders.Send(now, index, ArmMap{m_version, m_switch_step}, out);
  }
  if (m_ranks.ArmedByAll() == target) {
    m_pass_selector.RecordHoldTime(now - m_hold_start);
    m_complete_on_release = true;
    return EnterPhase(now, Phase::kReleasing);
  }
  if (now - m_phase_start > m_config.arm_timeout) BeginAbort(now);
}

void SwitchLeader::Recover(core::Instant now, Actions& out) {
  if (m_ranks.LatestStep() >= m_switch_step) return EnterPhase(now, Phase::kSurveying);
  const auto held = m_ranks.PassHeldAt(m_hold_rank);
  const bool released = m_pass_selector.WasReleased(m_hold_rank, m_switch_step);
  // If this leader has released the pass at every rank, no hold of it can be relied on any more.
  // To wait would not make it safer.
  if ((held != m_switch_step || released) &&
      !m_pass_selector.WasReleasedAtAll(m_switch_step, m_config.ranks)) {
    if (held || released) {
      m_hold_rank = (m_hold_rank + 1) % m_config.ranks;
    } else if (m_orders.Refused(m_hold_rank)) {
      // The pass has begun, so the switch is over, whether it took place or not.
      return EnterPhase(now, Phase::kSurveying);
    } else {
      SendHold(now, out);
    }
    return;
  }
  const auto armed = m_ranks.ArmedByAll();
  out.emplace_back(SwitchInherited{m_switch_step, armed.has_value()});
  if (armed) return CompleteOnRelease(now, *armed);
  auto previous_map = m_ranks.MapInUse();
  if (!previous_map) return m_orders.PollAll(now, out);
  m_previous_map = SharedLayerMap(std::move(*previous_map));
  BeginAbort(now);
}

void SwitchLeader::CompleteOnRelease(core::Instant now, const ArmedMap& armed) {
  m_version = armed.version;
  m_complete_on_release = true;
  EnterPhase(now, Phase::kReleasing);
}

void SwitchLeader::BeginAbort(core::Instant now) {
  m_abort_version = NextVersion();
  EnterPhase(now, Phase::kAborting);
}

void SwitchLeader::Abort(core::Instant now, Actions& out) {
  if (const auto armed = m_ranks.ArmedByAll()) return CompleteOnRelease(now, *armed);
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->prepared == m_abort_version) continue;
    const bool loading = state && m_orders.Accepted<PrepareMap>(index) && !state->armed;
    if (!state || loading) {
      m_orders.Poll(now, index, out);
    } else if (m_orders.Refused(index)) {
      // A late order may have armed the rank meanwhile, which its next state shows.
      if (m_orders.MaySend(now, index)) m_orders.ClearRefusal(index);
      m_orders.Poll(now, index, out);
    } else if (state->armed) {
      // A later leader that finds all ranks armed releases the pass, so this order must not be in
      // flight as long as that can happen.
      if (m_ranks.MayAllSwitchTo(state->armed->version)) continue;
      m_orders.Send(now, index, DisarmMap{state->armed->version}, out);
    } else {
      m_orders.Send(now, index, PrepareMap{m_abort_version, m_previous_map}, out);
    }
  }
  if (!m_ranks.AllPrepared(m_abort_version)) return;
  m_complete_on_release = false;
  EnterPhase(now, Phase::kReleasing);
}

void SwitchLeader::Release(core::Instant now, Actions& out) {
  bool held = false;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto step = m_ranks.PassHeldAt(index);
    if (!step) continue;
    held = true;
    m_pass_selector.RecordReleased(index, *step);
    m_orders.Send(now, index, ReleasePass{*step}, out);
  }
  if (!held) {
    EndSwitch(now, m_complete_on_release ? SwitchOutcome::kSwitched : SwitchOutcome::kAborted, out);
  }
}

}  // namespace cornelrelay::balance
