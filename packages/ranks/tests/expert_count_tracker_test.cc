#include "cornelrelay/ranks/expert_count_tracker.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

using Increments = std::vector<std::uint32_t>;

}  // namespace

TEST_CASE("increments start again with a new leader and with a restarted engine") {
  ExpertCountTracker tracker;
  CHECK(tracker.TakeIncrements(5, 1, {65'500, 0}).empty());
  CHECK(tracker.TakeIncrements(5, 1, {66'000, 500}) == Increments{500, 500});
  CHECK(tracker.TakeIncrements(5, 2, {9'000, 0}).empty());  // baseline of the new incarnation
  CHECK(tracker.TakeIncrements(5, 2, {9'001, 7}) == Increments{1, 7});
  CHECK(tracker.TakeIncrements(6, 2, {9'500, 7}).empty());
  CHECK(tracker.TakeIncrements(6, 2, {9'500, 8}) == Increments{0, 1});
}

TEST_CASE("a failed call to the engine keeps the baseline") {
  ExpertCountTracker tracker;
  tracker.TakeIncrements(5, 1, {10, 20});
  CHECK(tracker.TakeIncrements(5, 1, {}).empty());
  CHECK(tracker.TakeIncrements(5, 1, {15, 20}) == Increments{5, 0});
}

TEST_CASE("an increment beyond the range of its field is capped at the largest value") {
  ExpertCountTracker tracker;
  tracker.TakeIncrements(5, 1, {0});
  CHECK(tracker.TakeIncrements(5, 1, {5'000'000'000}) == Increments{4'294'967'295});
}

}  // namespace cornelrelay::ranks
