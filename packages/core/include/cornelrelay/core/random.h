#pragma once

#include <cstdint>
#include <limits>

namespace cornelrelay::core {

/// \brief Small seeded generator (SplitMix64); models UniformRandomBitGenerator.
///
/// \code
/// Random random(settings.seed);
/// const std::uint64_t index = random.Below(candidates.size());
/// \endcode
class Random {
 public:
  using result_type = std::uint64_t;

  explicit Random(std::uint64_t seed) : m_state(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }

  result_type operator()();

  /// \brief Uniform in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound);

  /// \brief Uniform in [0, 1).
  double Unit();

 private:
  std::uint64_t m_state;
};

}  // namespace cornelrelay::core
