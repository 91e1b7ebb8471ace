#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::ranks {

/// \brief Groups of agents. The first agent of a group is called and passes the call on to the
/// others.
using ForwardingGroups = std::vector<std::vector<core::Endpoint>>;

/// \brief Splits agents into groups of nearly equal size, in their order.
/// \param max_groups number of groups; fewer if there are fewer agents
ForwardingGroups SplitForForwarding(const std::vector<core::Endpoint>& agents,
                                    std::size_t max_groups);

}  // namespace cornelrelay::ranks
