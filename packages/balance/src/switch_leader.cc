#include "cornelrelay/balance/switch_leader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::balance {
namespace {

/// Versions that one leader may use; the fence makes those of different leaders differ.
constexpr MapVersion kVersionsPerFence = 4'096;
const std::size_t kPrepareKind = RankOrder(PrepareMap{}).index();
const std::size_t kHoldKind = RankOrder(HoldPass{}).index();
const std::size_t kObserveKind = RankOrder(ObserveRank{}).index();
constexpr double kPassGain = 0.3;
/// Pauses without work are no passes.
constexpr core::Duration kLongestPass = std::chrono::seconds(1);

}  // namespace

SwitchLeader::SwitchLeader(SwitchLeaderConfig config)
    : m_config(config), m_ranks(config.ranks), m_pass_time(config.usual_pass) {
  assert(config.self < config.ranks);
}

std::vector<SwitchAction> SwitchLeader::Step(core::Instant now, const SwitchEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Advance(now, out);
  return out;
}

void SwitchLeader::Apply(core::Instant now, const LeadershipGained& event, Actions&) {
  m_fence = event.fence;
  m_anchor = static_cast<RankIndex>((m_config.self + m_fence) % m_config.ranks);
  m_versions = 0;
  Enter(now, Phase::kSurvey);
}

void SwitchLeader::Apply(core::Instant now, const LeadershipLost&, Actions& out) {
  if (m_phase == Phase::kFollowing) return;
  const bool active = m_phase != Phase::kIdle && m_phase != Phase::kSurvey;
  if (active) End(now, SwitchOutcome::kFenced, out);
  Enter(now, Phase::kFollowing);
}

void SwitchLeader::Apply(core::Instant now, const RankObserved& event, Actions& out) {
  Observe(now, event.rank, event.state, event.asked, out);
}

void SwitchLeader::Apply(core::Instant now, const OrderEnded& event, Actions& out) {
  Rank& rank = m_ranks[event.rank];
  rank.outstanding = false;
  if (event.result == OrderResult::kFenced) return Apply(now, LeadershipLost{}, out);
  if (event.result == OrderResult::kUnknown) m_unanswered = now;
  if (rank.sent_in == m_phase_number) {
    rank.last_result = event.result;
    rank.unanswered = rank.unanswered || event.result == OrderResult::kUnknown;
    if (event.result == OrderResult::kDone) rank.accepted.set(rank.sent_kind);
  }
  if (event.state) Observe(now, event.rank, *event.state, event.asked, out);
}

// A map is planned against the one in use, so it is of no use once another switch is under way.
void SwitchLeader::Apply(core::Instant, const MapWanted& event, Actions&) {
  if (Settled()) m_wanted = event.map;
}
void SwitchLeader::Apply(core::Instant, const SwitchTick&, Actions&) {}

void SwitchLeader::Observe(core::Instant now, RankIndex index, const RankState& state,
                           core::Instant asked, Actions& out) {
  if (state.epoch < m_epoch) return;
  if (state.epoch > m_epoch) {
    // The group formed anew, with nothing prepared, armed or held.
    m_epoch = state.epoch;
    for (Rank& rank : m_ranks) rank.state.reset();
    m_wanted.reset();
    m_released.clear();
    if (m_phase != Phase::kFollowing) {
      const bool active = m_phase != Phase::kIdle && m_phase != Phase::kSurvey;
      if (active) End(now, SwitchOutcome::kEpochOver, out);
      Enter(now, Phase::kSurvey);
    }
  }
  Rank& rank = m_ranks[index];
  if (rank.state && asked < rank.observed) return;
  if (rank.state && index == m_config.self && state.step > rank.state->step + 1) {
    const auto passes = static_cast<std::int64_t>(state.step - rank.state->step);
    const core::Duration sample = (now - rank.observed) / passes;
    if (sample < kLongestPass) {
      m_pass_time += core::Duration(static_cast<core::Duration::rep>(
          kPassGain * static_cast<double>((sample - m_pass_time).count())));
    }
  }
  rank.state = state;
  rank.observed = now;
}

void SwitchLeader::Enter(core::Instant now, Phase phase) {
  m_phase = phase;
  m_phase_since = now;
  ++m_phase_number;
  for (Rank& rank : m_ranks) {
    rank.last_result.reset();
    rank.accepted.reset();
    rank.unanswered = false;
  }
}

