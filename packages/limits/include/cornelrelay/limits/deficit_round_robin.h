#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "cornelrelay/limits/queued_request.h"

namespace cornelrelay::limits {

/// \brief Returns whether an account may start a request now.
using AccountPredicate = std::function<bool(const core::ClientAccountId&)>;

/// \brief Schedules the accounts of one priority class by deficit round robin, and the requests of
/// an account by deadline.
///
/// Each round adds `quantum` work units to an account's deficit counter. An account that queues
/// more than the others therefore delays only its own requests.
///
/// \code
/// scheduler.Push(item);
/// if (auto next = scheduler.Pop(eligible)) start(*next);
/// \endcode
class DeficitRoundRobin {
 public:
  /// \param quantum work units per round and account; positive
  explicit DeficitRoundRobin(double quantum);

  void Push(const QueuedRequest& item);

  /// \brief Removes and returns the next request of an eligible account, if there is one.
  std::optional<QueuedRequest> Pop(const AccountPredicate& eligible);

  /// \brief Removes one request, which must be queued here.
  /// \param charge whether to subtract its work from the account's deficit counter. A request that
  /// is served early because of aging is charged, so that aging does not add to the account's
  /// share.
  void Remove(const QueuedRequest& item, bool charge);

  /// \brief Returns the longest waiting request of any eligible account, or null.
  const QueuedRequest* Oldest(const AccountPredicate& eligible) const;

  /// \brief Number of queued requests.
  std::size_t size() const { return m_by_age.size(); }

  /// \brief Number of accounts with queued requests.
  std::size_t account_count() const { return m_accounts.size(); }

  /// \brief Number of queued requests of one account.
  std::size_t SizeOf(const core::ClientAccountId& account) const;

 private:
  using DeadlineKey = std::tuple<core::Instant, core::Instant, core::RequestId>;
  using AgeKey = std::pair<core::Instant, core::RequestId>;
  struct AccountQueue {
    std::map<DeadlineKey, QueuedRequest> items;
    double deficit = 0;
  };

  static DeadlineKey KeyOf(const QueuedRequest& item) {
    return {item.deadline, item.enqueued, item.request};
  }

  /// \brief Rounds until the account's deficit covers its next request; none if it is not eligible.
  std::optional<double> RoundsNeeded(const core::ClientAccountId& id, const AccountQueue& account,
                                     const AccountPredicate& eligible) const;

  double m_quantum;
  std::map<core::ClientAccountId, AccountQueue> m_accounts;
  // Each account once. Of accounts that need equally many rounds, the one nearest to the front is
  // served first.
  std::list<core::ClientAccountId> m_turn_order;
  std::map<AgeKey, QueuedRequest> m_by_age;
};

}  // namespace cornelrelay::limits
