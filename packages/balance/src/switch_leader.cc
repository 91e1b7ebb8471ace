#include "cornelrelay/balance/switch_leader.h"

#include <utility>

#include "cornelrelay/balance/hold_forwarder.h"

namespace cornelrelay::balance {

SwitchLeader::SwitchLeader(SwitchLeaderConfig config)
    : m_config(config),
      m_ranks(config.ranks, config.self, config.usual_pass),
      m_orders(config.ranks, config.orders),
      m_passes(config.passes) {}

std::vector<SwitchAction> SwitchLeader::Step(core::Instant now, const SwitchEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Advance(now, out);
  return out;
}

void SwitchLeader::Apply(core::Instant now, const LeadershipGained& event, Actions&) {
  m_fence = event.fence;
  m_orders.SetFence(m_fence);
  m_anchor = static_cast<RankIndex>((m_config.self + m_fence) % m_config.ranks);
  m_versions = 0;
  Enter(now, Phase::kSurvey);
}

void SwitchLeader::Apply(core::Instant now, const LeadershipLost&, Actions& out) {
  if (m_phase == Phase::kFollowing) return;
  if (Switching()) End(now, SwitchOutcome::kFenced, out);
  Enter(now, Phase::kFollowing);
}

void SwitchLeader::Apply(core::Instant now, const RankObserved& event, Actions& out) {
  Observe(now, event.rank, event.state, event.requested_at, out);
}

void SwitchLeader::Apply(core::Instant now, const OrderEnded& event, Actions& out) {
  m_orders.Ended(event.rank, event.result);
  if (event.result == OrderResult::kFenced) return Apply(now, LeadershipLost{}, out);
  if (event.result == OrderResult::kUnknown) m_passes.NoteUnanswered(now);
  if (event.state) Observe(now, event.rank, *event.state, event.requested_at, out);
}

// A map is planned against the one in use, so it is of no use once another switch is under way.
void SwitchLeader::Apply(core::Instant, const MapRequested& event, Actions&) {
  if (ReadyForSwitch()) m_wanted.emplace(event.map);
}
void SwitchLeader::Apply(core::Instant, const SwitchTick&, Actions&) {}

void SwitchLeader::Observe(core::Instant now, RankIndex index, const RankState& state,
                           core::Instant requested_at, Actions& out) {
  if (state.epoch < m_ranks.epoch()) return;
  if (state.epoch > m_ranks.epoch()) {
    // The group formed anew, with nothing prepared, armed or held.
    m_ranks.Reset(state.epoch);
    m_orders.SetEpoch(state.epoch);
    m_wanted.reset();
    m_passes.Reset();
    if (m_phase != Phase::kFollowing) {
      if (Switching()) End(now, SwitchOutcome::kEpochOver, out);
      Enter(now, Phase::kSurvey);
    }
  }
  m_ranks.Observe(now, index, state, requested_at);
}

void SwitchLeader::Enter(core::Instant now, Phase phase) {
  m_phase = phase;
  m_phase_since = now;
  m_orders.BeginPhase();
}

void SwitchLeader::End(core::Instant now, SwitchOutcome outcome, Actions& out) {
  out.emplace_back(SwitchEnded{m_version, outcome, m_step, now - m_switch_since, m_map});
  if (outcome == SwitchOutcome::kSwitched) {
    m_wanted.reset();
    out.emplace_back(RefreshRankStates{});
  }
  Enter(now, Phase::kIdle);
}

// A switch can take several steps within one call; each step either enters a phase or returns.
void SwitchLeader::Advance(core::Instant now, Actions& out) {
  std::uint64_t before = 0;
  do {
    before = m_orders.phase();
    Continue(now, out);
  } while (m_orders.phase() != before);
}

void SwitchLeader::Continue(core::Instant now, Actions& out) {
  switch (m_phase) {
    case Phase::kFollowing:
      return;
    case Phase::kSurvey:
      return Survey(now, out);
    case Phase::kIdle:
      return BeginWanted(now);
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
  Enter(now, Phase::kIdle);
}

void SwitchLeader::BeginWanted(core::Instant now) {
  const auto unfinished = m_ranks.UnfinishedStep();
  if (unfinished) {
    m_step = *unfinished;
    m_version = 0;
    m_map = {};
    m_switch_since = now;
    return Enter(now, Phase::kRecovering);
  }
  if (!m_wanted || !ReadyForSwitch()) return;
  std::optional<LayerMap> former = m_ranks.MapInUse();
  if (!former) return;
  m_map = *std::exchange(m_wanted, std::nullopt);
  if (m_map.layers() == *former) return;
  m_former = SharedLayerMap(std::move(*former));
  m_version = NextVersion();
  m_switch_since = now;
  Enter(now, Phase::kPreparing);
}

void SwitchLeader::Prepare(core::Instant now, Actions& out) {
  if (now - m_phase_since > m_config.prepare_timeout) return End(now, SwitchOutcome::kGivenUp, out);
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->prepared == m_version) continue;
    const bool refused = m_orders.Refused(index);
    if (refused && !m_orders.Unanswered(index) && !m_orders.AnyAccepted(index)) {
      return End(now, SwitchOutcome::kGivenUp, out);
    }
    // A refusal can mean that an earlier order without an answer was accepted.
    if (m_orders.Accepted<PrepareMap>(index) || refused) {
      m_orders.Poll(now, index, out);
    } else {
      m_orders.Send(now, index, PrepareMap{m_version, m_map}, out);
    }
  }
  if (!m_ranks.AllPrepared(m_version)) return;
  m_step = m_passes.Pick(now, m_ranks, m_anchor);
  Enter(now, Phase::kHolding);
}

