#include "cornelrelay/ranks/poll_rota.h"

#include <catch2/catch.hpp>
#include <map>

namespace cornelrelay::ranks {

// Load pattern: the counts of a group of many ranks on a slow link.
TEST_CASE("each member of a large group is asked equally often, a few in a round") {
  PollRota rota;
  for (std::uint16_t port = 0; port < 72; ++port) rota.Add({"10.0.0.1", port});
  std::map<core::Endpoint, int> asked;
  for (int round = 0; round < 72; ++round) {
    const auto turn = rota.Next(11);
    CHECK(turn.size() == 11);
    for (const core::Endpoint& member : turn) ++asked[member];
  }
  for (const auto& [member, times] : asked) CHECK(times == 11);
  CHECK(asked.size() == 72);
}

// Load pattern: the demand of a large group shifts, while some of its hosts are cut off.
TEST_CASE("a sample takes its part of the members of each data centre") {
  PollRota rota;
  for (const char* address : {"10.2.0.1", "10.1.0.1", "10.3.0.1"}) {
    for (std::uint16_t port = 0; port < 24; ++port) rota.Add({address, port});
  }
  const auto sample = rota.Sample(23);
  CHECK(sample.size() == 23);
  std::map<std::string, int> parts;
  for (const core::Endpoint& member : sample) ++parts[member.address];
  for (const auto& [address, part] : parts) CHECK(part >= 7);
  CHECK(parts.size() == 3);
  CHECK(rota.Sample(23) == sample);
  CHECK(rota.Sample(100).size() == 72);
}

TEST_CASE("a small group is asked whole in each round, and members may join") {
  PollRota rota;
  CHECK(rota.Next(4).empty());
  rota.Add({"10.0.0.1", 1});
  CHECK(rota.Next(4).size() == 1);
  rota.Add({"10.0.0.1", 2});
  CHECK(rota.Next(4).size() == 2);
}

}  // namespace cornelrelay::ranks
