#pragma once

#include <cstdint>

namespace cornelrelay::bench {

/// \brief Traffic and processor time of all nodes of one role. Bytes include IP and UDP headers.
struct Tally {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  double cpu_seconds = 0;
  double node_seconds = 0;
  std::uint64_t worst_node_bytes = 0;  ///< sent and received by the busiest node
};

}  // namespace cornelrelay::bench
