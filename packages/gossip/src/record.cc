#include "cornelrelay/gossip/record.h"

#include <tuple>

namespace cornelrelay::gossip {

bool Supersedes(const Record& a, const Record& b) {
  return std::tie(a.version, a.payload, a.origin, a.time_to_live) >
         std::tie(b.version, b.payload, b.origin, b.time_to_live);
}

}  // namespace cornelrelay::gossip
