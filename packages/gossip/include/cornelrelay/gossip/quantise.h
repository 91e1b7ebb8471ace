#pragma once

#include <cstdint>

namespace cornelrelay::gossip {

/// \brief One-byte code of a count: exact up to 16, then 16 steps an octave (error under 2.2%) up
/// to about 500,000.
///
/// \code
/// const double running = CountOf(QuantiseCount(37));  // within 2.2% of 37
/// \endcode
std::uint8_t QuantiseCount(double value);
double CountOf(std::uint8_t code);

/// \brief One-byte code of a ratio in [0, 1].
std::uint8_t QuantiseRatio(double value);
double RatioOf(std::uint8_t code);

/// \brief One-byte code of a step time in milliseconds, in units of 0.1 ms.
std::uint8_t QuantiseMilliseconds(double value);
double MillisecondsOf(std::uint8_t code);

}  // namespace cornelrelay::gossip