void SwitchLeader::End(core::Instant now, SwitchOutcome outcome, Actions& out) {
  out.emplace_back(SwitchEnded{m_version, outcome, m_step, now - m_switch_since, m_map});
  if (outcome == SwitchOutcome::kSwitched) m_wanted.reset();
  Enter(now, Phase::kIdle);
}

// A switch can take several steps within one call; each step either enters a phase or returns.
void SwitchLeader::Advance(core::Instant now, Actions& out) {
  std::uint64_t before = 0;
  do {
    before = m_phase_number;
    switch (m_phase) {
      case Phase::kFollowing:
        return;
      case Phase::kSurvey:
        Survey(now, out);
        break;
      case Phase::kIdle:
        BeginWanted(now);
        break;
      case Phase::kPreparing:
        Prepare(now, out);
        break;
      case Phase::kHolding:
        Hold(now, out);
        break;
      case Phase::kChecking:
        Check(now, out);
        break;
      case Phase::kArming:
        Arm(now, out);
        break;
      case Phase::kRecovering:
        Recover(now, out);
        break;
      case Phase::kAborting:
        Abort(now, out);
        break;
      case Phase::kReleasing:
        Release(now, out);
        break;
    }
  } while (m_phase_number != before);
}

void SwitchLeader::Survey(core::Instant now, Actions& out) {
  bool complete = true;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const Rank& rank = m_ranks[index];
    // Only the answer to an order of this leader shows that the rank knows its fence.
    if (rank.accepted.any() && rank.state) continue;
    complete = false;
    Poll(now, index, out);
  }
  if (!complete || !AllOpen()) return;
  Enter(now, Phase::kIdle);
}

void SwitchLeader::BeginWanted(core::Instant now) {
  const auto unfinished = UnfinishedStep();
  if (unfinished) {
    m_step = *unfinished;
    m_version = 0;
    m_map.clear();
    m_switch_since = now;
    return Enter(now, Phase::kRecovering);
  }
  if (!m_wanted || !Settled()) return;
  std::optional<LayerMap> former = MapInUse();
  if (!former) return;
  m_map = *std::exchange(m_wanted, std::nullopt);
  if (m_map == *former) return;
  m_former = std::move(*former);
  m_version = NextVersion();
  m_switch_since = now;
  Enter(now, Phase::kPreparing);
}

void SwitchLeader::Prepare(core::Instant now, Actions& out) {
  if (now - m_phase_since > m_config.prepare_limit) return End(now, SwitchOutcome::kGivenUp, out);
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const Rank& rank = m_ranks[index];
    if (rank.state && rank.state->prepared == m_version) continue;
    const bool refused = rank.last_result == OrderResult::kRefused;
    if (refused && !rank.unanswered && !rank.accepted.any()) {
      return End(now, SwitchOutcome::kGivenUp, out);
    }
    // A refusal can mean that an earlier order without an answer was accepted.
    if (rank.accepted.test(kPrepareKind) || refused) {
      Poll(now, index, out);
    } else {
      Send(now, index, PrepareMap{m_version, m_map}, out);
    }
  }
  if (!AllPrepared(m_version)) return;
  m_step = StepAhead(now);
  Enter(now, Phase::kHolding);
}

void SwitchLeader::Hold(core::Instant now, Actions& out) {
  if (const auto held = HeldAt(m_anchor)) {
    m_step = *held;
    m_forward = false;
    // Nothing is armed yet, so a hold that may not last is simply given up.
    return Enter(now,
                 m_released.contains({m_anchor, m_step}) ? Phase::kReleasing : Phase::kChecking);
  }
  if (now - m_phase_since > m_config.arm_limit) return End(now, SwitchOutcome::kGivenUp, out);
  if (m_ranks[m_anchor].last_result == OrderResult::kRefused || LatestStep() >= m_step) {
    m_step = StepAhead(now);
    m_ranks[m_anchor].last_result.reset();
    m_ranks[m_anchor].accepted.reset();
  }
  SendHold(now, out);
}

// Its giver is not told the state of the rank, so that is asked for afterwards.
void SwitchLeader::SendHold(core::Instant now, Actions& out) {
  const Rank& anchor = m_ranks[m_anchor];
  if (anchor.accepted.test(kHoldKind)) {
    const bool first = anchor.sent_kind == kHoldKind && !anchor.outstanding;
    return Poll(now, m_anchor, out, first ? core::Duration::zero() : m_config.poll_pause);
  }
  const std::size_t before = out.size();
  Send(now, m_anchor, HoldPass{m_step}, out);
  if (out.size() > before) std::get<SendOrder>(out.back()).giver = HoldGiver();
}

