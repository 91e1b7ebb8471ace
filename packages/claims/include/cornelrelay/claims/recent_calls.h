#pragma once

#include <cassert>
#include <cstddef>
#include <deque>
#include <set>

#include "cornelrelay/claims/id128.h"

namespace cornelrelay::claims {

/// \brief Bounded memory of call ids; the oldest is forgotten first. Forgetting costs liveness of a
/// key, never safety.
class RecentCalls {
 public:
  explicit RecentCalls(std::size_t capacity) : m_capacity(capacity) { assert(capacity > 0); }

  void Add(const ClaimCallId& call) {
    if (!m_ids.insert(call).second) return;
    m_order.push_back(call);
    if (m_order.size() <= m_capacity) return;
    m_ids.erase(m_order.front());
    m_order.pop_front();
  }
  bool Contains(const ClaimCallId& call) const { return m_ids.contains(call); }
  const std::set<ClaimCallId>& ids() const { return m_ids; }

 private:
  std::size_t m_capacity;
  std::set<ClaimCallId> m_ids;
  std::deque<ClaimCallId> m_order;
};

}  // namespace cornelrelay::claims
