#include "cornelrelay/net/caller_limit.h"

#include <cassert>

namespace cornelrelay::net {

std::string_view ToString(CallerLimit limit) {
  switch (limit) {
    case CallerLimit::kHeadTooLarge:
      return "head_too_large";
    case CallerLimit::kHeadFields:
      return "head_fields";
    case CallerLimit::kHeadTimeout:
      return "head_timeout";
    case CallerLimit::kHeadMemory:
      return "head_memory";
    case CallerLimit::kBodyTooLarge:
      return "body_too_large";
    case CallerLimit::kBodyTimeout:
      return "body_timeout";
    case CallerLimit::kBodyRate:
      return "body_rate";
    case CallerLimit::kBodyMemory:
      return "body_memory";
    case CallerLimit::kBodyStalled:
      return "body_stalled";
    case CallerLimit::kChunkOverhead:
      return "chunk_overhead";
    case CallerLimit::kConnections:
      return "connections";
    case CallerLimit::kConnectionsPerAddress:
      return "connections_per_address";
    case CallerLimit::kIdleReplaced:
      return "idle_replaced";
    case CallerLimit::kStalledReplaced:
      return "stalled_replaced";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::net
