#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/wire/rank_messages.h"

namespace cornelrelay::ranks {

/// \brief Replies of the agents that answered a call, and the sum of their counts.
struct GroupReply {
  std::vector<wire::ForwardedReply> replies;
  std::vector<std::uint32_t> expert_counts;

  /// \brief Adds the reply of an agent, with those that it has collected from others.
  void Add(const core::Endpoint& agent, wire::RankReply reply);

  friend bool operator==(const GroupReply&, const GroupReply&) = default;
};

/// \brief Adds counts of the same experts. Counts of another number of experts are ignored, because
/// they belong to another configuration.
void AddExpertCounts(std::vector<std::uint32_t>& sum, const std::vector<std::uint32_t>& counts);

}  // namespace cornelrelay::ranks
