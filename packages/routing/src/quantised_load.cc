#include "cornelrelay/routing/quantised_load.h"

#include <algorithm>
#include <cmath>

namespace cornelrelay::routing {

namespace {

constexpr int kStepsPerDoubling = 8;
constexpr int kExactLevels = 8;

}  // namespace

QuantisedLoad QuantisedLoad::From(std::uint64_t value) {
  if (value <= kExactLevels) return QuantisedLoad(static_cast<std::uint8_t>(value));
  const double doublings = std::log2(static_cast<double>(value) / kExactLevels);
  const double level = kExactLevels + std::round(doublings * kStepsPerDoubling);
  return QuantisedLoad(static_cast<std::uint8_t>(std::min(level, 255.0)));
}

double QuantisedLoad::value() const {
  if (m_level <= kExactLevels) return m_level;
  return kExactLevels * std::exp2(static_cast<double>(m_level - kExactLevels) / kStepsPerDoubling);
}

}  // namespace cornelrelay::routing
