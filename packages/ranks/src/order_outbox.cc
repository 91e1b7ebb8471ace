#include "cornelrelay/ranks/order_outbox.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::ranks {

void OrderOutbox::Add(const balance::SendOrder& order) {
  if (order.forwarder) {
    m_forwarded.push_back(order);
    return;
  }
  const auto same = std::find_if(m_batches.begin(), m_batches.end(), [&](const OrderBatch& batch) {
    return batch.fence == order.fence && batch.epoch == order.epoch && batch.order == order.order;
  });
  if (same != m_batches.end()) {
    same->ranks.push_back(order.rank);
  } else {
    m_batches.push_back({order.order, order.fence, order.epoch, {order.rank}});
  }
}

std::vector<OrderBatch> OrderOutbox::TakeBatches() { return std::exchange(m_batches, {}); }
std::vector<balance::SendOrder> OrderOutbox::TakeForwarded() {
  return std::exchange(m_forwarded, {});
}

}  // namespace cornelrelay::ranks
