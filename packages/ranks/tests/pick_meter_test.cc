#include "cornelrelay/ranks/pick_meter.h"

#include <catch2/catch.hpp>

namespace cornelrelay::ranks {
namespace {

using Counts = std::vector<std::uint16_t>;

}  // namespace

TEST_CASE("counts begin anew with the leader and with the engine") {
  PickMeter meter;
  CHECK(meter.Since(5, 1, {65'500, 0}).empty());
  CHECK(meter.Since(5, 1, {66'000, 500}) == Counts{500, 500});
  CHECK(meter.Since(5, 2, {9'000, 0}).empty());  // where the engine began, not a demand
  CHECK(meter.Since(5, 2, {9'001, 7}) == Counts{1, 7});
  CHECK(meter.Since(6, 2, {9'500, 7}).empty());
  CHECK(meter.Since(6, 2, {9'500, 8}) == Counts{0, 1});
}

TEST_CASE("a failed call of the engine neither counts nor begins anew") {
  PickMeter meter;
  meter.Since(5, 1, {10, 20});
  CHECK(meter.Since(5, 1, {}).empty());
  CHECK(meter.Since(5, 1, {15, 20}) == Counts{5, 0});
}

TEST_CASE("a count beyond the range of its field stays at the largest value") {
  PickMeter meter;
  meter.Since(5, 1, {0});
  CHECK(meter.Since(5, 1, {70'000}) == Counts{65'535});
}

}  // namespace cornelrelay::ranks
