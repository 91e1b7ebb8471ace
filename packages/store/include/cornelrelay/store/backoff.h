#pragma once

#include <cstdint>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::store {

/// \brief Exponential delays with jitter: uniform between half and the whole of the doubled base.
///
/// The jitter keeps processes that failed at the same moment from returning at the same moment.
///
/// \code
/// Backoff backoff(milliseconds(100), seconds(8), seed);
/// retry_at = now + backoff.Delay(failures);
/// \endcode
class Backoff {
 public:
  Backoff(core::Duration base, core::Duration ceiling, std::uint64_t seed);

  /// \param failures number of failures so far, from 1
  core::Duration Delay(std::uint32_t failures);

 private:
  core::Duration m_base;
  core::Duration m_ceiling;
  core::Random m_random;
};

}  // namespace cornelrelay::store
