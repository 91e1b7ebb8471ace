#include "cornelrelay/balance/order_tracker.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::balance {

void OrderTracker::BeginPhase() {
  ++m_phase;
  for (Entry& entry : m_ranks) {
    entry.last_result.reset();
    entry.accepted.reset();
    entry.unanswered = false;
  }
}

bool OrderTracker::MaySend(core::Instant now, RankIndex rank, core::Duration delay) const {
  const Entry& entry = m_ranks[rank];
  // An order of an earlier phase does not delay one of this phase.
  if (entry.sent_phase != m_phase) return true;
  return now - entry.sent_at >= (entry.outstanding ? TimeoutOf(entry) : delay);
}

void OrderTracker::Send(core::Instant now, RankIndex rank, RankOrder order, Actions& out,
                        std::optional<RankIndex> forwarder) {
  if (!MaySend(now, rank)) return;
  const bool map = std::holds_alternative<PrepareMap>(order);
  if (map && CountPending(now, order.index()) >= m_config.max_concurrent_maps) return;
  EmitOrder(now, rank, std::move(order), forwarder, out);
}

std::size_t OrderTracker::CountPending(core::Instant now, std::size_t kind) const {
  return static_cast<std::size_t>(
      std::count_if(m_ranks.begin(), m_ranks.end(), [&](const Entry& entry) {
        return entry.outstanding && entry.kind == kind && now - entry.sent_at < TimeoutOf(entry);
      }));
}

void OrderTracker::Poll(core::Instant now, RankIndex rank, Actions& out) {
  if (MaySend(now, rank, m_config.poll_delay)) {
    EmitOrder(now, rank, ObserveRank{}, std::nullopt, out);
  }
}

void OrderTracker::PollAll(core::Instant now, Actions& out) {
  for (RankIndex rank = 0; rank < m_ranks.size(); ++rank) Poll(now, rank, out);
}

void OrderTracker::PollWithoutDelay(core::Instant now, RankIndex rank, Actions& out) {
  if (MaySend(now, rank, {})) EmitOrder(now, rank, ObserveRank{}, std::nullopt, out);
}

void OrderTracker::EmitOrder(core::Instant now, RankIndex rank, RankOrder order,
                             std::optional<RankIndex> forwarder, Actions& out) {
  Entry& entry = m_ranks[rank];
  entry.outstanding = true;
  entry.sent_at = now;
  entry.sent_phase = m_phase;
  entry.kind = order.index();
  out.emplace_back(SendOrder{rank, std::move(order), m_fence, m_epoch, forwarder});
}

void OrderTracker::RecordResult(RankIndex rank, OrderResult result) {
  Entry& entry = m_ranks[rank];
  entry.outstanding = false;
  if (entry.sent_phase != m_phase) return;
  entry.last_result = result;
  entry.unanswered = entry.unanswered || result == OrderResult::kUnknown;
  if (result == OrderResult::kDone) entry.accepted.set(entry.kind);
}

void OrderTracker::ClearResults(RankIndex rank) {
  m_ranks[rank].last_result.reset();
  m_ranks[rank].accepted.reset();
}

}  // namespace cornelrelay::balance
