#include "cornelrelay/dispatch/stall_detector.h"

#include <catch2/catch.hpp>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart = core::Instant{} + std::chrono::hours(1);

core::Instant At(int ms) { return kStart + milliseconds(ms); }

ServiceActivity ActivityWithOutputAt(int ms) { return {milliseconds(50), At(ms), {}}; }

const ExpectedResponse kStream{true, milliseconds(400), milliseconds(120), milliseconds(2'000)};
const ExpectedResponse kWhole{};

}  // namespace

// Load pattern: one rank hangs while its service goes on.
TEST_CASE("a silent stream counts as stalled while other requests of its service give output") {
  StallDetector detector(kStream);
  detector.StartAttempt(kStart);
  detector.RecordOutput(At(100));
  CHECK_FALSE(detector.DetectStall(At(799), ActivityWithOutputAt(790)));
  CHECK(detector.NextCheck(ActivityWithOutputAt(790)) == At(800));
  CHECK(detector.DetectStall(At(800), ActivityWithOutputAt(790)));
}

// Load pattern: the whole group hangs, for example while a member is partitioned. Guards against
// retries on other upstreams of the group, which would not answer either.
TEST_CASE("a stream does not count as stalled while its whole service is silent") {
  StallDetector detector(kStream);
  detector.StartAttempt(kStart);
  CHECK_FALSE(detector.DetectStall(At(2'000), ActivityWithOutputAt(100)));
  CHECK(detector.NextCheck(ActivityWithOutputAt(100)) == At(2'100));
  CHECK_FALSE(detector.DetectStall(At(2'100), std::nullopt));
  CHECK(detector.DetectStall(At(2'200), ActivityWithOutputAt(2'150)));
}

TEST_CASE("a whole response may take four times the mean service time, at least 120 ms") {
  StallDetector detector(kWhole);
  detector.StartAttempt(kStart);
  CHECK(detector.NextCheck(ActivityWithOutputAt(0)) == At(200));
  CHECK(detector.NextCheck(std::nullopt) == At(120));
  CHECK_FALSE(detector.DetectStall(At(199), ActivityWithOutputAt(0)));
  CHECK(detector.DetectStall(At(200), ActivityWithOutputAt(0)));
}

// Load pattern: an engine preempts a request while its others go on. Guards against giving up a
// stream that its upstream would have gone on with (review/5).
TEST_CASE(
    "a silent stream of an upstream that is alive counts as stalled just before callers leave") {
  StallDetector detector(kStream);
  detector.StartAttempt(kStart);
  detector.RecordOutput(At(100));
  const auto alive = [](int ms) { return ServiceActivity{milliseconds(50), At(ms), At(ms)}; };
  CHECK(detector.UpstreamAlive(At(101), alive(101)));
  CHECK_FALSE(detector.UpstreamAlive(At(101), alive(100)));
  CHECK_FALSE(detector.DetectStall(At(900), alive(890)));
  CHECK(detector.NextCheck(alive(890)) == At(1'000));
  CHECK_FALSE(detector.DetectStall(At(1'599), alive(1'590)));
  CHECK(detector.DetectStall(At(1'700), alive(1'690)));
}

// Load pattern: an engine freezes. Its last outputs were not all given at the same moment.
TEST_CASE("an upstream that was alive a while ago does not count as alive") {
  StallDetector detector(kStream);
  detector.StartAttempt(kStart);
  detector.RecordOutput(At(100));
  const ServiceActivity frozen{milliseconds(50), At(790), At(180)};
  CHECK(detector.UpstreamAlive(At(379), frozen));
  CHECK_FALSE(detector.UpstreamAlive(At(380), frozen));
  CHECK(detector.DetectStall(At(800), frozen));
}

// Guards against limits that do not fit the route: long targets mean long pauses.
TEST_CASE("the limits of a stream follow from the targets of its route") {
  StallDetector detector({true, milliseconds(3'000), milliseconds(500), milliseconds(12'000)});
  detector.StartAttempt(kStart);
  CHECK(detector.NextCheck(ActivityWithOutputAt(0)) == At(3'000));
  CHECK_FALSE(detector.DetectStall(At(2'999), ActivityWithOutputAt(2'990)));
  detector.RecordOutput(At(1'000));
  CHECK(detector.NextCheck(ActivityWithOutputAt(0)) == At(3'000));
  const auto alive = [](int ms) { return ServiceActivity{milliseconds(50), At(ms), At(ms - 400)}; };
  CHECK_FALSE(detector.DetectStall(At(9'900), alive(9'890)));
  CHECK(detector.DetectStall(At(10'000), alive(9'990)));
}

// Guards against giving up the first requests of a service, whose service time is not known yet.
TEST_CASE("a whole response does not count as stalled before its target latency") {
  StallDetector detector({false, milliseconds(4'000), {}, {}});
  detector.StartAttempt(kStart);
  CHECK(detector.NextCheck(ActivityWithOutputAt(0)) == At(4'000));
  CHECK_FALSE(detector.DetectStall(At(3'999), ActivityWithOutputAt(0)));
  CHECK(detector.DetectStall(At(4'000), ActivityWithOutputAt(0)));
}

TEST_CASE("there is no stall without an attempt in flight") {
  StallDetector detector(kStream);
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
