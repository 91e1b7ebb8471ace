#pragma once

#include <cstdint>

#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/load.h"
#include "cornelrelay/gossip/record.h"

namespace cornelrelay::gossip {

/// \brief A record in the table, with the local time at which its owner issued it.
struct StoredRecord {
  Record record;
  core::Instant issued;
  // The last full status record received, against which deltas are formed.
  std::uint64_t base_sequence = 0;
  Load base_load;
  bool base_draining = false;
};

}  // namespace cornelrelay::gossip
