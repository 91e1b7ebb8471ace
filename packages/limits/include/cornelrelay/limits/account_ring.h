#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "cornelrelay/limits/queued_request.h"

namespace cornelrelay::limits {

/// \brief Says whether an account may start a request now.
using Eligible = std::function<bool(const core::ClientAccountId&)>;

/// \brief Deficit round robin over the accounts of one priority class, by deadline within an
/// account.
///
/// An account that queues more than the others waits behind itself: each turn serves up to
/// `quantum` work units. \code ring.Push(item); if (auto next = ring.Pop(eligible)) start(*next);
/// \endcode
class AccountRing {
 public:
  explicit AccountRing(double quantum);

  void Push(const QueuedRequest& item);
  std::optional<QueuedRequest> Pop(const Eligible& eligible);

  /// \brief Takes out one request and charges its account, so that aging does not add to the
  /// account's share.
  void Take(const QueuedRequest& item, bool charge);

  /// \brief The longest waiting request of an eligible account, or null.
  const QueuedRequest* Oldest(const Eligible& eligible) const;

  std::size_t size() const { return m_by_age.size(); }
  std::size_t accounts() const { return m_accounts.size(); }
  std::size_t SizeOf(const core::ClientAccountId& account) const;

 private:
  using DeadlineKey = std::tuple<core::Instant, core::Instant, core::RequestId>;
  using AgeKey = std::pair<core::Instant, core::RequestId>;
  struct Account {
    std::map<DeadlineKey, QueuedRequest> items;
    double deficit = 0;
  };

  static DeadlineKey KeyOf(const QueuedRequest& item) {
    return {item.deadline, item.enqueued, item.request};
  }
  std::optional<double> RoundsNeeded(const core::ClientAccountId& id, const Account& account,
                                     const Eligible& eligible) const;

  double m_quantum;
  std::map<core::ClientAccountId, Account> m_accounts;
  std::list<core::ClientAccountId> m_turns;  // front is next; each account once
  std::map<AgeKey, QueuedRequest> m_by_age;
};

}  // namespace cornelrelay::limits
