#include "cornelrelay/dispatch/stall_detector.h"

#include <catch2/catch.hpp>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart = core::Instant{} + std::chrono::hours(1);

core::Instant At(int ms) { return kStart + milliseconds(ms); }

ServiceActivity ActivityWithOutputAt(int ms) { return {milliseconds(50), At(ms)}; }

}  // namespace

// Load pattern: one rank hangs while its service goes on.
TEST_CASE("a silent stream counts as stalled while other requests of its service give output") {
  StallDetector detector(true);
  detector.StartAttempt(kStart);
  detector.RecordOutput(At(100));
  CHECK_FALSE(detector.DetectStall(At(799), ActivityWithOutputAt(790)));
  CHECK(detector.NextCheck(ActivityWithOutputAt(790)) == At(800));
  CHECK(detector.DetectStall(At(800), ActivityWithOutputAt(790)));
}

// Load pattern: the whole group hangs, for example while a member is partitioned. Guards against
// retries on other upstreams of the group, which would not answer either.
TEST_CASE("a stream does not count as stalled while its whole service is silent") {
  StallDetector detector(true);
  detector.StartAttempt(kStart);
  CHECK_FALSE(detector.DetectStall(At(2'000), ActivityWithOutputAt(100)));
  CHECK(detector.NextCheck(ActivityWithOutputAt(100)) == At(2'100));
  CHECK_FALSE(detector.DetectStall(At(2'100), std::nullopt));
  CHECK(detector.DetectStall(At(2'200), ActivityWithOutputAt(2'150)));
}

TEST_CASE("a whole response may take four times the mean service time, at least 120 ms") {
  StallDetector detector(false);
  detector.StartAttempt(kStart);
  CHECK(detector.NextCheck(ActivityWithOutputAt(0)) == At(200));
  CHECK(detector.NextCheck(std::nullopt) == At(120));
  CHECK_FALSE(detector.DetectStall(At(199), ActivityWithOutputAt(0)));
  CHECK(detector.DetectStall(At(200), ActivityWithOutputAt(0)));
}

TEST_CASE("there is no stall without an attempt in flight") {
  StallDetector detector(true);
  CHECK(detector.NextCheck(std::nullopt) == core::Instant::max());
  CHECK_FALSE(detector.silent());
  detector.StartAttempt(kStart);
  CHECK(detector.silent());
  CHECK_FALSE(detector.first_output());
  detector.RecordOutput(At(10));
  detector.EndAttempt();
  CHECK_FALSE(detector.silent());
  CHECK(detector.first_output() == At(10));
  CHECK_FALSE(detector.DetectStall(At(9'000), ActivityWithOutputAt(8'990)));
}

}  // namespace cornelrelay::dispatch
