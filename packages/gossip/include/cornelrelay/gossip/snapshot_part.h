#pragma once

#include <cstdint>

namespace cornelrelay::gossip {

/// \brief Parts of the table that a starting entry process fetches from peers of its data centre.
///
/// Both at once are 100 KB at 350 entry processes and 940 agents, which takes a node over 8 KB/s
/// in the minute of a mass restart. The far part can wait for a random time of up to two minutes.
enum class SnapshotPart : std::uint8_t {
  kNear,  ///< notices, crash records, entry processes, and what is in the own data centre
  kFar,   ///< upstreams of other data centres
};

}  // namespace cornelrelay::gossip
