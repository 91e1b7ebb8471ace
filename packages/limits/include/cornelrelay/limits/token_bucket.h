#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::limits {

/// \brief Token bucket that takes the time from its caller.
///
/// \code
/// bucket.Refill(now, rate_per_second, burst);
/// if (bucket.Take()) ...
/// \endcode
class TokenBucket {
 public:
  /// \param since time at which the bucket was empty and began to fill, so that its first use after
  /// a start does not allow a full burst
  explicit TokenBucket(core::Instant since) : m_last_refill(since) {}

  /// \brief Adds the tokens earned since the last call, at `rate` per second and up to `burst`.
  void Refill(core::Instant now, double rate, double burst);

  /// \brief Takes one token. Returns false if there is none.
  bool Take();

  double tokens() const { return m_tokens; }

 private:
  core::Instant m_last_refill;
  double m_tokens = 0;
};

}  // namespace cornelrelay::limits
