#include "cornelrelay/gossip/mass_loss_rule.h"

#include <algorithm>

namespace cornelrelay::gossip {
namespace {

constexpr std::size_t kProbesKept = 8;
constexpr core::Duration kAtOnce = std::chrono::minutes(1);
constexpr std::size_t kDataCentreMinimum = 3;

struct Tally {
  std::size_t known = 0;
  std::size_t lost = 0;

  void Add(bool is_lost) {
    ++known;
    if (is_lost) ++lost;
  }
  bool OverThird() const { return 3 * lost > known; }
};

}  // namespace

void MassLossRule::NoteProbe(const core::HostId& host, bool answered) {
  std::erase_if(m_probes, [&](const auto& probe) { return probe.first == host; });
  m_probes.emplace_back(host, answered);
  if (m_probes.size() > kProbesKept) m_probes.pop_front();
}

bool MassLossRule::Holds(const core::HostId& lost, core::Instant now) {
  if (m_settings.faults.no_mass_loss_rule) return false;
  std::erase_if(m_deaths, [&](const auto& death) { return now - death.second > kAtOnce; });
  Tally own;
  own.Add(false);
  for (const auto& [host, answered] : m_probes) own.Add(!answered);
  if (own.OverThird()) return true;

  const MemberState* subject = m_table.FindMember(lost);
  Tally all;
  Tally near;
  all.Add(false);
  if (subject != nullptr && subject->data_centre == m_settings.data_centre) near.Add(false);
  const auto add = [&](const core::HostId& host, bool dead) {
    const MemberState* member = m_table.FindMember(host);
    if (member == nullptr) return;
    const bool is_lost = dead || member->life == Life::kSuspect;
    all.Add(is_lost);
    if (subject != nullptr && member->data_centre == subject->data_centre) near.Add(is_lost);
  };
  for (const core::HostId& host : m_roster.probed()) add(host, false);
  for (const auto& [host, when] : m_deaths) add(host, true);
  return all.OverThird() || (near.OverThird() && near.lost >= kDataCentreMinimum);
}

}  // namespace cornelrelay::gossip
