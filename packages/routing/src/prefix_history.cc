#include "cornelrelay/routing/prefix_history.h"

#include <algorithm>

namespace cornelrelay::routing {

PrefixHistory::PrefixHistory(std::size_t capacity, core::Duration lifetime)
    : m_capacity(std::max<std::size_t>(capacity, 1)), m_lifetime(lifetime) {}

void PrefixHistory::Insert(core::Instant now, const PrefixKey& key,
                           const core::UpstreamId& replica) {
  if (key.empty()) return;
  auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    if (m_entries.size() >= m_capacity) {
      m_entries.erase(m_use_order.back());
      m_use_order.pop_back();
    }
    m_use_order.push_front(key);
    found = m_entries.emplace(key, Entry{{}, m_use_order.begin()}).first;
  } else {
    m_use_order.splice(m_use_order.begin(), m_use_order, found->second.use_position);
  }
  found->second.holders[replica] = now;
}

void PrefixHistory::Erase(const PrefixKey& key, const core::UpstreamId& replica) {
  const auto found = m_entries.find(key);
  if (found != m_entries.end()) found->second.holders.erase(replica);
}

void PrefixHistory::EraseReplica(const core::UpstreamId& replica) {
  for (auto& [key, entry] : m_entries) entry.holders.erase(replica);
}

double PrefixHistory::HitProbability(core::Instant now, const PrefixKey& key,
                                     const core::UpstreamId& replica) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) return 0;
  const auto holder = found->second.holders.find(replica);
  if (holder == found->second.holders.end()) return 0;
  const double age = static_cast<double>((now - holder->second).count());
  return std::clamp(1 - age / static_cast<double>(m_lifetime.count()), 0.0, 1.0);
}

const core::UpstreamId* PrefixHistory::MostRecentHolder(const PrefixKey& key) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || found->second.holders.empty()) return nullptr;
  const auto& holders = found->second.holders;
  return &std::max_element(holders.begin(), holders.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
          })->first;
}

}  // namespace cornelrelay::routing
