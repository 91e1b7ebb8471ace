#include "cornelrelay/quarantine/crash_table.h"

#include <algorithm>

namespace cornelrelay::quarantine {

void CrashTable::Merge(core::Instant now, const CrashRecord& record) {
  if (record.time + m_settings.memory <= now) return;
  const auto [found, added] = m_crashes.try_emplace(record.id, record);
  if (!added) found->second = quarantine::Merge(found->second, record);
  for (const Fingerprint& print : record.suspects) m_by_print[print].insert(record.id);
}

void CrashTable::Merge(core::Instant now, const ProbeRecord& record) {
  if (record.time + m_settings.probe_lifetime <= now) return;
  const auto [found, added] =
      m_probes.try_emplace(ProbeId{record.fingerprint, record.entry}, record);
  if (!added) found->second = quarantine::Merge(found->second, record);
}

void CrashTable::Expire(core::Instant now) {
  for (auto it = m_crashes.begin(); it != m_crashes.end();) {
    if (it->second.time + m_settings.memory > now) {
      ++it;
      continue;
    }
    for (const Fingerprint& print : it->second.suspects) {
      const auto found = m_by_print.find(print);
      found->second.erase(it->first);
      if (found->second.empty()) m_by_print.erase(found);
    }
    it = m_crashes.erase(it);
  }
  std::erase_if(m_probes, [&](const auto& entry) {
    return entry.second.time + m_settings.probe_lifetime <= now;
  });
}

std::vector<CrashId> CrashTable::Uncleared(const Fingerprint& print) const {
  std::vector<CrashId> uncleared;
  const auto found = m_by_print.find(print);
  if (found == m_by_print.end()) return uncleared;
  for (const CrashId& id : found->second) {
    if (!m_crashes.at(id).cleared.contains(print)) uncleared.push_back(id);
  }
  return uncleared;
}

bool CrashTable::IsQuarantined(const Fingerprint& print) const {
  std::set<core::UpstreamId> upstreams;
  for (const CrashId& id : Uncleared(print)) upstreams.insert(id.first);
  return upstreams.size() >= 2;
}

bool CrashTable::IsSuspect(const Fingerprint& print) const {
  const auto uncleared = Uncleared(print);
  if (uncleared.empty()) return false;
  // Of two quarantined requests either may be the cause, so neither explains the other.
  if (IsQuarantined(print)) return true;
  return std::any_of(uncleared.begin(), uncleared.end(), [&](const CrashId& id) {
    const auto& suspects = m_crashes.at(id).suspects;
    return std::none_of(suspects.begin(), suspects.end(),
                        [&](const Fingerprint& other) { return IsQuarantined(other); });
  });
}

std::vector<ProbeRecord> CrashTable::ActiveProbes(const core::HostId& except) const {
  std::vector<ProbeRecord> active;
  for (const auto& [id, probe] : m_probes) {
    if (probe.entry != except && probe.state != ProbeState::kEnded) active.push_back(probe);
  }
  return active;
}

}  // namespace cornelrelay::quarantine
