#include "cornelrelay/ranks/forwarding.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::ranks {

ForwardingGroups SplitForForwarding(const std::vector<core::Endpoint>& agents,
                                    std::size_t max_groups) {
  assert(max_groups > 0);
  const std::size_t count = std::min(max_groups, agents.size());
  ForwardingGroups groups;
  for (std::size_t i = 0; i < count; ++i) {
    const auto begin = agents.begin() + static_cast<std::ptrdiff_t>(i * agents.size() / count);
    const auto end = agents.begin() + static_cast<std::ptrdiff_t>((i + 1) * agents.size() / count);
    groups.emplace_back(begin, end);
  }
  return groups;
}

}  // namespace cornelrelay::ranks
