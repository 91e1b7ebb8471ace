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

std::size_t ForwardingDepth(std::size_t agents) {
  std::size_t depth = 0;
  // The first agent of a group is called; the others are below it.
  for (std::size_t below = agents > 0 ? agents - 1 : 0; below > 0; ++depth) {
    below = (below + kForwardingFanOut - 1) / kForwardingFanOut - 1;
  }
  return depth;
}

std::vector<core::Endpoint> FindFailedAgents(const std::vector<core::Endpoint>& group,
                                             const std::set<core::Endpoint>& answered) {
  std::vector<core::Endpoint> failed;
  if (group.empty()) return failed;
  if (!answered.contains(group.front())) {
    failed.push_back(group.front());
    return failed;
  }
  const std::vector<core::Endpoint> below(group.begin() + 1, group.end());
  for (const auto& part : SplitForForwarding(below, kForwardingFanOut)) {
    const auto failed_below = FindFailedAgents(part, answered);
    failed.insert(failed.end(), failed_below.begin(), failed_below.end());
  }
  return failed;
}

}  // namespace cornelrelay::ranks
