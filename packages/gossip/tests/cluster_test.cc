#include <catch2/catch.hpp>
#include <chrono>

#include "sim_network.h"

namespace cornelrelay::gossip::testing {
namespace {

using namespace std::chrono_literals;

int LivePairs(const SimNetwork& net) {
  int count = 0;
  for (int a = 0; a < net.size(); ++a) {
    for (int b = 0; b < net.size(); ++b) {
      if (net.Running(a) && net.IsEntry(a) && a != b && net.LifeSeen(a, b) == Life::kAlive) ++count;
    }
  }
  return count;
}

int UsableAnywhere(const SimNetwork& net, int agent) {
  int count = 0;
  for (int host = 0; host < net.size(); ++host) {
    if (net.IsEntry(host) && net.UsableAt(host, agent)) ++count;
  }
  return count;
}

/// \brief Seconds until no entry process would use the upstream, or -1 if that takes over 3 s.
double TimeToExclude(int entries, int agents, int centres, Faults faults, std::uint64_t seed) {
  SimNetwork net({.seed = seed,
                  .entries = entries,
                  .agents = agents,
                  .data_centres = centres,
                  .faults = faults});
  net.Run(60s);
  const int leaving = entries;
  REQUIRE(UsableAnywhere(net, leaving) == entries);
  net.loss = 0.1;
  net.Send(leaving, AnnounceLeaving{net.Upstream(leaving)});
  for (int step = 1; step <= 30; ++step) {
    net.Run(100ms);
    if (step == 10) net.SendFullHostList();
    if (UsableAnywhere(net, leaving) > 0) continue;
    // A late host list, and the old status that still circulates, must not bring it back.
    net.SendFullHostList();
    net.Run(30s);
    CHECK(UsableAnywhere(net, leaving) == 0);
    return step * 0.1;
  }
  return -1;
}

// Guards against work being sent to a leaving upstream after the 3 s goal, under 10% message loss.
TEST_CASE("a leaving upstream is excluded everywhere within 3 s") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CHECK(TimeToExclude(9, 16, 3, {}, seed) > 0);
    CHECK(TimeToExclude(64, 8, 4, {}, seed) > 0);
  }
}

// Shows that the check above detects notices that get lost.
TEST_CASE("the leaving check detects dropped notices") {
  CHECK(TimeToExclude(9, 16, 3, {.drop_leaving_notices = true}, 1) < 0);
}

// Guards against a process that was paused taking its own silence for the failure of all others,
// and against others removing it for good.
TEST_CASE("a paused process removes nobody and is back after it resumes") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const core::Duration pause :
         {core::Duration(4s), core::Duration(40s), core::Duration(120s)}) {
      SimNetwork net({.seed = seed, .entries = 9, .agents = 4, .data_centres = 3});
      net.Run(30s);
      net.Pause(4);
      net.Run(pause);
      net.Resume(4);
      net.Run(10s);
      CHECK(net.deaths().empty());
      net.Run(20s);
      CHECK(LivePairs(net) == 9 * 12);
      CHECK(net.deaths().empty());
    }
  }
}

// Guards against a single lost process being kept for ever by the mass-loss rule.
TEST_CASE("a crashed process is removed, and returns with a new incarnation") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimNetwork net({.seed = seed, .entries = 9, .agents = 4, .data_centres = 3});
    net.loss = 0.1;
    net.Run(30s);
    net.Crash(4);
    net.Run(60s);
    for (int host = 0; host < 9; ++host) {
      if (host != 4) CHECK(net.LifeSeen(host, 4) == Life::kDead);
    }
    CHECK(net.deaths().empty());
    net.SendFullHostList();
    net.Run(1s);
    CHECK(net.LifeSeen(0, 4) == Life::kDead);
    net.Start(4);
    net.loss = 0;
    net.Run(30s);
    CHECK(LivePairs(net) == 9 * 12);
  }
}

int LostAfterMassLoss(Faults faults) {
  SimNetwork net({.entries = 9, .agents = 9, .data_centres = 3, .faults = faults});
  net.Run(30s);
  std::vector<int> sides(18, 0);
  for (int host = 0; host < 18; ++host) sides[host] = host % 3 == 0 ? 0 : 1;
  net.Partition(sides);
  net.Run(180s);
  int lost = 0;
  for (int host = 0; host < 9; ++host) {
    for (int other = 0; other < 9; ++other) {
      if (net.LifeSeen(host, other) == Life::kDead) ++lost;
    }
    for (int agent = 9; agent < 18; ++agent) {
      if (!net.UsableAt(host, agent)) ++lost;
    }
  }
  net.Partition(std::vector<int>(18, 0));
  net.Run(40s);
  CHECK(LivePairs(net) == 9 * 17);
  return lost;
}

// Guards against a partition emptying the pool and moving the shares of limits (design 6.5).
TEST_CASE("members lost together are kept, and alive again after the partition") {
  CHECK(LostAfterMassLoss({}) == 0);
}

// Shows that the check above detects a missing mass-loss rule.
TEST_CASE("the mass-loss check detects a missing rule") {
  CHECK(LostAfterMassLoss({.no_mass_loss_rule = true}) > 0);
}

// Guards against a process cut off alone removing members, although each loss is a small share.
TEST_CASE("an isolated process of 64 keeps its members") {
  SimNetwork net({.entries = 64, .agents = 0, .data_centres = 4});
  net.Run(30s);
  std::vector<int> sides(64, 0);
  sides[5] = 1;
  net.Partition(sides);
  net.Run(120s);
  for (int host = 0; host < 64; ++host) CHECK(net.LifeSeen(5, host) != Life::kDead);
  net.Partition(std::vector<int>(64, 0));
  net.Run(60s);
  CHECK(LivePairs(net) == 64 * 63);
}

// Guards against a graceful leave being treated as a failure, and undone by the host list.
TEST_CASE("a host that leaves gracefully is left at once with its upstreams") {
  SimNetwork net({.entries = 6, .agents = 3, .data_centres = 3});
  net.Run(40s);
  net.Send(7, Leave{});
  net.Run(3s);
  net.Crash(7);
  net.SendFullHostList();
  net.Run(20s);
  for (int host = 0; host < 6; ++host) {
    CHECK(net.LifeSeen(host, 7) == Life::kLeft);
    CHECK_FALSE(net.UsableAt(host, 7));
    CHECK(net.UsableAt(host, 8));
  }
}

}  // namespace
}  // namespace cornelrelay::gossip::testing
