#pragma once

#include <vector>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::ranks {

/// \brief The same order for several ranks.
struct OrderBatch {
  balance::RankOrder order;
  balance::Fence fence = 0;
  std::uint64_t epoch = 0;
  std::vector<balance::RankIndex> ranks;

  friend bool operator==(const OrderBatch&, const OrderBatch&) = default;
};

/// \brief Collects the orders that are decided at the same time, so that equal ones are sent as one
/// message.
class OrderOutbox {
 public:
  void Add(const balance::SendOrder& order);

  /// \brief Returns and removes the collected orders. Orders for a certain forwarder are not part
  /// of a batch.
  std::vector<OrderBatch> TakeBatches();
  std::vector<balance::SendOrder> TakeForwarded();

  bool empty() const { return m_batches.empty() && m_forwarded.empty(); }

 private:
  std::vector<OrderBatch> m_batches;
  std::vector<balance::SendOrder> m_forwarded;
};

}  // namespace cornelrelay::ranks
