#pragma once

#include <compare>
#include <vector>

#include "cornelrelay/gossip/record.h"
#include "cornelrelay/gossip/snapshot_part.h"

namespace cornelrelay::wire {

/// \brief Largest table: twice the records of the two-year target.
inline constexpr std::size_t kMaxTableRecords = 8192;

/// \brief Asks for a part of the record table; sent by a starting entry process over TCP.
struct TableFetch {
  gossip::SnapshotPart part = gossip::SnapshotPart::kNear;

  friend auto operator<=>(const TableFetch&, const TableFetch&) = default;
};

struct TableTransfer {
  std::vector<gossip::Record> records;

  friend bool operator==(const TableTransfer&, const TableTransfer&) = default;
};

}  // namespace cornelrelay::wire
