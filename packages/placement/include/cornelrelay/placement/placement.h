#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <vector>

namespace cornelrelay::placement {

/// \brief Which experts of one layer each rank holds. Each rank has a fixed number of slots (its
/// memory).
///
/// \code
/// Placement next = current.With({.rank = 3, .evicted = 7, .loaded = 12});
/// \endcode
class Placement {
 public:
  /// \brief Replacement of one expert on one rank; the unit of rebalancing cost.
  struct Move {
    std::size_t rank = 0;
    std::size_t evicted = 0;
    std::size_t loaded = 0;

    friend bool operator==(const Move&, const Move&) = default;
  };

  Placement(std::size_t experts, std::vector<std::set<std::size_t>> ranks);

  Placement With(const Move& move) const;

  std::size_t experts() const { return m_copies.size(); }
  std::size_t ranks() const { return m_ranks.size(); }
  const std::set<std::size_t>& Experts(std::size_t rank) const { return m_ranks[rank]; }
  std::size_t Copies(std::size_t expert) const { return m_copies[expert]; }

  /// \brief Every expert is on at least one rank.
  bool Complete() const;

  friend bool operator==(const Placement&, const Placement&) = default;

 private:
  std::vector<std::set<std::size_t>> m_ranks;
  std::vector<std::size_t> m_copies;
};

/// \brief Time of one lock-step per rank: an expert's load is split evenly over its copies.
std::vector<double> RankTimes(const Placement& placement, const std::vector<double>& loads,
                              const std::vector<double>& speeds);

/// \brief Maximum over mean; 1 for equal or empty times.
double Skew(const std::vector<double>& times);

/// \brief Loads of experts that differ between two placements of equal shape.
std::size_t MovesBetween(const Placement& from, const Placement& to);

}  // namespace cornelrelay::placement
