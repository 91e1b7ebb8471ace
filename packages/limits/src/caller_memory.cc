#include "cornelrelay/limits/caller_memory.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::limits {
namespace {

/// Answers that are not sent yet may take a quarter of the memory besides.
constexpr std::size_t kWithKeyDivisor = 5;
constexpr std::size_t kWithoutKeyDivisor = 16;
constexpr std::size_t kSmallWithKeyDivisor = 32;
constexpr std::size_t kSmallWithoutKeyDivisor = 64;
constexpr std::size_t kHeadDivisor = 32;
/// A body without an announced length is copied when its buffer grows, to at most twice its size.
constexpr std::size_t kBufferGrowth = 2;

}  // namespace

CallerMemoryLimits CallerMemoryLimitsOf(std::size_t memory_bytes, std::size_t body_bytes) {
  CallerMemoryLimits limits;
  const std::size_t one_body = kBufferGrowth * body_bytes;
  limits.head_bytes = memory_bytes / kHeadDivisor;
  limits.with_key_bytes = std::max(memory_bytes / kWithKeyDivisor, one_body);
  limits.without_key_bytes = std::max(memory_bytes / kWithoutKeyDivisor, one_body);
  limits.small_with_key_bytes = memory_bytes / kSmallWithKeyDivisor;
  limits.small_without_key_bytes = memory_bytes / kSmallWithoutKeyDivisor;
  return limits;
}

CallerMemory::CallerMemory(const CallerMemoryLimits& limits) {
  for (auto& budget : m_budgets) budget = std::make_shared<ByteBudget>(0);
  SetLimits(limits);
}

void CallerMemory::SetLimits(const CallerMemoryLimits& limits) {
  m_limits = limits;
  m_budgets[kHeads]->SetLimit(limits.head_bytes);
  m_budgets[kWithKey]->SetLimit(limits.with_key_bytes);
  m_budgets[kWithoutKey]->SetLimit(limits.without_key_bytes);
  m_budgets[kSmallWithKey]->SetLimit(limits.small_with_key_bytes);
  m_budgets[kSmallWithoutKey]->SetLimit(limits.small_without_key_bytes);
}

std::vector<CallerMemoryAction> CallerMemory::Step(core::Instant now,
                                                   const CallerMemoryEvent& event) {
  return std::visit([&](const auto& e) { return Handle(now, e); }, event);
}

std::size_t CallerMemory::used() const {
  std::size_t bytes = 0;
  for (const auto& budget : m_budgets) bytes += budget->used();
  return bytes;
}

std::vector<CallerMemoryAction> CallerMemory::Handle(core::Instant now, const HoldBytes& event) {
  auto [entry, added] = m_holders.try_emplace(event.connection);
  Holder& holder = entry->second;
  if (added) holder.progress = now;
  holder.complete = false;
  const std::vector<Pool> pools = PoolsFor(event);
  for (const Pool pool : pools) {
    if (TryHold(holder, pool, event.bytes)) return {BytesHeld{}};
  }
  std::vector<CallerMemoryAction> actions;
  for (const Pool pool : pools) {
    const ByteBudget& budget = *m_budgets[pool];
    const std::size_t own = holder.pool == pool ? holder.bytes : 0;
    const std::size_t kept = budget.used() - own - Reclaimable(now, pool, event.connection);
    // Nobody is ended in vain.
    if (event.bytes > budget.limit() || kept > budget.limit() - event.bytes) continue;
    while (!TryHold(holder, pool, event.bytes)) {
      const auto victim = FindVictim(now, pool, event.connection);
      actions.emplace_back(EndConnection{victim->first});
      m_holders.erase(victim);
    }
    actions.emplace_back(BytesHeld{});
    return actions;
  }
  if (added) m_holders.erase(event.connection);
  return {BytesRefused{}};
}

std::vector<CallerMemoryAction> CallerMemory::Handle(core::Instant now, const BytesArrived& event) {
  const auto entry = m_holders.find(event.connection);
  if (entry != m_holders.end()) entry->second.progress = now;
  return {};
}

std::vector<CallerMemoryAction> CallerMemory::Handle(core::Instant, const RequestComplete& event) {
  const auto entry = m_holders.find(event.connection);
  if (entry != m_holders.end()) entry->second.complete = true;
  return {};
}

std::vector<CallerMemoryAction> CallerMemory::Handle(core::Instant, const ReleaseBytes& event) {
  m_holders.erase(event.connection);
  return {};
}

std::vector<CallerMemory::Pool> CallerMemory::PoolsFor(const HoldBytes& event) const {
  const bool small = event.bytes <= m_limits.small_body;
  switch (event.kind) {
    case CallerBytes::kHead:
      return {kHeads};
    case CallerBytes::kBodyWithKey:
      return small ? std::vector<Pool>{kSmallWithKey, kWithKey} : std::vector<Pool>{kWithKey};
    case CallerBytes::kBodyWithoutKey:
      return small ? std::vector<Pool>{kSmallWithoutKey, kWithoutKey}
                   : std::vector<Pool>{kWithoutKey};
  }
  return {};
}

bool CallerMemory::TryHold(Holder& holder, Pool pool, std::size_t bytes) {
  if (holder.reservation && holder.pool == pool) {
    if (!holder.reservation->Resize(bytes)) return false;
  } else {
    auto reservation = std::make_unique<ByteReservation>(m_budgets[pool]);
    if (!reservation->Grow(bytes)) return false;
    holder.reservation = std::move(reservation);
    holder.pool = pool;
  }
  holder.bytes = bytes;
  return true;
}

bool CallerMemory::Stalled(core::Instant now, const Holders::value_type& entry, Pool pool,
                           CallerConnectionId except) const {
  const auto& [id, holder] = entry;
  return id != except && holder.reservation && holder.pool == pool && !holder.complete &&
         now - holder.progress >= m_limits.stall_time;
}

std::size_t CallerMemory::Reclaimable(core::Instant now, Pool pool,
                                      CallerConnectionId except) const {
  std::size_t bytes = 0;
  for (const auto& entry : m_holders) {
    if (Stalled(now, entry, pool, except)) bytes += entry.second.bytes;
  }
  return bytes;
}

CallerMemory::Holders::iterator CallerMemory::FindVictim(core::Instant now, Pool pool,
                                                         CallerConnectionId except) {
  const auto cost = [now](const Holder& holder) {
    return static_cast<double>(holder.bytes) * static_cast<double>((now - holder.progress).count());
  };
  auto victim = m_holders.end();
  for (auto entry = m_holders.begin(); entry != m_holders.end(); ++entry) {
    if (!Stalled(now, *entry, pool, except)) continue;
    if (victim == m_holders.end() || cost(entry->second) > cost(victim->second)) victim = entry;
  }
  return victim;
}

}  // namespace cornelrelay::limits
