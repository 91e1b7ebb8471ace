#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/claims/owner_events.h"
#include "cornelrelay/claims/segment_header.h"

namespace cornelrelay::claims {

/// \brief Removes dropped segments from the store, one at a time. A failed try is repeated after
/// the next head write.
class SegmentEraser {
 public:
  explicit SegmentEraser(std::uint32_t partition) : m_partition(partition) {}

  /// \brief Starts on the segments in [erased, first) of a durable head, if idle.
  std::vector<OwnerAction> Start(const SegmentHeader& head, StoreCallId& next_call);

  /// \brief Handles the result of an own call; empty optional for a call of somebody else.
  std::optional<std::vector<OwnerAction>> OnResult(const OwnerEvent& result,
                                                   StoreCallId& next_call);

  /// \brief Segments below are gone; goes into the next head write.
  std::uint64_t erased() const { return m_erased; }

 private:
  std::vector<OwnerAction> ReadNext(StoreCallId& next_call);

  std::uint32_t m_partition;
  StoreCallId m_call = 0;
  std::uint64_t m_erased = 1;
  std::uint64_t m_first = 1;
};

}  // namespace cornelrelay::claims
