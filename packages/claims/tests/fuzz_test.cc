#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "cluster.h"
#include "cornelrelay/core/random.h"

namespace cornelrelay::claims::testing {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSteps = 3000;

// Small segments make roll-over, archiving and dropping frequent.
ClusterSettings SettingsOf(core::Random& random, const OwnerFaults& faults) {
  ClusterSettings settings;
  settings.processes = 2 + static_cast<int>(random.Below(3));
  settings.owner.segment_claims = 1 + random.Below(4);
  settings.owner.parallel_reads = 1 + random.Below(3);
  settings.segment_claims_spread = random.Below(3);
  settings.faults = faults;
  return settings;
}

void RunGranted(Cluster& cluster, int process, core::Random& random) {
  constexpr ClaimState kOutcomes[] = {ClaimState::kCompleted, ClaimState::kCompleted,
                                      ClaimState::kUnknown, ClaimState::kReleased};
  for (const auto& request : cluster.Granted(process)) {
    cluster.Run(process, request, kOutcomes[random.Below(4)]);
  }
}

std::set<int> SomeMembers(int processes, core::Random& random) {
  std::set<int> members;
  for (int i = 0; i < processes; ++i) {
    if (random.Below(3) != 0) members.insert(i);
  }
  return members;
}

struct Caller {
  std::string key;
  core::Instant key_time;
};

// All keys fall into two partitions, so that owners conflict often.
Caller NewCaller(std::size_t number, core::Instant now) {
  for (std::size_t name = 1000 * number;; ++name) {
    if (Cluster::PartitionOfKey(std::to_string(name), now) < 2) return {std::to_string(name), now};
  }
}

// One random operation of callers, network, store, processes or clocks.
void FaultyStep(Cluster& cluster, int processes, std::vector<Caller>& callers, bool bad_clocks,
                std::uint64_t calm, core::Random& random) {
  const int process = static_cast<int>(random.Below(static_cast<std::uint64_t>(processes)));
  const auto in_flight = cluster.messages().size();
  const std::size_t message = in_flight == 0 ? 0 : random.Below(in_flight);
  const std::uint64_t dice = random.Below(1000);
  // Calm runs reach deep states: full segments, completed claims and repeats of old keys.
  if (dice >= 700 && dice < 835 && random.Below(calm) != 0) return;
  if (dice < 40) {
    if (callers.empty() || random.Below(3) == 0) {
      callers.push_back(NewCaller(callers.size(), cluster.now()));
    }
    // Mostly recent keys, so that repeats meet claims that are being written.
    const std::size_t back = std::min<std::size_t>(callers.size(), 1 + random.Below(6));
    const Caller& caller = random.Below(8) == 0 ? callers[random.Below(callers.size())]
                                                : callers[callers.size() - back];
    cluster.Request(process, caller.key, random.Below(20) == 0 ? "other" : "body", caller.key_time);
  } else if (dice < 700) {
    if (in_flight != 0 && cluster.CanDeliver(message)) {
      cluster.Deliver(
          message, cluster.messages()[message].to != kStore &&
                       !std::holds_alternative<StoreAnswer>(cluster.messages()[message].payload) &&
                       random.Below(10) == 0);
    }
  } else if (dice < 730) {
    const auto is_datagram = [](const Message& m) {
      return m.to != kStore && !std::holds_alternative<StoreAnswer>(m.payload);
    };
    if (in_flight != 0 && is_datagram(cluster.messages()[message])) cluster.Drop(message);
  } else if (dice < 770) {
    if (in_flight != 0) cluster.LoseAnswer(message, random.Below(4) == 0);
  } else if (dice < 780) {
    cluster.Crash(process);
  } else if (dice < 800) {
    cluster.Pause(process, random.Below(2) == 0);
  } else if (dice < 815) {
    cluster.SetMembers(process, SomeMembers(processes, random));
  } else if (dice < 825) {
    cluster.SetStoreDown(random.Below(3) == 0);
  } else if (dice < 830) {
    cluster.Advance(hours(random.Below(20)));
  } else if (dice < 835) {
    const auto bound = bad_clocks ? milliseconds(hours(40)) : milliseconds(seconds(60));
    cluster.SetClock(process, milliseconds(random.Below(2 * bound.count())) - bound);
  } else if (dice < 920) {
    RunGranted(cluster, process, random);
  } else if (const auto wait = cluster.UntilNextTick(); wait && random.Below(2) == 0) {
    cluster.Advance(std::min<core::Duration>(*wait, milliseconds(100)));
  } else {
    cluster.Advance(milliseconds(random.Below(20)));
  }
}

void Settle(Cluster& cluster, int processes, core::Random& random, core::Duration time) {
  const core::Instant end = cluster.now() + time;
  while (cluster.now() < end) {
    int budget = 2000;
    while (!cluster.messages().empty() && budget-- > 0) cluster.Deliver(0);
    for (int i = 0; i < processes; ++i) RunGranted(cluster, i, random);
    const auto wait = cluster.UntilNextTick();
    cluster.Advance(
        std::clamp<core::Duration>(wait.value_or(seconds(1)), milliseconds(1), seconds(1)));
  }
}

struct Outcome {
  std::vector<std::string> violations;
  bool new_key_granted = false;
  std::uint64_t executions = 0;
};

Outcome Simulate(std::uint64_t seed, const OwnerFaults& faults, bool bad_clocks) {
  core::Random random(seed);
  const ClusterSettings settings = SettingsOf(random, faults);
  Cluster cluster(settings);
  std::vector<Caller> callers;
  constexpr std::uint64_t kCalm[] = {1, 4, 16};
  const std::uint64_t calm = kCalm[random.Below(3)];
  for (int i = 0; i < kSteps; ++i) {
    FaultyStep(cluster, settings.processes, callers, bad_clocks, calm, random);
  }
  std::set<int> all;
  for (int i = 0; i < settings.processes; ++i) all.insert(i);
  cluster.SetStoreDown(false);
  for (const int i : all) {
    cluster.SetClock(i, {});
    cluster.Pause(i, false);
    cluster.SetMembers(i, all);
  }
  Settle(cluster, settings.processes, random, seconds(120));
  Outcome outcome;
  for (const int i : all) {
    cluster.Request(i, std::to_string(900000 + i), "body", cluster.now());
    const core::RequestId request = cluster.last_request();
    Settle(cluster, settings.processes, random, seconds(5));
    outcome.new_key_granted = cluster.WasGranted(request);
    if (!outcome.new_key_granted) break;
  }
  outcome.violations = cluster.violations();
  for (const auto& wrong : cluster.WrongNotRunAnswers()) outcome.violations.push_back(wrong);
  outcome.executions = cluster.executions();
  return outcome;
}

// Guards against a second run of a key, a false "not run" or "completed" answer, and an owner that
// stays stuck after lost answers, outages, crashes, pauses, roll-overs and wrong membership.
TEST_CASE("keys run at most once under faults, and new keys are granted afterwards") {
  std::uint64_t cases = 0;
  std::uint64_t executions = 0;
  CHECK(rc::check([&](std::uint64_t seed) {
    const Outcome outcome = Simulate(seed, {}, false);
    ++cases;
    executions += outcome.executions;
    if (!outcome.violations.empty()) RC_FAIL(outcome.violations.front());
    RC_ASSERT(outcome.new_key_granted);
  }));
  // A simulation in which hardly anything runs would pass without checking anything.
  CHECK(executions > 4 * cases);
}

// Guards against safety that rests on clocks: host clocks are wrong by up to 40 h, so claims are
// dropped early.
TEST_CASE("keys run at most once with wrong clocks") {
  CHECK(rc::check([](std::uint64_t seed) {
    const Outcome outcome = Simulate(seed, {}, true);
    if (!outcome.violations.empty()) RC_FAIL(outcome.violations.front());
  }));
}

bool Detected(const OwnerFaults& faults) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    if (!Simulate(seed, faults, false).violations.empty()) return true;
  }
  return false;
}

// Guards against checks that cannot fail: each deliberate fault must produce a violation.
TEST_CASE("deliberate faults of the claim owner are detected") {
  OwnerFaults faults;
  SECTION("skipped read-back") { faults.skip_read_back = true; }
  SECTION("grant before the write is durable") { faults.grant_before_durable = true; }
  SECTION("ignored revision") { faults.ignore_revision = true; }
  SECTION("claim without outcome granted again") { faults.regrant_unknown = true; }
  SECTION("skipped seal") { faults.skip_seal = true; }
  CHECK(Detected(faults));
}

}  // namespace
}  // namespace cornelrelay::claims::testing
