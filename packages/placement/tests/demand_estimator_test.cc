#include "cornelrelay/placement/demand_estimator.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

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

// Load pattern: a shift of the demand in the middle of a window. A map that fits the mixture of
// both demands would have to be replaced at once.
TEST_CASE("a window that saw only a part of a shift gives the demand after it") {
  constexpr std::size_t kExperts = 64;
  const auto demand = [&](std::size_t first) {
    std::vector<double> counts(kExperts, 100);
    for (std::size_t i = 0; i < 8; ++i) counts[(first + i * 5) % kExperts] = 4'000 / (1.0 + i);
    return counts;
  };
  const auto before = demand(0), after = demand(2);
  for (const double part : {0.3, 0.5, 0.7}) {
    DemandEstimator estimator(kExperts, {});
    for (int i = 0; i < 5; ++i) estimator.AddCounts(before);
    std::vector<double> window(kExperts);
    for (std::size_t i = 0; i < kExperts; ++i) {
      window[i] = part * before[i] + (1 - part) * after[i];
    }
    estimator.AddCounts(window);
    CHECK(estimator.shifted());
    const double total = std::accumulate(after.begin(), after.end(), 0.0);
    for (std::size_t i = 0; i < kExperts; ++i) {
      CHECK(estimator.loads()[i] == Approx(after[i] / total).margin(0.01));
    }
  }
}

// Load pattern: a shift of two thirds of the demand between two windows. Guards against an estimate
// that alternates between what came into demand and what remained of the demand before.
TEST_CASE("a shift of two thirds of the demand is estimated right in its second window") {
  constexpr std::size_t kExperts = 64;
  std::vector<double> before(kExperts, 100), after(kExperts, 100);
  for (std::size_t i = 0; i < 8; ++i) {
    const double choices = 4'000 / (1.0 + static_cast<double>(i));
    before[i * 5] += choices;
    after[i * 5] += choices / 3;
    after[i * 5 + 2] += choices * 2 / 3;
  }
  DemandEstimator estimator(kExperts, {});
  for (int i = 0; i < 5; ++i) estimator.AddCounts(before);
  estimator.AddCounts(after);
  const double total = std::accumulate(after.begin(), after.end(), 0.0);
  for (int window = 0; window < 3; ++window) {
    estimator.AddCounts(after);
    for (std::size_t i = 0; i < kExperts; ++i) {
      CHECK(estimator.loads()[i] == Approx(after[i] / total).margin(0.005));
    }
  }
}

// Guards against a demand that is extrapolated although it did not shift within the window.
TEST_CASE("experts that lose different parts of their choices do not show when a shift began") {
  constexpr std::size_t kExperts = 64;
  std::vector<double> counts(kExperts, 100);
  for (std::size_t i = 0; i < 8; ++i) counts[i * 5] = 3'000;
  DemandEstimator estimator(kExperts, {});
  for (int i = 0; i < 5; ++i) estimator.AddCounts(counts);
  for (std::size_t i = 0; i < 8; ++i) counts[i * 5] = 300.0 * static_cast<double>(i + 1);
  counts[1] = 12'000;
  estimator.AddCounts(counts);
  CHECK(estimator.shifted());
  const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
  for (std::size_t i = 0; i < kExperts; ++i) {
    CHECK(estimator.loads()[i] == Approx(counts[i] / total));
  }
}

// Load pattern: steady drift. Guards against copies that follow the noise of the last window.
TEST_CASE("the noise of single windows averages out, and a steady drift is followed") {
  DemandEstimator estimator(4, {});
  for (int i = 0; i < 20; ++i) {
    const double noise = i % 2 == 0 ? 40 : -40;
    estimator.AddCounts({400 + noise, 400 - noise, 400, 400});
  }
  CHECK(estimator.loads()[0] == Approx(0.25).margin(0.006));
  for (int i = 1; i <= 40; ++i) estimator.AddCounts({400.0 + 5 * i, 400.0 - 5 * i, 400, 400});
  CHECK(estimator.loads()[0] == Approx(0.375).margin(0.02));
}

TEST_CASE("windows with few counts are merged with the next one") {
  DemandEstimator estimator(2, {});
  estimator.AddCounts({100, 100});
  CHECK(estimator.loads()[0] == 0);
  estimator.AddCounts({200, 100});
  CHECK(estimator.loads()[0] == Approx(0.6));
}

}  // namespace cornelrelay::placement
