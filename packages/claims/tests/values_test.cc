#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "cornelrelay/claims/claim_segment.h"
#include "cornelrelay/claims/corrupt_segment.h"
#include "cornelrelay/claims/idempotency_key.h"
#include "cornelrelay/claims/invalid_idempotency_key.h"
#include "cornelrelay/claims/key_expired.h"
#include "cornelrelay/claims/key_from_future.h"

namespace cornelrelay::claims {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kText = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

// Guards against keys of other versions or variants, whose bits are no time, being accepted.
TEST_CASE("only version 7 UUIDs are idempotency keys") {
  const IdempotencyKey key = IdempotencyKey::Parse(kText);
  // The example value of RFC 9562: 2022-02-22 19:22:22 UTC.
  CHECK(key.time() == core::Instant(milliseconds(0x017f22e279b0)));
  CHECK(IdempotencyKey::Parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") == key);
  for (const std::string text :
       {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f ",
        "017f22e2x79b0-7cc3-98c4-dc0c0c07398f", "g17f22e2-79b0-7cc3-98c4-dc0c0c07398f",
        "{17f22e2-79b0-7cc3-98c4-dc0c0c07398}"}) {
    CHECK_THROWS_AS(IdempotencyKey::Parse(text), InvalidIdempotencyKey);
  }
}

// Guards against keys outside the window in which their claims are certain to be known.
TEST_CASE("keys are accepted from the retention up to the skew") {
  const IdempotencyKey key = IdempotencyKey::Parse(kText);
  const Retention retention;
  key.CheckAge(key.time() + hours(24), retention);
  key.CheckAge(key.time() - seconds(60), retention);
  CHECK_THROWS_AS(key.CheckAge(key.time() + hours(24) + milliseconds(1), retention), KeyExpired);
  CHECK_THROWS_AS(key.CheckAge(key.time() - seconds(60) - milliseconds(1), retention),
                  KeyFromFuture);
}

ClaimSegment FullSegment(std::uint64_t seed) {
  ClaimSegment::Claims claims;
  for (std::uint64_t i = 0; i < kMaxSegmentClaims; ++i) {
    Claim claim{KeyDigest(seed, i),
                BodyDigest(i, seed),
                ClaimCallId(seed, seed + i),
                ClaimState::kCompleted,
                core::Instant(hours(i)),
                core::Instant(hours(i + 1)),
                std::string(kMaxRecordedAnswer, 'x')};
    claims.emplace(claim.key, claim);
  }
  SegmentHeader header;
  header.owner = core::HostId(std::string(255, 'h'));
  header.write = WriteId(seed, 1);
  header.number = 9;
  header.first = 4;
  header.erased = 2;
  header.floor = core::Instant(hours(3));
  header.sealed = true;
  return ClaimSegment(header, claims);
}

// Guards against a full segment that exceeds its bound, and against a field that is not stored.
TEST_CASE("a segment survives encoding within its size bound") {
  CHECK(rc::check([](std::uint64_t seed) {
    const ClaimSegment segment = FullSegment(seed);
    const std::string bytes = segment.Encode();
    RC_ASSERT(bytes.size() <= kMaxSegmentBytes);
    RC_ASSERT(ClaimSegment::Decode(bytes) == segment);
  }));
}

// Guards against a damaged or truncated store value being taken for claims.
TEST_CASE("a damaged segment is rejected") {
  const std::string bytes = FullSegment(1).Encode();
  CHECK(rc::check([&](std::size_t at, unsigned char bit) {
    std::string damaged = bytes;
    damaged[at % bytes.size()] ^= static_cast<char>(1 << (bit % 8));
    RC_ASSERT_THROWS_AS(ClaimSegment::Decode(damaged), CorruptSegment);
    RC_ASSERT_THROWS_AS(ClaimSegment::Decode(bytes.substr(0, at % bytes.size())), CorruptSegment);
  }));
}

}  // namespace
}  // namespace cornelrelay::claims
