#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "cornelrelay/claims/retention.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Value of the `Idempotency-Key` header: a UUID of version 7, whose first 48 bits are Unix
/// milliseconds.
///
/// \code
/// const IdempotencyKey key = IdempotencyKey::Parse(header);  // throws InvalidIdempotencyKey
/// key.CheckAge(now, retention);                              // throws KeyExpired or KeyFromFuture
/// \endcode
class IdempotencyKey {
 public:
  /// \brief Accepts the 36-character form in either case; throws InvalidIdempotencyKey otherwise.
  static IdempotencyKey Parse(std::string_view text);

  /// \brief The canonical lower-case form, so that both cases give the same claim.
  const std::string& text() const { return m_text; }

  /// \brief Time in the key; `Instant` counts from the Unix epoch in this package.
  core::Instant time() const { return m_time; }

  /// \brief Throws KeyExpired or KeyFromFuture.
  void CheckAge(core::Instant now, const Retention& retention) const;

  friend auto operator<=>(const IdempotencyKey&, const IdempotencyKey&) = default;
  friend bool operator==(const IdempotencyKey&, const IdempotencyKey&) = default;

 private:
  IdempotencyKey(std::string text, core::Instant time);

  std::string m_text;
  core::Instant m_time;
};

}  // namespace cornelrelay::claims
