#pragma once

#include <chrono>
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

/// \brief Parts of the skew of a group under shifting demand for its experts.
/// \param run_time simulated time of each run
Table ExpertMapTable(std::uint64_t seed, std::chrono::seconds run_time = std::chrono::seconds(60));

}  // namespace cornelrelay::policybench
