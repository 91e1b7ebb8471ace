#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/limits/deficit_round_robin.h"

namespace cornelrelay::limits {

/// \brief Settings of a FairQueue.
struct FairQueueConfig {
  double quantum = 1;  ///< work units per account in a round of deficit round robin
  /// A queued request rises by one priority class each time this has passed. Empty disables aging.
  std::optional<core::Duration> aging = std::chrono::seconds(1);
};

/// \brief Queue with priority classes and aging. Within a class, accounts are served by deficit
/// round robin.
///
/// \code
/// FairQueue queue({});
/// queue.Push(item);
/// const auto next = queue.Pop(now, [&](const auto& account) { return running(account) < limit; });
/// \endcode
class FairQueue {
 public:
  explicit FairQueue(FairQueueConfig config) : m_config(config) {}

  void Push(const QueuedRequest& item);

  /// \brief Removes and returns the next request of an eligible account, if there is one.
  /// \param least_urgent requests of a lower priority than this, so with a greater number, stay
  std::optional<QueuedRequest> Pop(
      core::Instant now, const AccountPredicate& eligible,
      std::uint8_t least_urgent = std::numeric_limits<std::uint8_t>::max());

  /// \brief Removes a request; returns it if it was queued.
  std::optional<QueuedRequest> Remove(const core::RequestId& request);

  /// \brief Removes and returns the requests for which `predicate` is true.
  std::vector<QueuedRequest> RemoveIf(const std::function<bool(const QueuedRequest&)>& predicate);

  /// \brief Upper bound of the queued requests that are served before a new one of `account`.
  /// Ignores aging.
  std::size_t AheadOf(const core::ClientAccountId& account, std::uint8_t priority) const;

  /// \brief Queued requests in the order in which they are likely to be served: by priority, then
  /// in turns of the accounts, then by deadline. Ignores aging and differences in work.
  std::vector<QueuedRequest> InServiceOrder() const;

  /// \brief Number of queued requests of each priority that has any.
  std::map<std::uint8_t, std::uint32_t> SizeByPriority() const;

  /// \brief Number of queued requests of one account.
  std::size_t SizeOf(const core::ClientAccountId& account) const;
  std::size_t size() const { return m_items.size(); }

 private:
  DeficitRoundRobin& Scheduler(std::uint8_t priority);

  FairQueueConfig m_config;
  std::map<std::uint8_t, DeficitRoundRobin> m_classes;
  std::map<core::RequestId, QueuedRequest> m_items;
};

}  // namespace cornelrelay::limits
