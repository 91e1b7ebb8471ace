#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::ranks {

/// \brief Groups of agents. The first agent of a group is called and passes the call on to the
/// others.
using ForwardingGroups = std::vector<std::vector<core::Endpoint>>;

/// Agents to which one agent passes a call on. Two levels reach 42 agents, as many as a data centre
/// has of a group of 200 in five data centres.
inline constexpr std::size_t kForwardingFanOut = 6;

/// \brief Splits agents into groups of nearly equal size, in their order.
/// \param max_groups number of groups; fewer if there are fewer agents
ForwardingGroups SplitForForwarding(const std::vector<core::Endpoint>& agents,
                                    std::size_t max_groups);

/// \brief Returns how often a call to a group of this size is passed on at most.
std::size_t ForwardingDepth(std::size_t agents);

/// \brief Returns the agents of a group that failed to answer although they were called. Those
/// below them may not have been called.
std::vector<core::Endpoint> FindFailedAgents(const std::vector<core::Endpoint>& group,
                                             const std::set<core::Endpoint>& answered);

}  // namespace cornelrelay::ranks
