#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::ranks {

/// \brief Whom to ask in a round: all members in turn, so many at a time.
///
/// \code
/// rota.Add(engine);
/// for (const core::Endpoint& engine : rota.Next(12)) ...
/// \endcode
class PollRota {
 public:
  void Add(const core::Endpoint& member);

  /// \brief The members whose turn it is, each at most once.
  std::vector<core::Endpoint> Next(std::size_t most);

  /// \brief The same members at each call, spread over all of them in the order of their addresses.
  std::vector<core::Endpoint> Sample(std::size_t most) const;

 private:
  std::vector<core::Endpoint> m_members;  ///< in ascending order
  std::size_t m_next = 0;
};

}  // namespace cornelrelay::ranks
