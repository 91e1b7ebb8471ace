#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace cornelrelay::request {

/// \brief Source of choices that RapidCheck can shrink: 0, the choice without a fault, follows the
/// end of the tape.
class Tape {
 public:
  explicit Tape(std::vector<std::uint8_t> choices) : m_choices(std::move(choices)) {}

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
