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

TEST_CASE("small windows wait for more picks") {
  DemandEstimate estimate(2, {});
  estimate.Add({100, 100});
  CHECK(estimate.loads()[0] == 0);
  estimate.Add({200, 100});
  CHECK(estimate.loads()[0] == Approx(0.6));
}

}  // namespace cornelrelay::placement
