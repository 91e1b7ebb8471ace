#include "cornelrelay/balance/order_book.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::balance {

void OrderBook::BeginPhase() {
  ++m_phase;
  for (Entry& entry : m_ranks) {
    entry.last.reset();
    entry.accepted.reset();
    entry.unanswered = false;
  }
}

bool OrderBook::MaySend(core::Instant now, RankIndex rank, core::Duration pause) const {
  const Entry& entry = m_ranks[rank];
  // An order of an earlier phase does not delay one of this phase.
  if (entry.sent_in != m_phase) return true;
  return now - entry.sent >= (entry.outstanding ? m_config.timeout : pause);
}

void OrderBook::Send(core::Instant now, RankIndex rank, RankOrder order, Actions& out,
                     std::optional<RankIndex> forwarder) {
  if (!MaySend(now, rank)) return;
  const bool map = std::holds_alternative<PrepareMap>(order);
  if (map && Pending(now, order.index()) >= m_config.maps_at_once) return;
  Give(now, rank, std::move(order), forwarder, out);
}

std::size_t OrderBook::Pending(core::Instant now, std::size_t kind) const {
  return static_cast<std::size_t>(
      std::count_if(m_ranks.begin(), m_ranks.end(), [&](const Entry& entry) {
        return entry.outstanding && entry.kind == kind && now - entry.sent < m_config.timeout;
      }));
}

void OrderBook::Poll(core::Instant now, RankIndex rank, Actions& out) {
  if (MaySend(now, rank, m_config.poll_pause)) Give(now, rank, ObserveRank{}, std::nullopt, out);
}

void OrderBook::PollAll(core::Instant now, Actions& out) {
  for (RankIndex rank = 0; rank < m_ranks.size(); ++rank) Poll(now, rank, out);
}

void OrderBook::PollAtOnce(core::Instant now, RankIndex rank, Actions& out) {
  if (MaySend(now, rank, {})) Give(now, rank, ObserveRank{}, std::nullopt, out);
}

void OrderBook::Give(core::Instant now, RankIndex rank, RankOrder order,
                     std::optional<RankIndex> forwarder, Actions& out) {
  Entry& entry = m_ranks[rank];
  entry.outstanding = true;
  entry.sent = now;
  entry.sent_in = m_phase;
  entry.kind = order.index();
  out.emplace_back(SendOrder{rank, std::move(order), m_fence, m_epoch, forwarder});
}

void OrderBook::Ended(RankIndex rank, OrderResult result) {
  Entry& entry = m_ranks[rank];
  entry.outstanding = false;
  if (entry.sent_in != m_phase) return;
  entry.last = result;
  entry.unanswered = entry.unanswered || result == OrderResult::kUnknown;
  if (result == OrderResult::kDone) entry.accepted.set(entry.kind);
}

void OrderBook::ForgetResults(RankIndex rank) {
  m_ranks[rank].last.reset();
  m_ranks[rank].accepted.reset();
}

}  // namespace cornelrelay::balance
