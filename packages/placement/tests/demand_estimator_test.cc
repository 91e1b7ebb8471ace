#include "cornelrelay/placement/demand_estimator.h"

#include <catch2/catch.hpp>

namespace cornelrelay::placement {

// Guards against an estimate that lags behind when other experts come into demand during a rush.
TEST_CASE("the estimate follows a shift of the demand in its first window") {
  DemandEstimator estimator(4, {});
  for (int i = 0; i < 5; ++i) estimator.AddCounts({700, 100, 100, 100});
  CHECK_FALSE(estimator.shifted());
  estimator.AddCounts({100, 700, 100, 100});
  CHECK(estimator.shifted());
  CHECK(estimator.loads()[1] == Approx(0.7));
}

// Guards against missing small shifts: every few seconds, other experts replace a part of those in
// demand.
TEST_CASE("a shift of a tenth of the demand is detected, noise of large windows is not a shift") {
  DemandEstimator estimator(4, {});
  for (int i = 0; i < 30; ++i) {
    estimator.AddCounts({70'000, 10'000 + (i % 2) * 3'000.0, 10'000, 10'000});
    CHECK_FALSE(estimator.shifted());
  }
  estimator.AddCounts({60'000, 20'000, 10'000, 10'000});
  CHECK(estimator.shifted());
  CHECK(estimator.loads()[1] == Approx(0.2));
}

TEST_CASE("windows with few counts are merged with the next one") {
  DemandEstimator estimator(2, {});
  estimator.AddCounts({100, 100});
  CHECK(estimator.loads()[0] == 0);
  estimator.AddCounts({200, 100});
  CHECK(estimator.loads()[0] == Approx(0.6));
}

}  // namespace cornelrelay::placement
