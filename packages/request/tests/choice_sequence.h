#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace cornelrelay::request {

/// \brief Sequence of choices that RapidCheck can shrink. After the end of the sequence every
/// choice is 0, which injects no fault.
class ChoiceSequence {
 public:
  explicit ChoiceSequence(std::vector<std::uint8_t> choices) : m_choices(std::move(choices)) {}

  /// \brief Returns the next choice, reduced to less than `bound`.
  std::size_t Below(std::size_t bound) {
    const std::size_t choice = m_next < m_choices.size() ? m_choices[m_next++] : 0;
    return choice % bound;
  }
  /// \brief True for one in `n` choices.
  bool OneIn(std::size_t n) { return Below(n) == n - 1; }
  bool exhausted() const { return m_next >= m_choices.size(); }

 private:
  std::vector<std::uint8_t> m_choices;
  std::size_t m_next = 0;
};

}  // namespace cornelrelay::request
