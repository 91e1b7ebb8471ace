#include "cornelrelay/ranks/known_map.h"

#include <utility>

namespace cornelrelay::ranks {

void KnownMap::Set(std::uint64_t epoch, balance::MapVersion version, balance::SharedLayerMap map) {
  m_entry = {epoch, version, std::move(map)};
}

void KnownMap::NoteSwitch(std::uint64_t epoch, const balance::SwitchEnded& ended) {
  if (ended.outcome != balance::SwitchOutcome::kSwitched) return;
  m_entry.reset();
  if (ended.map) Set(epoch, ended.version, *ended.map);
}

void KnownMap::NoteEpoch(std::uint64_t epoch) {
  if (m_entry && m_entry->epoch != epoch) m_entry.reset();
}

std::optional<balance::MapVersion> KnownMap::version() const {
  if (!m_entry) return std::nullopt;
  return m_entry->version;
}

balance::RankState KnownMap::Complete(const balance::RankReport& report) const {
  balance::RankState state = report.state;
  const bool omitted = m_entry && m_entry->version == state.map && m_entry->epoch == state.epoch &&
                       state.experts.empty();
  if (!omitted) return state;
  for (const auto& ranks : m_entry->map.layers()) state.experts.push_back(ranks[report.rank]);
  return state;
}

}  // namespace cornelrelay::ranks
