#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace cornelrelay::balance {

using ExpertIndex = std::uint32_t;
using RankIndex = std::uint32_t;

/// \brief Immutable placement of experts on the ranks of a group.
///
/// \code
/// const ExpertMap map(7, 4, {{0, {0, 1}}, {1, {2}}, {2, {3}}});  // expert 0 has two replicas
/// \endcode
class ExpertMap {
 public:
  using Placement = std::map<ExpertIndex, std::set<RankIndex>>;

  /// \brief Constructs the map of a group without experts.
  ExpertMap() = default;

  /// \brief Throws InvalidExpertMap if an expert has no rank or a rank is not below `ranks`.
  ExpertMap(std::uint64_t version, RankIndex ranks, Placement placement);

  std::uint64_t version() const { return m_version; }
  RankIndex ranks() const { return m_ranks; }
  const Placement& placement() const { return m_placement; }

  std::set<ExpertIndex> ExpertsOn(RankIndex rank) const;

  /// \brief Returns the experts without a replica on any of the `live` ranks.
  std::set<ExpertIndex> UnservedExperts(const std::set<RankIndex>& live) const;

  friend bool operator==(const ExpertMap&, const ExpertMap&) = default;

 private:
  std::uint64_t m_version = 0;
  RankIndex m_ranks = 0;
  Placement m_placement;
};

}  // namespace cornelrelay::balance
