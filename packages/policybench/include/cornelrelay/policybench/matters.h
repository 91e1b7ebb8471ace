#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cornelrelay/policybench/table.h"

namespace cornelrelay::policybench {

/// \brief The tables of one matter of the design page's decision goals.
Table RoutingTable(std::uint64_t seed, std::size_t entry_processes,
                   const std::map<std::string, double>& router, bool ours_only);
Table FairnessTable(std::uint64_t seed);
Table RetryTable(std::uint64_t seed);
Table PlacementTable(std::uint64_t seed);

}  // namespace cornelrelay::policybench
