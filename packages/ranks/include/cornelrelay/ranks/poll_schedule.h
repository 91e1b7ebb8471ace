#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::ranks {

/// \brief Selects the members to poll in a round, in round-robin order.
///
/// \code
/// schedule.Add(engine);
/// for (const core::Endpoint& engine : schedule.NextBatch(12)) ...
/// \endcode
class PollSchedule {
 public:
  void Add(const core::Endpoint& member);

  /// \brief Returns the next members in round-robin order, each at most once.
  std::vector<core::Endpoint> NextBatch(std::size_t max_count);

 private:
  std::vector<core::Endpoint> m_members;  ///< in ascending order of endpoint
  std::size_t m_next = 0;
};

}  // namespace cornelrelay::ranks
