#include "cornelrelay/telemetry/decision_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::telemetry {

DecisionLog::DecisionLog(std::size_t capacity) : m_capacity(capacity) { assert(capacity > 0); }

void DecisionLog::Append(DecisionRecord record) {
  const std::size_t slot = m_next;
  m_next = (m_next + 1) % m_capacity;
  if (slot < m_ring.size()) {
    Unindex(slot);
    m_ring[slot] = std::move(record);
  } else {
    m_ring.push_back(std::move(record));
  }
  m_slots[m_ring[slot].request].push_back(slot);
}

std::vector<DecisionRecord> DecisionLog::Find(const core::RequestId& request) const {
  std::vector<DecisionRecord> records;
  const auto slots = m_slots.find(request);
  if (slots == m_slots.end()) return records;
  std::for_each(slots->second.rbegin(), slots->second.rend(),
                [&](std::size_t slot) { records.push_back(m_ring[slot]); });
  return records;
}

std::vector<DecisionRecord> DecisionLog::Recent(std::size_t n) const {
  std::vector<DecisionRecord> records;
  const std::size_t count = std::min(n, m_ring.size());
  for (std::size_t i = 1; i <= count; ++i) {
    records.push_back(m_ring[(m_next + m_capacity - i) % m_capacity]);
  }
  return records;
}

void DecisionLog::Unindex(std::size_t slot) {
  const auto slots = m_slots.find(m_ring[slot].request);
  assert(slots != m_slots.end());
  // The oldest record of all is also the oldest of its request.
  assert(slots->second.front() == slot);
  slots->second.erase(slots->second.begin());
  if (slots->second.empty()) m_slots.erase(slots);
}

}  // namespace cornelrelay::telemetry
