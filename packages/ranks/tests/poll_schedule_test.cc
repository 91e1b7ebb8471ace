#include "cornelrelay/ranks/poll_schedule.h"

#include <catch2/catch.hpp>
#include <map>

namespace cornelrelay::ranks {

// Guards against polls of all 72 ranks at once, which would fill a slow link, and against members
// that are polled less often than others.
TEST_CASE("each member of a large group is polled equally often, a few in a round") {
  PollSchedule schedule;
  for (std::uint16_t port = 0; port < 72; ++port) schedule.Add({"10.0.0.1", port});
  std::map<core::Endpoint, int> polls;
  for (int round = 0; round < 72; ++round) {
    const auto batch = schedule.NextBatch(11);
    CHECK(batch.size() == 11);
    for (const core::Endpoint& member : batch) ++polls[member];
  }
  for (const auto& [member, times] : polls) CHECK(times == 11);
  CHECK(polls.size() == 72);
}

TEST_CASE("each round polls all members of a small group, also those that have just joined") {
  PollSchedule schedule;
  CHECK(schedule.NextBatch(4).empty());
  schedule.Add({"10.0.0.1", 1});
  CHECK(schedule.NextBatch(4).size() == 1);
  schedule.Add({"10.0.0.1", 2});
  CHECK(schedule.NextBatch(4).size() == 2);
}

}  // namespace cornelrelay::ranks
