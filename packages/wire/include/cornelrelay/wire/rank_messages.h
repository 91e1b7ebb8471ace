#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/balance/rank_order.h"
#include "cornelrelay/balance/rank_report.h"
#include "cornelrelay/core/endpoint.h"

namespace cornelrelay::wire {

/// \brief A leader's order to the agent beside a rank.
struct RankCall {
  balance::Fence fence = 0;
  std::uint64_t epoch = 0;
  balance::RankOrder order = balance::ObserveRank{};
  bool want_expert_counts = false;
  /// Engine that gets the order, if it is not the agent's own; its state is not told then.
  std::optional<core::Endpoint> engine{};

  friend bool operator==(const RankCall&, const RankCall&) = default;
};

/// \brief The agent's answer, with the rank's state after the order.
struct RankReply {
  balance::OrderResult result = balance::OrderResult::kUnknown;
  std::optional<balance::RankReport> report;
  /// How often each expert was chosen since the last call of this leader, set after set.
  std::vector<std::uint16_t> expert_counts;

  friend bool operator==(const RankReply&, const RankReply&) = default;
};

/// \throws MessageTooLarge
std::string Encode(const RankCall& call);
std::string Encode(const RankReply& reply);

/// \throws MalformedMessage, MessageTooLarge
RankCall DecodeRankCall(std::string_view bytes);
RankReply DecodeRankReply(std::string_view bytes);

}  // namespace cornelrelay::wire
