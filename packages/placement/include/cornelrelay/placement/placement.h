#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <vector>

namespace cornelrelay::placement {

/// \brief The experts of one layer that each rank holds. Each rank has a fixed number of slots,
/// which its memory limits.
///
/// \code
/// Placement next = current.With({.rank = 3, .evicted = 7, .loaded = 12});
/// \endcode
class Placement {
 public:
  /// \brief Replacement of one expert on one rank. Moves are the unit of rebalancing cost.
  struct Move {
    std::size_t rank = 0;
    std::size_t evicted = 0;
    std::size_t loaded = 0;

    friend bool operator==(const Move&, const Move&) = default;
  };

  Placement(std::size_t experts, std::vector<std::set<std::size_t>> ranks);

  /// \brief Returns a copy with the move applied.
  Placement With(const Move& move) const;

  std::size_t experts() const { return m_copies.size(); }
  std::size_t ranks() const { return m_ranks.size(); }
  const std::set<std::size_t>& Experts(std::size_t rank) const { return m_ranks[rank]; }
  std::size_t Copies(std::size_t expert) const { return m_copies[expert]; }

  /// \brief Returns whether every expert is on at least one rank.
  bool Complete() const;

  friend bool operator==(const Placement&, const Placement&) = default;

 private:
  std::vector<std::set<std::size_t>> m_ranks;
  std::vector<std::size_t> m_copies;
};

/// \brief Time that each rank needs for one step of the group, whose ranks run in lock-step: its
/// load over its speed. The load of an expert is split evenly over its copies.
std::vector<double> RankTimes(const Placement& placement, const std::vector<double>& loads,
                              const std::vector<double>& speeds);

/// \brief Maximum over mean; 1 for equal, empty or all zero times.
double Skew(const std::vector<double>& times);

/// \brief Number of experts that ranks must load to change from one placement to another of equal
/// shape.
std::size_t MovesBetween(const Placement& from, const Placement& to);

}  // namespace cornelrelay::placement
