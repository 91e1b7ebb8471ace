#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::store {

/// \brief Call budget: `rate_per_second` tokens a second, at most `burst` saved up.
///
/// \code
/// if (bucket.TryTake(now)) Send(call); else WakeAt(now + bucket.UntilNext(now));
/// \endcode
class TokenBucket {
 public:
  TokenBucket(double rate_per_second, double burst);

  bool TryTake(core::Instant now);

  /// \brief Time until a token is available; zero if one is.
  core::Duration UntilNext(core::Instant now) const;

  /// \brief Time until `count` tokens are available.
  core::Duration Until(core::Instant now, double count) const;

 private:
  double TokensAt(core::Instant now) const;

  double m_rate_per_second;
  double m_burst;
  double m_tokens;
  core::Instant m_updated{};
};

}  // namespace cornelrelay::store
