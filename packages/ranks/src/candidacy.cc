#include "cornelrelay/ranks/candidacy.h"

#include <algorithm>

namespace cornelrelay::ranks {

Candidacy::Candidacy(CandidacyConfig config, core::Instant now)
    : m_config(config), m_candidate(StandbyIndex().has_value()), m_last_call(now) {}

// Standbys are spread over the ranks and thereby over the data centres.
std::optional<balance::RankIndex> Candidacy::StandbyIndex() const {
  const balance::RankIndex stride = std::max(m_config.ranks / m_config.standbys, 1U);
  if (m_config.rank % stride != 0) return std::nullopt;
  return m_config.rank / stride;
}

core::Duration Candidacy::Stagger() const {
  const auto index = StandbyIndex();
  return index ? m_config.standby_stagger * *index : m_config.other_stagger;
}

bool Candidacy::OnLeaderCall(core::Instant now) {
  m_last_call = now;
  if (!m_candidate || StandbyIndex()) return false;
  m_candidate = false;
  return true;
}

bool Candidacy::OnTick(core::Instant now) {
  const auto wake = NextWake();
  if (!wake || now < *wake) return false;
  m_candidate = true;
  return true;
}

std::optional<core::Instant> Candidacy::NextWake() const {
  if (m_candidate) return std::nullopt;
  return m_last_call + m_config.silence_timeout +
         std::min(m_config.silence_per_rank * m_config.rank, m_config.max_silence_spread);
}

}  // namespace cornelrelay::ranks
