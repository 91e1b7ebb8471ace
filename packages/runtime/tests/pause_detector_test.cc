#include "cornelrelay/runtime/pause_detector.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <thread>

namespace cornelrelay::runtime {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFreeze = PauseDetector::kPause + milliseconds(50);

}  // namespace

// Guards against data that is taken for new although it arrived while the process did not run.
TEST_CASE("a pause is detected before and after the handlers that follow it") {
  boost::asio::io_context context(1);
  const ProcessClock clock;
  PauseDetector detector(context, clock);
  std::optional<PauseDetector::Watch> watch(detector);
  const core::Instant before = clock.Now();
  CHECK(detector.RanSince(before));
  std::this_thread::sleep_for(kFreeze);
  CHECK_FALSE(detector.RanSince(before));
  context.run_for(milliseconds(20));
  CHECK_FALSE(detector.RanSince(before));
  CHECK(detector.RanSince(clock.Now()));
  watch.reset();
}

TEST_CASE("a process that runs has no pause, and without a watch it has no timer") {
  boost::asio::io_context context(1);
  const ProcessClock clock;
  PauseDetector detector(context, clock);
  const core::Instant before = clock.Now();
  {
    const PauseDetector::Watch watch(detector);
    const PauseDetector::Watch second(detector);
    context.run_for(2 * PauseDetector::kPause);
    CHECK(detector.RanSince(before));
  }
  context.restart();
  context.run();  // returns, as nothing is left to wait for
  std::this_thread::sleep_for(kFreeze);
  const PauseDetector::Watch watch(detector);
  CHECK(detector.RanSince(clock.Now()));
}

}  // namespace cornelrelay::runtime