// Neither this process, which leads, nor the host of the rank, which must release the pass.
RankIndex SwitchLeader::HoldGiver() const {
  for (RankIndex step = 1; step < m_config.ranks; ++step) {
    const RankIndex giver = (m_anchor + step) % m_config.ranks;
    if (giver != m_config.self) return giver;
  }
  return m_anchor;
}

void SwitchLeader::Check(core::Instant now, Actions& out) {
  if (HeldAt(m_anchor) != m_step) return Enter(now, Phase::kRecovering);
  bool complete = true;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    if (m_ranks[index].accepted.test(kObserveKind)) continue;
    complete = false;
    Poll(now, index, out);
  }
  if (complete) return Enter(now, Phase::kArming);
  if (now - m_phase_since <= m_config.check_limit) return;
  m_forward = false;
  Enter(now, Phase::kReleasing);
}

void SwitchLeader::Arm(core::Instant now, Actions& out) {
  if (HeldAt(m_anchor) != m_step) return Enter(now, Phase::kRecovering);
  const ArmedMap target{m_version, m_step};
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const Rank& rank = m_ranks[index];
    if (rank.state && rank.state->armed == target) continue;
    if (rank.last_result == OrderResult::kRefused) return BeginAbort(now);
    Send(now, index, ArmMap{m_version, m_step}, out);
  }
  if (ArmedByAll() == target) {
    m_forward = true;
    return Enter(now, Phase::kReleasing);
  }
  if (now - m_phase_since > m_config.arm_limit) BeginAbort(now);
}

void SwitchLeader::Recover(core::Instant now, Actions& out) {
  if (LatestStep() >= m_step) return Enter(now, Phase::kSurvey);
  const auto held = HeldAt(m_anchor);
  if (held != m_step || m_released.contains({m_anchor, m_step})) {
    if (held || m_released.contains({m_anchor, m_step})) {
      m_anchor = (m_anchor + 1) % m_config.ranks;
    } else if (m_ranks[m_anchor].last_result == OrderResult::kRefused) {
      // The pass has begun, so the switch is over one way or the other.
      return Enter(now, Phase::kSurvey);
    } else {
      SendHold(now, out);
    }
    return;
  }
  const auto armed = ArmedByAll();
  out.emplace_back(SwitchInherited{m_step, armed.has_value()});
  if (armed) {
    m_version = armed->version;
    m_forward = true;
    return Enter(now, Phase::kReleasing);
  }
  const auto former = MapInUse();
  if (!former) {
    for (RankIndex index = 0; index < m_config.ranks; ++index) Poll(now, index, out);
    return;
  }
  m_former = *former;
  BeginAbort(now);
}

void SwitchLeader::BeginAbort(core::Instant now) {
  m_abort_version = NextVersion();
  Enter(now, Phase::kAborting);
}

void SwitchLeader::Abort(core::Instant now, Actions& out) {
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    Rank& rank = m_ranks[index];
    if (rank.state && rank.state->prepared == m_abort_version) continue;
    const bool loading = rank.state && rank.accepted.test(kPrepareKind) && !rank.state->armed;
    if (!rank.state || loading) {
      Poll(now, index, out);
    } else if (rank.last_result == OrderResult::kRefused) {
      // A late order may have armed the rank meanwhile; its state will tell.
      if (MaySend(now, rank, m_config.resend_pause)) rank.last_result.reset();
      Poll(now, index, out);
    } else if (rank.state->armed) {
      Send(now, index, DisarmMap{rank.state->armed->version}, out);
    } else {
      Send(now, index, PrepareMap{m_abort_version, m_former}, out);
    }
  }
  if (!AllPrepared(m_abort_version)) return;
  m_forward = false;
  Enter(now, Phase::kReleasing);
}

void SwitchLeader::Release(core::Instant now, Actions& out) {
  bool held = false;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto step = HeldAt(index);
    if (!step) continue;
    held = true;
    m_released.emplace(index, *step);
    Send(now, index, ReleasePass{*step}, out);
  }
  if (!held) End(now, m_forward ? SwitchOutcome::kSwitched : SwitchOutcome::kAborted, out);
}

bool SwitchLeader::MaySend(core::Instant now, const Rank& rank, core::Duration pause) const {
  const core::Duration since = now - rank.sent;
  // An order of an earlier phase does not delay one of this phase.
  if (rank.sent_in != m_phase_number) return true;
  return rank.outstanding ? since >= m_config.order_timeout : since >= pause;
}

