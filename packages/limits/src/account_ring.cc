#include "cornelrelay/limits/account_ring.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace cornelrelay::limits {

AccountRing::AccountRing(double quantum) : m_quantum(quantum) { assert(quantum > 0); }

void AccountRing::Push(const QueuedRequest& item) {
  const auto [account, inserted] = m_accounts.try_emplace(item.account);
  if (inserted) m_turns.push_back(item.account);
  account->second.items.emplace(KeyOf(item), item);
  m_by_age.emplace(AgeKey{item.enqueued, item.request}, item);
}

void AccountRing::Take(const QueuedRequest& item, bool charge) {
  const auto account = m_accounts.find(item.account);
  assert(account != m_accounts.end());
  account->second.items.erase(KeyOf(item));
  m_by_age.erase(AgeKey{item.enqueued, item.request});
  if (charge) account->second.deficit -= item.work;
  if (account->second.items.empty()) {
    m_turns.remove(item.account);
    m_accounts.erase(account);
  }
}

std::optional<double> AccountRing::RoundsNeeded(const core::ClientAccountId& id,
                                                const Account& account,
                                                const Eligible& eligible) const {
  if (!eligible(id)) return std::nullopt;
  const double missing = account.items.begin()->second.work - account.deficit;
  return std::max(0.0, std::ceil(missing / m_quantum));
}

std::optional<QueuedRequest> AccountRing::Pop(const Eligible& eligible) {
  // The account that needs the fewest further quanta is served next; ties go to the turn order.
  // This equals the usual loop over turns without its repeated empty rounds for large requests.
  auto best = m_turns.end();
  double rounds = 0;
  std::map<core::ClientAccountId, bool> may;
  for (auto turn = m_turns.begin(); turn != m_turns.end(); ++turn) {
    const auto needed = RoundsNeeded(*turn, m_accounts.at(*turn), eligible);
    may[*turn] = needed.has_value();
    if (!needed || (best != m_turns.end() && *needed >= rounds)) continue;
    best = turn;
    rounds = *needed;
  }
  if (best == m_turns.end()) return std::nullopt;
  if (rounds > 0) {
    for (auto& [id, account] : m_accounts) {
      if (may[id]) account.deficit += rounds * m_quantum;
    }
  }
  const core::ClientAccountId id = *best;
  const QueuedRequest item = m_accounts.at(id).items.begin()->second;
  // An account keeps its turn while its deficit lasts.
  m_turns.splice(m_turns.begin(), m_turns, best);
  Take(item, true);
  const auto rest = m_accounts.find(id);
  if (rest != m_accounts.end() && rest->second.deficit < rest->second.items.begin()->second.work) {
    m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
  }
  return item;
}

const QueuedRequest* AccountRing::Oldest(const Eligible& eligible) const {
  for (const auto& [key, item] : m_by_age) {
    if (eligible(item.account)) return &item;
  }
  return nullptr;
}

std::size_t AccountRing::SizeOf(const core::ClientAccountId& account) const {
  const auto found = m_accounts.find(account);
  return found == m_accounts.end() ? 0 : found->second.items.size();
}

}  // namespace cornelrelay::limits
