#include "cornelrelay/claims/segment_eraser.h"

#include <algorithm>

#include "cornelrelay/claims/partitions.h"
#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::claims {
namespace {

StoreCallId CallOf(const OwnerEvent& event) {
  return std::visit(core::Overloaded{[](const ClaimCallReceived&) { return StoreCallId{0}; },
                                     [](const ClaimFinishReceived&) { return StoreCallId{0}; },
                                     [](const ClaimTick&) { return StoreCallId{0}; },
                                     [](const auto& result) { return result.call; }},
                    event);
}

}  // namespace

std::vector<OwnerAction> SegmentEraser::Start(const SegmentHeader& head, StoreCallId& next_call) {
  m_erased = std::max(m_erased, head.erased);
  m_first = std::max(m_first, head.first);
  if (m_call != 0) return {};
  return ReadNext(next_call);
}

std::vector<OwnerAction> SegmentEraser::ReadNext(StoreCallId& next_call) {
  if (m_erased >= m_first) return {};
  m_call = next_call++;
  return {StoreRead{m_call, SegmentKey(m_partition, m_erased)}};
}

std::optional<std::vector<OwnerAction>> SegmentEraser::OnResult(const OwnerEvent& result,
                                                                StoreCallId& next_call) {
  if (m_call == 0 || CallOf(result) != m_call) return std::nullopt;
  m_call = 0;
  if (const auto* read = std::get_if<StoreReadDone>(&result)) {
    if (read->value.empty()) {
      ++m_erased;
      return ReadNext(next_call);
    }
    m_call = next_call++;
    return std::vector<OwnerAction>{
        StoreSwap{m_call, SegmentKey(m_partition, m_erased), read->revision, {}}};
  }
  if (const auto* swap = std::get_if<StoreSwapDone>(&result); swap != nullptr && swap->swapped) {
    ++m_erased;
    return ReadNext(next_call);
  }
  return std::vector<OwnerAction>{};
}

}  // namespace cornelrelay::claims