void SwitchLeader::Send(core::Instant now, RankIndex index, RankOrder order, Actions& out) {
  if (MaySend(now, m_ranks[index], m_config.resend_pause)) {
    Give(now, index, std::move(order), out);
  }
}

void SwitchLeader::Poll(core::Instant now, RankIndex index, Actions& out) {
  Poll(now, index, out, m_config.poll_pause);
}

void SwitchLeader::Poll(core::Instant now, RankIndex index, Actions& out, core::Duration pause) {
  if (MaySend(now, m_ranks[index], pause)) Give(now, index, ObserveRank{}, out);
}

void SwitchLeader::Give(core::Instant now, RankIndex index, RankOrder order, Actions& out) {
  Rank& rank = m_ranks[index];
  rank.outstanding = true;
  rank.sent = now;
  rank.sent_in = m_phase_number;
  rank.sent_kind = order.index();
  out.emplace_back(SendOrder{index, std::move(order), m_fence, m_epoch, std::nullopt});
}

MapVersion SwitchLeader::NextVersion() { return m_fence * kVersionsPerFence + ++m_versions; }

StepIndex SwitchLeader::LatestStep() const {
  StepIndex latest = 0;
  for (const Rank& rank : m_ranks) {
    if (rank.state) latest = std::max(latest, rank.state->step);
  }
  return latest;
}

StepIndex SwitchLeader::StepAhead(core::Instant now) const {
  const bool careful = m_unanswered && now - *m_unanswered < m_config.careful_for;
  const core::Duration lead = careful ? m_config.careful_lead_time : m_config.lead_time;
  StepIndex latest = 0;
  for (const Rank& rank : m_ranks) {
    if (!rank.state) continue;
    const auto since = static_cast<StepIndex>((now - rank.observed) / m_pass_time);
    latest = std::max(latest, rank.state->step + since);
  }
  latest += 1 + static_cast<StepIndex>(lead / m_pass_time);
  while (m_released.contains({m_anchor, latest})) ++latest;
  return latest;
}

std::optional<StepIndex> SwitchLeader::HeldAt(RankIndex rank) const {
  const auto& state = m_ranks[rank].state;
  if (!state || !state->held || *state->held <= LatestStep()) return std::nullopt;
  return state->held;
}

std::optional<StepIndex> SwitchLeader::UnfinishedStep() const {
  const StepIndex latest = LatestStep();
  std::optional<StepIndex> step;
  const auto consider = [&](StepIndex at) {
    if (at > latest) step = std::max(step.value_or(at), at);
  };
  bool held = false;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks[index].state;
    if (state && state->armed) consider(state->armed->step);
    if (const auto hold = HeldAt(index)) {
      held = true;
      consider(*hold);
    }
  }
  // A switch for which all are armed comes by itself.
  if (!held && ArmedByAll()) return std::nullopt;
  return step;
}

bool SwitchLeader::AllPrepared(MapVersion version) const {
  return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Rank& rank) {
    return rank.state && rank.state->prepared == version;
  });
}

std::optional<ArmedMap> SwitchLeader::ArmedByAll() const {
  std::optional<ArmedMap> armed;
  for (const Rank& rank : m_ranks) {
    if (!rank.state || !rank.state->armed) return std::nullopt;
    if (armed && *armed != *rank.state->armed) return std::nullopt;
    armed = rank.state->armed;
  }
  return armed;
}

bool SwitchLeader::AnyArmed() const {
  return std::any_of(m_ranks.begin(), m_ranks.end(),
                     [](const Rank& rank) { return rank.state && rank.state->armed; });
}

bool SwitchLeader::AllOpen() const {
  return std::all_of(m_ranks.begin(), m_ranks.end(),
                     [](const Rank& rank) { return rank.state && rank.state->open; });
}

std::optional<LayerMap> SwitchLeader::MapInUse() const {
  LayerMap map;
  for (RankIndex index = 0; index < m_config.ranks; ++index) {
    const auto& state = m_ranks[index].state;
    if (!state || state->experts.empty() || state->map != m_ranks.front().state->map) {
      return std::nullopt;
    }
    map.resize(state->experts.size());
    for (std::size_t set = 0; set < map.size(); ++set) {
      map[set].resize(m_config.ranks);
      map[set][index] = state->experts[set];
    }
  }
  return map;
}

}  // namespace cornelrelay::balance
