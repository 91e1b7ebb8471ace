#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelrelay::placement {

using Expert = std::uint16_t;

/// \brief The experts of one set that each rank holds. Ranks may hold different numbers of them.
///
/// \code
/// ExpertLayout layout(4, {{0, 1}, {2, 3}});
/// layout.Add(1, 0);  // a second copy of expert 0
/// \endcode
class ExpertLayout {
 public:
  ExpertLayout(std::size_t experts, std::vector<std::vector<Expert>> ranks);

  std::size_t experts() const { return m_copies.size(); }
  const std::vector<std::vector<Expert>>& ranks() const { return m_ranks; }
  std::size_t Copies(Expert expert) const { return m_copies[expert]; }
  bool Holds(std::size_t rank, Expert expert) const;

  void Add(std::size_t rank, Expert expert);
  void Remove(std::size_t rank, Expert expert);

  /// \brief Returns whether every expert is on at least one rank.
  bool Complete() const;

  friend bool operator==(const ExpertLayout&, const ExpertLayout&) = default;

 private:
  std::vector<std::vector<Expert>> m_ranks;  ///< experts of each rank, sorted
  std::vector<std::size_t> m_copies;         ///< by expert
};

/// \brief Load of each rank. The load of an expert is split evenly over its copies.
/// \param pace factor by which the load of each rank counts more, because the rank works longer on
/// it; 1 for all if empty
std::vector<double> RankLoads(const ExpertLayout& layout, const std::vector<double>& loads,
                              const std::vector<double>& pace = {});

/// \brief Load of the rank that needs the longest for it, relative to the mean load of all ranks.
/// Equals the skew if all ranks are equally fast. 1 without any load.
/// \param pace see RankLoads()
double SlowestRankLoad(const ExpertLayout& layout, const std::vector<double>& loads,
                       const std::vector<double>& pace);

/// \brief Number of copies that each rank must load to change the layout.
std::vector<std::size_t> NewCopiesByRank(const ExpertLayout& from, const ExpertLayout& to);

/// \brief Number of copies that are in `to` and not in `from`, over all ranks.
std::size_t CountNewCopies(const ExpertLayout& from, const ExpertLayout& to);

}  // namespace cornelrelay::placement