void SwitchLeader::Hold(core::Instant now, Actions& out) {
  if (const auto held = m_ranks.HeldAt(m_anchor)) {
    m_step = *held;
    m_forward = false;
    // Nothing is armed yet, so a hold that may not last is simply given up.
    return Enter(now,
                 m_passes.WasReleased(m_anchor, m_step) ? Phase::kReleasing : Phase::kChecking);
  }
  if (now - m_phase_since > m_config.arm_timeout) return End(now, SwitchOutcome::kGivenUp, out);
  if (m_orders.Refused(m_anchor) || m_ranks.LatestStep() >= m_step) {
    m_step = m_passes.Pick(now, m_ranks, m_anchor);
    m_orders.ForgetResults(m_anchor);
  }
  SendHold(now, out);
}

// Its forwarder is not told the state of the rank, so that is asked for afterwards.
void SwitchLeader::SendHold(core::Instant now, Actions& out) {
  if (!m_orders.Accepted<HoldPass>(m_anchor)) {
    return m_orders.Send(now, m_anchor, HoldPass{m_step}, out,
                         ChooseHoldForwarder(m_anchor, m_config.self, m_config.ranks));
  }
  if (m_orders.JustEnded<HoldPass>(m_anchor)) {
    m_orders.PollAtOnce(now, m_anchor, out);
  } else {
    m_orders.Poll(now, m_anchor, out);
  }
}

void SwitchLeader::Check(core::Instant now, Actions& out) {
  if (m_ranks.HeldAt(m_anchor) != m_step) return Enter(now, Phase::kRecovering);
  bool complete = true;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    if (m_orders.Accepted<ObserveRank>(index)) continue;
    complete = false;
    m_orders.Poll(now, index, out);
  }
  if (complete) return Enter(now, Phase::kArming);
  if (now - m_phase_since <= m_config.check_timeout) return;
  m_forward = false;
  Enter(now, Phase::kReleasing);
}

void SwitchLeader::Arm(core::Instant now, Actions& out) {
  if (m_ranks.HeldAt(m_anchor) != m_step) return Enter(now, Phase::kRecovering);
  const ArmedMap target{m_version, m_step};
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->armed == target) continue;
    if (m_orders.Refused(index)) return BeginAbort(now);
    m_orders.Send(now, index, ArmMap{m_version, m_step}, out);
  }
  if (m_ranks.ArmedByAll() == target) {
    m_forward = true;
    return Enter(now, Phase::kReleasing);
  }
  if (now - m_phase_since > m_config.arm_timeout) BeginAbort(now);
}

void SwitchLeader::Recover(core::Instant now, Actions& out) {
  if (m_ranks.LatestStep() >= m_step) return Enter(now, Phase::kSurvey);
  const auto held = m_ranks.HeldAt(m_anchor);
  if (held != m_step || m_passes.WasReleased(m_anchor, m_step)) {
    if (held || m_passes.WasReleased(m_anchor, m_step)) {
      m_anchor = (m_anchor + 1) % m_config.ranks;
    } else if (m_orders.Refused(m_anchor)) {
      // The pass has begun, so the switch is over one way or the other.
      return Enter(now, Phase::kSurvey);
    } else {
      SendHold(now, out);
    }
    return;
  }
  const auto armed = m_ranks.ArmedByAll();
  out.emplace_back(SwitchInherited{m_step, armed.has_value()});
  if (armed) {
    m_version = armed->version;
    m_forward = true;
    return Enter(now, Phase::kReleasing);
  }
  auto former = m_ranks.MapInUse();
  if (!former) return m_orders.PollAll(now, out);
  m_former = SharedLayerMap(std::move(*former));
  BeginAbort(now);
}

void SwitchLeader::BeginAbort(core::Instant now) {
  m_abort_version = NextVersion();
  Enter(now, Phase::kAborting);
}

void SwitchLeader::Abort(core::Instant now, Actions& out) {
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks.state(index);
    if (state && state->prepared == m_abort_version) continue;
    const bool loading = state && m_orders.Accepted<PrepareMap>(index) && !state->armed;
    if (!state || loading) {
      m_orders.Poll(now, index, out);
    } else if (m_orders.Refused(index)) {
      // A late order may have armed the rank meanwhile; its state will tell.
      if (m_orders.MaySend(now, index)) m_orders.ForgetRefusal(index);
      m_orders.Poll(now, index, out);
    } else if (state->armed) {
      m_orders.Send(now, index, DisarmMap{state->armed->version}, out);
    } else {
      m_orders.Send(now, index, PrepareMap{m_abort_version, m_former}, out);
    }
  }
  if (!m_ranks.AllPrepared(m_abort_version)) return;
  m_forward = false;
  Enter(now, Phase::kReleasing);
}

void SwitchLeader::Release(core::Instant now, Actions& out) {
  bool held = false;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto step = m_ranks.HeldAt(index);
    if (!step) continue;
    held = true;
    m_passes.NoteReleased(index, *step);
    m_orders.Send(now, index, ReleasePass{*step}, out);
  }
  if (!held) End(now, m_forward ? SwitchOutcome::kSwitched : SwitchOutcome::kAborted, out);
}

}  // namespace cornelrelay::balance
