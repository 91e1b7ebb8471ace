#include "cornelrelay/balance/rank_book.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::balance {
namespace {

constexpr double kPassGain = 0.3;
/// Pauses without work are no passes.
constexpr core::Duration kLongestPass = std::chrono::seconds(1);

}  // namespace

RankBook::RankBook(RankIndex ranks, RankIndex self, core::Duration usual_pass)
    : m_self(self), m_ranks(ranks), m_pass_time(usual_pass) {
  assert(self < ranks);
}

void RankBook::Reset(std::uint64_t epoch) {
  m_epoch = epoch;
  for (Entry& rank : m_ranks) rank.state.reset();
}

void RankBook::Observe(core::Instant now, RankIndex index, const RankState& state,
                       core::Instant requested_at) {
  assert(state.epoch == m_epoch);
  Entry& rank = m_ranks[index];
  if (rank.state && requested_at < rank.observed) return;
  if (rank.state && index == m_self && state.step > rank.state->step + 1) {
    LearnPassTime(now - rank.observed, state.step - rank.state->step);
  }
  rank.state = state;
  rank.observed = now;
}

void RankBook::LearnPassTime(core::Duration since, StepIndex passes) {
  const core::Duration sample = since / static_cast<std::int64_t>(passes);
  if (sample >= kLongestPass) return;
  m_pass_time += core::Duration(static_cast<core::Duration::rep>(
      kPassGain * static_cast<double>((sample - m_pass_time).count())));
}

StepIndex RankBook::LatestStep() const {
  StepIndex latest = 0;
  for (const Entry& rank : m_ranks) {
    if (rank.state) latest = std::max(latest, rank.state->step);
  }
  return latest;
}

StepIndex RankBook::ExpectedStep(core::Instant now) const {
  StepIndex latest = 0;
  for (const Entry& rank : m_ranks) {
    if (!rank.state) continue;
    const auto since = static_cast<StepIndex>((now - rank.observed) / m_pass_time);
    latest = std::max(latest, rank.state->step + since);
  }
  return latest;
}

std::optional<StepIndex> RankBook::HeldAt(RankIndex rank) const {
  const auto& state = m_ranks[rank].state;
  if (!state || !state->held || *state->held <= LatestStep()) return std::nullopt;
  return state->held;
}

std::optional<StepIndex> RankBook::UnfinishedStep() const {
  const StepIndex latest = LatestStep();
  std::optional<StepIndex> step;
  const auto consider = [&](StepIndex at) {
    if (at > latest) step = std::max(step.value_or(at), at);
  };
  bool held = false;
  for (RankIndex index = 0; index < size(); ++index) {
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

bool RankBook::AllPrepared(MapVersion version) const {
  return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const Entry& rank) {
    return rank.state && rank.state->prepared == version;
  });
}

std::optional<ArmedMap> RankBook::ArmedByAll() const {
  std::optional<ArmedMap> armed;
  for (const Entry& rank : m_ranks) {
    if (!rank.state || !rank.state->armed) return std::nullopt;
    if (armed && *armed != *rank.state->armed) return std::nullopt;
    armed = rank.state->armed;
  }
  return armed;
}

bool RankBook::AnyArmed() const {
  return std::any_of(m_ranks.begin(), m_ranks.end(),
                     [](const Entry& rank) { return rank.state && rank.state->armed; });
}

bool RankBook::AllOpen() const {
  return std::all_of(m_ranks.begin(), m_ranks.end(),
                     [](const Entry& rank) { return rank.state && rank.state->open; });
}

std::optional<LayerMap> RankBook::MapInUse() const {
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
