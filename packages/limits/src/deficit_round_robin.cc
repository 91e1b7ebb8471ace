#include "cornelrelay/limits/deficit_round_robin.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cornelrelay::limits {

DeficitRoundRobin::DeficitRoundRobin(double quantum) : m_quantum(quantum) { assert(quantum > 0); }

void DeficitRoundRobin::Push(const QueuedRequest& item) {
  const auto [account, inserted] = m_accounts.try_emplace(item.account);
  if (inserted) m_turn_order.push_back(item.account);
  account->second.items.emplace(KeyOf(item), item);
  m_by_age.emplace(AgeKey{item.enqueued, item.request}, item);
}

void DeficitRoundRobin::Remove(const QueuedRequest& item, bool charge) {
  const auto account = m_accounts.find(item.account);
  assert(account != m_accounts.end());
  account->second.items.erase(KeyOf(item));
  m_by_age.erase(AgeKey{item.enqueued, item.request});
  if (charge) account->second.deficit -= item.work;
  if (account->second.items.empty()) {
    m_turn_order.remove(item.account);
    m_accounts.erase(account);
  }
}

std::optional<double> DeficitRoundRobin::RoundsNeeded(const core::ClientAccountId& id,
                                                      const AccountQueue& account,
                                                      const AccountPredicate& eligible) const {
  if (!eligible(id)) return std::nullopt;
  const double missing = account.items.begin()->second.work - account.deficit;
  return std::max(0.0, std::ceil(missing / m_quantum));
}

std::optional<QueuedRequest> DeficitRoundRobin::Pop(const AccountPredicate& eligible) {
  // Serves the account that needs the fewest further rounds; ties are broken by the turn order.
  // The order is that of the usual loop over turns, but rounds in which no deficit covers a request
  // yet, because the requests are large, are skipped.
  auto best = m_turn_order.end();
  double rounds = 0;
  std::map<core::ClientAccountId, bool> eligible_accounts;
  for (auto turn = m_turn_order.begin(); turn != m_turn_order.end(); ++turn) {
    const auto needed = RoundsNeeded(*turn, m_accounts.at(*turn), eligible);
    eligible_accounts[*turn] = needed.has_value();
    if (!needed || (best != m_turn_order.end() && *needed >= rounds)) continue;
    best = turn;
    rounds = *needed;
  }
  if (best == m_turn_order.end()) return std::nullopt;
  if (rounds > 0) {
    for (auto& [id, account] : m_accounts) {
      if (eligible_accounts[id]) account.deficit += rounds * m_quantum;
    }
  }
  const core::ClientAccountId id = *best;
  const QueuedRequest item = m_accounts.at(id).items.begin()->second;
  // An account keeps its turn while its deficit covers its next request.
  m_turn_order.splice(m_turn_order.begin(), m_turn_order, best);
  Remove(item, true);
  const auto remaining = m_accounts.find(id);
  if (remaining != m_accounts.end() &&
      remaining->second.deficit < remaining->second.items.begin()->second.work) {
    m_turn_order.splice(m_turn_order.end(), m_turn_order, m_turn_order.begin());
  }
  return item;
}

const QueuedRequest* DeficitRoundRobin::Oldest(const AccountPredicate& eligible) const {
  for (const auto& [key, item] : m_by_age) {
    if (eligible(item.account)) return &item;
  }
  return nullptr;
}

std::size_t DeficitRoundRobin::SizeOf(const core::ClientAccountId& account) const {
  const auto found = m_accounts.find(account);
  return found == m_accounts.end() ? 0 : found->second.items.size();
}

}  // namespace cornelrelay::limits
