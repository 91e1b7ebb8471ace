#include "cornelrelay/claims/idempotency_key.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "cornelrelay/claims/invalid_idempotency_key.h"
#include "cornelrelay/claims/key_expired.h"
#include "cornelrelay/claims/key_from_future.h"

namespace cornelrelay::claims {
namespace {

constexpr std::size_t kTextSize = 36;
constexpr std::size_t kVersionAt = 14;
constexpr std::size_t kVariantAt = 19;
// Bounds what an invalid header can add to a log line.
constexpr std::size_t kShownSize = 40;

bool IsDashAt(std::size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

char Lower(char c) { return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

InvalidIdempotencyKey::InvalidIdempotencyKey(const std::string& text)
    : Error("invalid_idempotency_key",
            "expected a UUID of version 7, got \"" + text.substr(0, kShownSize) + "\"") {}

KeyExpired::KeyExpired(const std::string& text)
    : Error("key_expired", "idempotency key " + text + " is older than the retention") {}

KeyFromFuture::KeyFromFuture(const std::string& text)
    : Error("key_from_future",
            "the time in idempotency key " + text + " is ahead of this host's clock") {}

IdempotencyKey::IdempotencyKey(std::string text, core::Instant time)
    : m_text(std::move(text)), m_time(time) {}

IdempotencyKey IdempotencyKey::Parse(std::string_view text) {
  const std::string given(text);
  if (text.size() != kTextSize) throw InvalidIdempotencyKey(given);
  std::string canonical;
  canonical.reserve(kTextSize);
  std::int64_t millis = 0;
  int time_digits = 0;
  for (std::size_t i = 0; i < kTextSize; ++i) {
    const char c = Lower(text[i]);
    canonical += c;
    if (IsDashAt(i)) {
      if (c != '-') throw InvalidIdempotencyKey(given);
      continue;
    }
    const int value = HexValue(c);
    if (value < 0) throw InvalidIdempotencyKey(given);
    if (time_digits < 12) {
      millis = millis * 16 + value;
      ++time_digits;
    }
  }
  const char variant = canonical[kVariantAt];
  const bool rfc_variant = variant == '8' || variant == '9' || variant == 'a' || variant == 'b';
  if (canonical[kVersionAt] != '7' || !rfc_variant) throw InvalidIdempotencyKey(given);
  return IdempotencyKey(std::move(canonical), core::Instant(std::chrono::milliseconds(millis)));
}

void IdempotencyKey::CheckAge(core::Instant now, const Retention& retention) const {
  if (m_time > now + retention.skew) throw KeyFromFuture(m_text);
  if (m_time < now - retention.age) throw KeyExpired(m_text);
}

}  // namespace cornelrelay::claims
