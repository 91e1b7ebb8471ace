#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::routing {

/// \brief Non-negative load figure in one byte: exact up to 8, then 8 steps per doubling.
///
/// Quantisation keeps a load report constant under small changes, so that gossip does not send it
/// again. The relative error is below 7% up to the highest level.
/// \code
/// const auto load = QuantisedLoad::From(report.queued_tokens);
/// \endcode
class QuantisedLoad {
 public:
  QuantisedLoad() = default;

  /// \brief Rounds `value` to the nearest level; values beyond the highest level are clamped to it.
  static QuantisedLoad From(std::uint64_t value);
  /// \brief Restores a load from its encoded byte.
  static QuantisedLoad FromLevel(std::uint8_t level) { return QuantisedLoad(level); }

  std::uint8_t level() const { return m_level; }

  /// \brief Load that the level stands for, in the unit of the original value.
  double value() const;

  friend auto operator<=>(const QuantisedLoad&, const QuantisedLoad&) = default;
  friend bool operator==(const QuantisedLoad&, const QuantisedLoad&) = default;

 private:
  explicit QuantisedLoad(std::uint8_t level) : m_level(level) {}

  std::uint8_t m_level = 0;
};

}  // namespace cornelrelay::routing
