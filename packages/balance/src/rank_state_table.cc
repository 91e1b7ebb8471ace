#include "cornelrelay/balance/rank_state_table.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::balance {
namespace {

/// Weight of a new sample in the exponential moving average of the pass time.
constexpr double kPassTimeSmoothing = 0.3;
/// Longer samples contain a pause without work and are dropped.
constexpr core::Duration kMaxPassTime = std::chrono::seconds(1);

}  // namespace

RankStateTable::RankStateTable(RankIndex ranks, RankIndex self, core::Duration initial_pass_time)
    : m_self(self), m_ranks(ranks), m_pass_time(initial_pass_time) {
  assert(self < ranks);
}

void RankStateTable::Reset(std::uint64_t epoch) {
  m_epoch = epoch;
  for (Entry& rank : m_ranks) rank.state.reset();
}

void RankStateTable::Observe(core::Instant now, RankIndex index, const RankState& state,
                             core::Instant requested_at) {
  assert(state.epoch == m_epoch);
  Entry& rank = m_ranks[index];
  if (rank.state && requested_at < rank.observed_at) return;
  if (rank.state && index == m_self && state.step > rank.state->step + 1) {
    UpdatePassTime(now - rank.observed_at, state.step - rank.state->step);
  }
  rank.state = state;
  rank.observed_at = now;
}

void RankStateTable::UpdatePassTime(core::Duration since, StepIndex passes) {
  const core::Duration sample = since / static_cast<std::int64_t>(passes);
  if (sample >= kMaxPassTime) return;
  m_pass_time += core::Duration(static_cast<core::Duration::rep>(
      kPassTimeSmoothing * static_cast<double>((sample - m_pass_time).count())));
}

StepIndex RankStateTable::LatestStep() const {
  StepIndex latest = 0;
  for (const Entry& rank : m_ranks) {
    if (rank.state) latest = std::max(latest, rank.state->step);
  }
  return latest;
}

StepIndex RankStateTable::ExpectedStep(core::Instant now) const {
  StepIndex latest = 0;
  for (const Entry& rank : m_ranks) {
    if (!rank.state) continue;
    const auto since = static_cast<StepIndex>((now - rank.observed_at) / m_pass_time);
    latest = std::max(latest, rank.state->step + since);
  }
  return latest;
}

std::optional<StepIndex> RankStateTable::PassHeldAt(RankIndex rank) const {
  const auto& state = m_ranks[rank].state;
  if (!state || !state->held || *state->held <= LatestStep()) return std::nullopt;
  return state->held;
}

std::optional<StepIndex> RankStateTable::UnfinishedSwitchStep() const {
  const StepIndex latest = LatestStep();
  std::optional<StepIndex> step;
  const auto consider = [&](StepIndex at) {
    if (at > latest) step = std::max(step.value_or(at), at);
  };
  bool held = false;
  for (RankIndex index = 0; index < size(); ++index) {
    const auto& state = m_ranks[index].state;
    if (state && state->armed) consider(state->armed->step);
    if (const auto hold = PassHeldAt(index)) {
      held = true;
      consider(*hold);
    }
  }
  // A switch for which all ranks are armed completes by itself.
  if (!held && ArmedByAll()) return std::nullopt;
  return step;
}

bool RankStateTable::AllPrepared(MapVersion version) const {
  return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Entry& rank) {
    return rank.state && rank.state->prepared == version;
  });
}

std::optional<ArmedMap> RankStateTable::ArmedByAll() const {
  std::optional<ArmedMap> armed;
  for (const Entry& rank : m_ranks) {
    if (!rank.state || !rank.state->armed) return std::nullopt;
    if (armed && *armed != *rank.state->armed) return std::nullopt;
    armed = rank.state->armed;
  }
  return armed;
}

bool RankStateTable::AnyArmed() const {
  return std::any_of(m_ranks.begin(), m_ranks.end(),
                     [](const Entry& rank) { return rank.state && rank.state->armed; });
}

bool RankStateTable::MayAllSwitchTo(MapVersion version) const {
  return std::none_of(m_ranks.begin(), m_ranks.end(), [&](const Entry& rank) {
    return rank.state && std::max(rank.state->prepared.value_or(0), rank.state->map) > version;
  });
}

bool RankStateTable::AllOpen() const {
  return std::all_of(m_ranks.begin(), m_ranks.end(),
                     [](const Entry& rank) { return rank.state && rank.state->open; });
}

std::optional<LayerMap> RankStateTable::MapInUse() const {
  LayerMap map;
  for (RankIndex index = 0; index < size(); ++index) {
    const auto& state = m_ranks[index].state;
    if (!state || state->experts.empty() || state->map != m_ranks.front().state->map) {
      return std::nullopt;
    }
    map.resize(state->experts.size());
    for (std::size_t set = 0; set < map.size(); ++set) {
      map[set].resize(size());
      map[set][index] = state->experts[set];
    }
  }
  return map;
}

}  // namespace cornelrelay::balance
