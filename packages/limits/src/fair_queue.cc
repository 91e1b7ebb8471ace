#include "cornelrelay/limits/fair_queue.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace cornelrelay::limits {

DeficitRoundRobin& FairQueue::Scheduler(std::uint8_t priority) {
  return m_classes.try_emplace(priority, m_config.quantum).first->second;
}

void FairQueue::Push(const QueuedRequest& item) {
  assert(!m_items.contains(item.request));
  Scheduler(item.priority).Push(item);
  m_items.emplace(item.request, item);
}

std::optional<QueuedRequest> FairQueue::Pop(core::Instant now, const AccountPredicate& eligible,
                                            std::uint8_t least_urgent) {
  DeficitRoundRobin* best = nullptr;
  const QueuedRequest* oldest = nullptr;
  std::int64_t best_level = 0;
  bool promoted = false;
  for (auto& [priority, scheduler] : m_classes) {
    if (priority > least_urgent) break;
    const QueuedRequest* first = scheduler.Oldest(eligible);
    if (first == nullptr) continue;
    const std::int64_t classes_risen =
        m_config.aging ? (now - first->enqueued) / *m_config.aging : 0;
    const std::int64_t level = priority - classes_risen;
    if (best != nullptr && level >= best_level) continue;
    promoted = best != nullptr;
    best = &scheduler;
    oldest = first;
    best_level = level;
  }
  if (best == nullptr) return std::nullopt;
  std::optional<QueuedRequest> item;
  if (promoted) {
    // Serves the very request that rose above a higher class. The class's round-robin order could
    // pick others instead, so that this request stays and keeps its class promoted for ever.
    item = *oldest;
    best->Remove(*item, true);
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
  Scheduler(item.priority).Remove(item, false);
  m_items.erase(found);
  return item;
}

std::vector<QueuedRequest> FairQueue::RemoveIf(
    const std::function<bool(const QueuedRequest&)>& predicate) {
  std::vector<QueuedRequest> removed;
  for (const auto& [request, item] : m_items) {
    if (predicate(item)) removed.push_back(item);
  }
  for (const QueuedRequest& item : removed) Remove(item.request);
  return removed;
}

std::size_t FairQueue::AheadOf(const core::ClientAccountId& account, std::uint8_t priority) const {
  std::size_t ahead = 0;
  for (const auto& [other, scheduler] : m_classes) {
    if (other < priority) ahead += scheduler.size();
    if (other != priority) continue;
    const std::size_t own = scheduler.SizeOf(account);
    // In each round, every other account of the class has one turn for each turn of this account.
    const std::size_t others = scheduler.account_count() - (own > 0 ? 1 : 0);
    ahead += own + std::min((own + 1) * others, scheduler.size() - own);
  }
  return ahead;
}

std::vector<QueuedRequest> FairQueue::InServiceOrder() const {
  std::vector<QueuedRequest> items;
  items.reserve(m_items.size());
  for (const auto& [request, item] : m_items) items.push_back(item);
  const auto by_deadline = [](const QueuedRequest& a, const QueuedRequest& b) {
    return std::tie(a.priority, a.deadline, a.enqueued, a.request) <
           std::tie(b.priority, b.deadline, b.enqueued, b.request);
  };
  std::sort(items.begin(), items.end(), by_deadline);
  std::map<std::pair<std::uint8_t, core::ClientAccountId>, std::size_t> turns;
  std::map<core::RequestId, std::size_t> turn_of;
  for (const QueuedRequest& item : items) {
    turn_of[item.request] = turns[{item.priority, item.account}]++;
  }
  std::stable_sort(items.begin(), items.end(), [&](const auto& a, const auto& b) {
    return std::pair(a.priority, turn_of[a.request]) < std::pair(b.priority, turn_of[b.request]);
  });
  return items;
}

std::map<std::uint8_t, std::uint32_t> FairQueue::SizeByPriority() const {
  std::map<std::uint8_t, std::uint32_t> sizes;
  for (const auto& [priority, scheduler] : m_classes) {
    if (scheduler.size() > 0) sizes[priority] = static_cast<std::uint32_t>(scheduler.size());
  }
  return sizes;
}

std::size_t FairQueue::SizeOf(const core::ClientAccountId& account) const {
  std::size_t size = 0;
  for (const auto& [priority, scheduler] : m_classes) size += scheduler.SizeOf(account);
  return size;
}

}  // namespace cornelrelay::limits
