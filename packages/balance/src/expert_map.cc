#include "cornelrelay/balance/expert_map.h"

#include <algorithm>
#include <string>
#include <utility>

#include "cornelrelay/balance/invalid_expert_map.h"

namespace cornelrelay::balance {

InvalidExpertMap::InvalidExpertMap(const std::string& reason)
    : Error("invalid_expert_map", reason) {}

ExpertMap::ExpertMap(std::uint64_t version, RankIndex ranks, Placement placement)
    : m_version(version), m_ranks(ranks), m_placement(std::move(placement)) {
  for (const auto& [expert, on] : m_placement) {
    const std::string name = "expert " + std::to_string(expert);
    if (on.empty()) throw InvalidExpertMap(name + " has no rank");
    if (*on.rbegin() >= ranks) throw InvalidExpertMap(name + " is on a rank outside of the group");
  }
}

std::set<ExpertIndex> ExpertMap::ExpertsOn(RankIndex rank) const {
  std::set<ExpertIndex> experts;
  for (const auto& [expert, on] : m_placement) {
    if (on.contains(rank)) experts.insert(expert);
  }
  return experts;
}

std::set<ExpertIndex> ExpertMap::UnservedExperts(const std::set<RankIndex>& live) const {
  std::set<ExpertIndex> unserved;
  for (const auto& [expert, on] : m_placement) {
    const bool served =
        std::any_of(on.begin(), on.end(), [&](RankIndex rank) { return live.contains(rank); });
    if (!served) unserved.insert(expert);
  }
  return unserved;
}

}  // namespace cornelrelay::balance
