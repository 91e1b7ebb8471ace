#include "cornelrelay/placement/demand_estimate.h"

#include <catch2/catch.hpp>

namespace cornelrelay::placement {

// Load pattern: other experts are in demand during the rush.
TEST_CASE("a shift of the demand counts in full from its first window on") {
  DemandEstimate estimate(4, {});
  for (int i = 0; i < 5; ++i) estimate.Add({700, 100, 100, 100});
  CHECK_FALSE(estimate.shifted());
  estimate.Add({100, 700, 100, 100});
  CHECK(estimate.shifted());
  CHECK(estimate.loads()[1] == Approx(0.7));
}

// Load pattern: a part of the experts in demand is replaced by others every few seconds.
TEST_CASE("a shift of a tenth of the demand counts in full, noise of large windows does not") {
  DemandEstimate estimate(4, {});
  for (int i = 0; i < 30; ++i) {
    estimate.Add({70'000, 10'000 + (i % 2) * 3'000.0, 10'000, 10'000});
    CHECK_FALSE(estimate.shifted());
  }
  estimate.Add({60'000, 20'000, 10'000, 10'000});
  CHECK(estimate.shifted());
  CHECK(estimate.loads()[1] == Approx(0.2));
}

TEST_CASE("small windows wait for more picks") {
  DemandEstimate estimate(2, {});
  estimate.Add({100, 100});
  CHECK(estimate.loads()[0] == 0);
  estimate.Add({200, 100});
  CHECK(estimate.loads()[0] == Approx(0.6));
}

}  // namespace cornelrelay::placement
