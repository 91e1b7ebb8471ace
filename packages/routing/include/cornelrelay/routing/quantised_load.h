#pragma once

#include <compare>
#include <cstdint>

namespace cornelrelay::routing {

/// \brief A non-negative load figure in one byte: exact up to 8, then 8 steps per doubling.
///
/// Quantisation keeps a load report constant under small changes, so gossip does not re-send it.
/// The relative error is below 7%. \code const QuantisedLoad load =
/// QuantisedLoad::From(report.queued_tokens); \endcode
class QuantisedLoad {
 public:
  QuantisedLoad() = default;

  static QuantisedLoad From(std::uint64_t value);
  static QuantisedLoad FromLevel(std::uint8_t level) { return QuantisedLoad(level); }

  std::uint8_t level() const { return m_level; }
  double value() const;

  friend auto operator<=>(const QuantisedLoad&, const QuantisedLoad&) = default;
  friend bool operator==(const QuantisedLoad&, const QuantisedLoad&) = default;

 private:
  explicit QuantisedLoad(std::uint8_t level) : m_level(level) {}

  std::uint8_t m_level = 0;
};

}  // namespace cornelrelay::routing
