#include "cornelrelay/dispatch/silence_watch.h"

#include <catch2/catch.hpp>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

const core::Instant kStart = core::Instant{} + std::chrono::hours(1);

core::Instant At(int ms) { return kStart + milliseconds(ms); }

ServicePace PaceWithOutputAt(int ms) { return {milliseconds(50), At(ms)}; }

}  // namespace

// Load pattern: one rank stands still while its service goes on.
TEST_CASE("a silent stream is given up while others go on") {
  SilenceWatch watch(true);
  watch.Sent(kStart);
  watch.Output(At(100));
  CHECK_FALSE(watch.GivesUp(At(799), PaceWithOutputAt(790)));
  CHECK(watch.NextCheck(PaceWithOutputAt(790)) == At(800));
  CHECK(watch.GivesUp(At(800), PaceWithOutputAt(790)));
}

// Load pattern: the whole group stands still, for example while a member is cut off.
TEST_CASE("a stream is kept while its whole service is silent") {
  SilenceWatch watch(true);
  watch.Sent(kStart);
  CHECK_FALSE(watch.GivesUp(At(2'000), PaceWithOutputAt(100)));
  CHECK(watch.NextCheck(PaceWithOutputAt(100)) == At(2'100));
  CHECK_FALSE(watch.GivesUp(At(2'100), std::nullopt));
  CHECK(watch.GivesUp(At(2'200), PaceWithOutputAt(2'150)));
}

TEST_CASE("a whole answer has four times its usual time, and 120 ms at least") {
  SilenceWatch watch(false);
  watch.Sent(kStart);
  CHECK(watch.NextCheck(PaceWithOutputAt(0)) == At(200));
  CHECK(watch.NextCheck(std::nullopt) == At(120));
  CHECK_FALSE(watch.GivesUp(At(199), PaceWithOutputAt(0)));
  CHECK(watch.GivesUp(At(200), PaceWithOutputAt(0)));
}

TEST_CASE("there is nothing to give up without an attempt") {
  SilenceWatch watch(true);
  CHECK(watch.NextCheck(std::nullopt) == core::Instant::max());
  CHECK_FALSE(watch.silent());
  watch.Sent(kStart);
  CHECK(watch.silent());
  CHECK_FALSE(watch.first_output());
  watch.Output(At(10));
  watch.Ended();
  CHECK_FALSE(watch.silent());
  CHECK(watch.first_output() == At(10));
  CHECK_FALSE(watch.GivesUp(At(9'000), PaceWithOutputAt(8'990)));
}

}  // namespace cornelrelay::dispatch
