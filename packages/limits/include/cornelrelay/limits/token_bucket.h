#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::limits {

/// \brief Token bucket over logical time.
///
/// \code
/// bucket.Refill(now, rate_per_second, burst);
/// if (bucket.Take()) ...
/// \endcode
class TokenBucket {
 public:
  /// \param since the bucket counts as filling since then, so the first use after a start is not a
  /// full burst
  explicit TokenBucket(core::Instant since) : m_at(since) {}

  /// \brief Adds the tokens of the time since the last call, up to `burst`.
  void Refill(core::Instant now, double rate, double burst);

  bool Take();

  double tokens() const { return m_tokens; }

 private:
  core::Instant m_at;
  double m_tokens = 0;
};

}  // namespace cornelrelay::limits
