#include "cornelrelay/gossip/quantise.h"

#include <algorithm>
#include <cmath>

namespace cornelrelay::gossip {
namespace {

constexpr double kExact = 16;
constexpr double kStepsPerOctave = 16;
constexpr double kMaxCode = 255;
constexpr double kUnitsPerMillisecond = 10;

}  // namespace

std::uint8_t QuantiseCount(double value) {
  if (!(value > 0)) return 0;
  const double code =
      value <= kExact ? value : kExact + kStepsPerOctave * std::log2(value / kExact);
  return static_cast<std::uint8_t>(std::lround(std::min(code, kMaxCode)));
}

double CountOf(std::uint8_t code) {
  return code <= kExact ? code : kExact * std::exp2((code - kExact) / kStepsPerOctave);
}

std::uint8_t QuantiseRatio(double value) {
  if (!(value > 0)) return 0;
  return static_cast<std::uint8_t>(std::lround(std::min(value, 1.0) * kMaxCode));
}

double RatioOf(std::uint8_t code) { return code / kMaxCode; }

std::uint8_t QuantiseMilliseconds(double value) {
  return QuantiseCount(value * kUnitsPerMillisecond);
}

double MillisecondsOf(std::uint8_t code) { return CountOf(code) / kUnitsPerMillisecond; }

}  // namespace cornelrelay::gossip
