#include "cornelrelay/dispatch/served_shares.h"

#include <algorithm>
#include <cmath>

namespace cornelrelay::dispatch {

ServedShares::Counts ServedShares::Decayed(core::Instant now, const Counts& counts) const {
  const double elapsed = std::chrono::duration<double>(now - counts.at).count();
  const double memory = std::chrono::duration<double>(m_config.memory).count();
  const double factor = std::exp(-std::max(0.0, elapsed) / memory);
  return {counts.arrived * factor, counts.served * factor, now};
}

void ServedShares::RecordArrival(core::Instant now, std::uint8_t priority) {
  Counts& counts = m_counts.try_emplace(priority, Counts{0, 0, now}).first->second;
  counts = Decayed(now, counts);
  counts.arrived += 1;
  std::erase_if(m_counts, [&](const auto& entry) {
    return Decayed(now, entry.second).arrived < m_config.forget_below;
  });
}

void ServedShares::RecordServed(core::Instant now, std::uint8_t priority) {
  const auto found = m_counts.find(priority);
  if (found == m_counts.end()) return;
  found->second = Decayed(now, found->second);
  found->second.served += 1;
}

bool ServedShares::IsUnderserved(core::Instant now, std::uint8_t priority,
                                 std::size_t promoted) const {
  const auto found = m_counts.find(priority);
  if (found == m_counts.end() || m_counts.size() < 2) return false;
  double arrived = 0, served = 0;
  for (const auto& [other, counts] : m_counts) {
    const Counts recent = Decayed(now, counts);
    arrived += recent.arrived;
    served += recent.served;
  }
  const Counts own = Decayed(now, found->second);
  if (own.arrived < m_config.min_arrivals) return false;
  const double own_served = own.served + static_cast<double>(promoted);
  return own_served / own.arrived < m_config.floor * served / arrived;
}

std::uint8_t ServedShares::MostUrgent(std::uint8_t otherwise) const {
  return m_counts.empty() ? otherwise : m_counts.begin()->first;
}

}  // namespace cornelrelay::dispatch
