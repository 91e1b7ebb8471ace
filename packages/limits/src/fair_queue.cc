#include "cornelrelay/limits/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::limits {

AccountRing& FairQueue::Ring(std::uint8_t priority) {
  return m_classes.try_emplace(priority, m_config.quantum).first->second;
}

void FairQueue::Push(const QueuedRequest& item) {
  assert(!m_items.contains(item.request));
  Ring(item.priority).Push(item);
  m_items.emplace(item.request, item);
}

std::optional<QueuedRequest> FairQueue::Pop(core::Instant now, const Eligible& eligible) {
  AccountRing* best = nullptr;
  const QueuedRequest* oldest = nullptr;
  std::int64_t best_level = 0;
  bool promoted = false;
  for (auto& [priority, ring] : m_classes) {
    const QueuedRequest* first = ring.Oldest(eligible);
    if (first == nullptr) continue;
    const std::int64_t risen = m_config.aging ? (now - first->enqueued) / *m_config.aging : 0;
    const std::int64_t level = priority - risen;
    if (best != nullptr && level >= best_level) continue;
    promoted = best != nullptr;
    best = &ring;
    oldest = first;
    best_level = level;
  }
  if (best == nullptr) return std::nullopt;
  std::optional<QueuedRequest> item;
  if (promoted) {
    // The request that rose above a higher class is served itself. Serving its class by turns
    // instead could leave it in place and keep the class promoted for ever.
    item = *oldest;
    best->Take(*item, true);
  } else {
    item = best->Pop(eligible);
  }
  m_items.erase(item->request);
  return item;
}

std::optional<QueuedRequest> FairQueue::Remove(const core::RequestId& request) {
  const auto found = m_items.find(request);
  if (found == m_items.end()) return std::nullopt;
  const QueuedRequest item = found->second;
  Ring(item.priority).Take(item, false);
  m_items.erase(found);
  return item;
}

std::vector<QueuedRequest> FairQueue::RemoveIf(
    const std::function<bool(const QueuedRequest&)>& hopeless) {
  std::vector<QueuedRequest> removed;
  for (const auto& [request, item] : m_items) {
    if (hopeless(item)) removed.push_back(item);
  }
  for (const QueuedRequest& item : removed) Remove(item.request);
  return removed;
}

std::size_t FairQueue::AheadOf(const core::ClientAccountId& account, std::uint8_t priority) const {
  std::size_t ahead = 0;
  for (const auto& [other, ring] : m_classes) {
    if (other < priority) ahead += ring.size();
    if (other != priority) continue;
    const std::size_t own = ring.SizeOf(account);
    // Each turn of this account comes with one of every other account in the class.
    const std::size_t others = ring.accounts() - (own > 0 ? 1 : 0);
    ahead += own + std::min((own + 1) * others, ring.size() - own);
  }
  return ahead;
}

std::size_t FairQueue::SizeOf(const core::ClientAccountId& account) const {
  std::size_t size = 0;
  for (const auto& [priority, ring] : m_classes) size += ring.SizeOf(account);
  return size;
}

}  // namespace cornelrelay::limits
