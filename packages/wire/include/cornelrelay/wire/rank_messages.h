#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/balance/map_delta.h"
#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/balance/rank_report.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::wire {

/// \brief A leader's order to the agent beside a rank.
struct RankCall {
  balance::Fence fence = 0;
  std::uint64_t epoch = 0;
  balance::RankOrder order = balance::ObserveRank{};
  bool want_expert_counts = false;
  /// Engine that gets the order, if it is not the agent's own; its state is not told then.
  std::optional<core::Endpoint> engine{};
  /// The map of a PrepareMap, which is empty then, as a difference to one that was sent before.
  std::optional<balance::MapDelta> map_delta{};
  /// Version of a map whose experts the caller knows for all ranks. States with it omit them.
  std::optional<balance::MapVersion> known_map{};
  /// Agents to which the receiver passes the call on, and how long it may wait for their replies.
  std::vector<core::Endpoint> forward_to{};
  std::chrono::milliseconds forward_time{0};
  /// Time that an agent needs besides waiting for those to which it passes the call on.
  std::chrono::milliseconds hop_time{0};
  /// Group that the caller leads. The fence orders the leaders of this group only.
  core::GroupId group{};

  friend bool operator==(const RankCall&, const RankCall&) = default;
};

/// \brief The answer of one of the agents to which a call was forwarded.
struct ForwardedReply {
  core::Endpoint agent;
  balance::OrderResult result = balance::OrderResult::kUnknown;
  std::optional<balance::RankReport> report;
  bool lacks_map = false;  ///< the agent does not have the base of the map's difference

  friend bool operator==(const ForwardedReply&, const ForwardedReply&) = default;
};

/// \brief The agent's answer, with the rank's state after the order.
struct RankReply {
  balance::OrderResult result = balance::OrderResult::kUnknown;
  std::optional<balance::RankReport> report;
  /// How often each expert was chosen since the last call of this leader, set after set, as a sum
  /// over the agents that answered.
  std::vector<std::uint32_t> expert_counts;
  std::vector<ForwardedReply> forwarded{};  ///< of the agents that answered in time
  bool lacks_map = false;  ///< the agent does not have the base of the map's difference

  friend bool operator==(const RankReply&, const RankReply&) = default;
};

/// \throws MessageTooLarge
std::string Encode(const RankCall& call);
std::string Encode(const RankReply& reply);

/// \throws MalformedMessage, MessageTooLarge
RankCall DecodeRankCall(std::string_view bytes);
RankReply DecodeRankReply(std::string_view bytes);

}  // namespace cornelrelay::wire
