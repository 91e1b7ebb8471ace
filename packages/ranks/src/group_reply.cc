#include "cornelrelay/ranks/group_reply.h"

#include <utility>

namespace cornelrelay::ranks {

void GroupReply::Add(const core::Endpoint& agent, wire::RankReply reply) {
  AddExpertCounts(expert_counts, reply.expert_counts);
  replies.push_back({agent, reply.result, std::move(reply.report), reply.lacks_map});
  for (wire::ForwardedReply& forwarded : reply.forwarded) replies.push_back(std::move(forwarded));
}

void AddExpertCounts(std::vector<std::uint32_t>& sum, const std::vector<std::uint32_t>& counts) {
  if (sum.empty()) {
    sum = counts;
    return;
  }
  if (counts.size() != sum.size()) return;
  for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += counts[i];
}

}  // namespace cornelrelay::ranks
