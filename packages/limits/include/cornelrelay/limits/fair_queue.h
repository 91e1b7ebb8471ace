#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/limits/account_ring.h"

namespace cornelrelay::limits {

/// \brief Settings of a FairQueue.
struct FairQueueConfig {
  double quantum = 1;  ///< work units per turn of an account
  /// A request rises by one class for each such wait; none switches aging off.
  std::optional<core::Duration> aging = std::chrono::seconds(1);
};

/// \brief Priority classes with aging; accounts share each class by deficit round robin.
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
  std::optional<QueuedRequest> Pop(core::Instant now, const Eligible& eligible);

  /// \brief Removes a request; returns it if it was queued.
  std::optional<QueuedRequest> Remove(const core::RequestId& request);

  /// \brief Removes and returns the requests that `hopeless` selects.
  std::vector<QueuedRequest> RemoveIf(const std::function<bool(const QueuedRequest&)>& hopeless);

  /// \brief How many queued requests are served before a new one of `account`, at most.
  std::size_t AheadOf(const core::ClientAccountId& account, std::uint8_t priority) const;

  std::size_t SizeOf(const core::ClientAccountId& account) const;
  std::size_t size() const { return m_items.size(); }

 private:
  AccountRing& Ring(std::uint8_t priority);

  FairQueueConfig m_config;
  std::map<std::uint8_t, AccountRing> m_classes;
  std::map<core::RequestId, QueuedRequest> m_items;
};

}  // namespace cornelrelay::limits
