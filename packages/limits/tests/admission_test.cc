#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cluster_simulation.h"
#include "cornelrelay/limits/share.h"

namespace cornelrelay::limits {
namespace {

constexpr std::size_t kSteps = 600;

// Whether a limit is exceeded in one of 150 simulations with the fault.
bool Violates(AdmissionFault fault) {
  for (std::uint64_t seed = 0; seed < 150; ++seed) {
    ClusterSimulation simulation(seed, fault);
    simulation.Run(kSteps);
    if (simulation.violated()) return true;
  }
  return false;
}

core::Instant At(std::int64_t milliseconds) {
  return core::Instant(std::chrono::milliseconds(milliseconds));
}

AdmissionController SingleProcessController(ServiceLimits limits) {
  AdmissionConfig config;
  config.shares.self = core::HostId("a");
  AdmissionController controller(config);
  controller.Step(At(0), LimitsChanged{core::ServiceId("s"), limits});
  controller.Step(At(0), MembersChanged{{{core::HostId("a"), 1}}});
  controller.Step(At(0) + config.shares.bootstrap_wait, TickElapsed{});
  return controller;
}

RequestArrived Request(int number, core::Instant deadline = core::Instant::max()) {
  return {core::RequestId(std::to_string(number)),
          core::ClientAccountId("x"),
          core::ServiceId("s"),
          1,
          deadline,
          1};
}

// Guards against shares whose sum differs from the limit, and against shares that grow when a
// member is added.
TEST_CASE("shares add up to the limit and never grow with the membership") {
  CHECK(rc::check([](std::uint16_t limit, std::uint8_t size, std::uint16_t key) {
    std::vector<Member> members;
    std::map<core::HostId, std::uint64_t> before;
    for (int i = 0; i <= size % 40; ++i) {
      members.push_back({core::HostId("host-" + std::to_string(i)), 1});
      std::uint64_t sum = 0;
      for (const Member& member : members) {
        const std::uint64_t share = ShareOf(limit, std::to_string(key), members, member.id);
        RC_ASSERT(!before.contains(member.id) || share <= before[member.id]);
        before[member.id] = share;
        sum += share;
      }
      RC_ASSERT(sum == limit);
    }
  }));
}

// Guards against more running or started requests over all processes than a limit allows, after the
// death of one or half of the processes, joins, partitions and reordered messages. Also guards
// against permits that no process can use after the partition has healed.
TEST_CASE("limits hold over all processes and are usable in full after healing") {
  CHECK(rc::check([](std::uint64_t seed) {
    ClusterSimulation simulation(seed, AdmissionFault::kNone);
    simulation.Run(kSteps);
    RC_ASSERT(!simulation.violated());
    simulation.HealAndSettle();
    RC_ASSERT(!simulation.violated());
    RC_ASSERT(simulation.UsableSum() == simulation.limits().account.concurrency);
  }));
}

// Guards against a simulation in which no process gets a share, so that the limits hold trivially.
TEST_CASE("simulated processes start many requests") {
  std::size_t started = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    ClusterSimulation simulation(seed, AdmissionFault::kNone);
    simulation.Run(kSteps);
    started += simulation.started_count();
  }
  CHECK(started > 20 * 30);
}

// Guards against a simulation that misses violations: by a share that is rounded up, by one that
// grows before others have shrunk, and by a process that settles without knowing the others.
TEST_CASE("the simulation detects faults that break the limits") {
  CHECK(Violates(AdmissionFault::kShareRoundedUp));
  CHECK(Violates(AdmissionFault::kGrowAtOnce));
  CHECK(Violates(AdmissionFault::kSettleAlone));
  CHECK_FALSE(Violates(AdmissionFault::kNone));
}

// Guards against decisions that depend on anything other than the events and their times.
TEST_CASE("a replay starts and refuses the same requests") {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    ClusterSimulation a(seed, AdmissionFault::kNone);
    ClusterSimulation b(seed, AdmissionFault::kNone);
    a.Run(kSteps);
    b.Run(kSteps);
    CHECK(a.trace() == b.trace());
  }
}

// Guards against token buckets that are refilled at the larger share of a new view for the time
// before it was settled, so that the account exceeds its rate.
TEST_CASE("the time before a confirmation settles a view earns tokens at the old rate") {
  const Member a{core::HostId("a"), 1};
  const Member b{core::HostId("b"), 1};
  const Member c{core::HostId("c"), 1};
  AdmissionConfig config;
  config.shares.self = a.id;
  AdmissionController controller(config);
  controller.Step(At(0), LimitsChanged{core::ServiceId("s"), {300, {300, 30, 3000, 300}, {}}});
  controller.Step(At(0), MembersChanged{{a, b, c}});
  for (const Member& other : {b, c}) {
    controller.Step(At(0),
                    ConfirmationReceived{other.id, ViewId({a, b, c}), Standing::kSettled, 1});
  }
  REQUIRE(controller.shares().settled());
  controller.Step(At(1000), Request(1));
  controller.Step(At(1000), MembersChanged{{a, b}});
  REQUIRE_FALSE(controller.shares().settled());
  controller.Step(At(11000), ConfirmationReceived{b.id, ViewId({a, b}), Standing::kSettled, 2});
  REQUIRE(controller.shares().settled());
  controller.Step(At(11000), Request(2));
  // 11 s at a third of 30 tokens/s, less two requests. At half of 30 tokens/s, the last 10 s alone
  // would earn 150 tokens.
  const auto& state =
      controller.services().at(core::ServiceId("s")).accounts.at(core::ClientAccountId("x"));
  CHECK(state.bucket.tokens() == Approx(108));
}

// Guards against queueing a request that cannot end before its deadline, which wastes the time of
// the caller and of an upstream.
TEST_CASE("a request that cannot meet its deadline is refused at once with a retry-after") {
  AdmissionController controller = SingleProcessController({2, {1, 1000, 1000, 100}, {}});
  controller.Step(At(11000), Request(1));
  controller.Step(At(12000), RequestFinished{core::RequestId("1")});
  controller.Step(At(12000), Request(2));
  for (int i = 3; i < 6; ++i) controller.Step(At(12000), Request(i));
  const auto late = controller.Step(At(12000), Request(9, At(15000)));
  REQUIRE(late.size() == 1);
  const auto& refusal = std::get<RefuseRequest>(late[0]);
  CHECK(refusal.reason == RefusalReason::kDeadline);
  CHECK(refusal.retry_after >= std::chrono::seconds(1));
  CHECK(
      std::holds_alternative<QueueRequest>(controller.Step(At(12000), Request(10, At(18500)))[0]));
}

// Guards against a queued request that stays in the queue once it can no longer meet its deadline.
TEST_CASE("a queued request is refused once it cannot meet its deadline") {
  AdmissionController controller = SingleProcessController({2, {1, 1000, 1000, 100}, {}});
  controller.Step(At(11000), Request(1));
  controller.Step(At(12000), RequestFinished{core::RequestId("1")});
  controller.Step(At(12000), Request(2));
  controller.Step(At(12000), Request(3, At(15000)));
  const auto actions = controller.Step(At(14500), TickElapsed{});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RefuseRequest>(actions[0]).reason == RefusalReason::kDeadline);
  CHECK(controller.Step(At(14600), RequestFinished{core::RequestId("2")}).empty());
}

// Guards against a process without a permit that starts requests because nothing runs on it.
TEST_CASE("a process without a permit refuses and names a process that holds one") {
  AdmissionConfig config;
  std::vector<Member> members;
  for (const char* host : {"a", "b", "c"}) members.push_back({core::HostId(host), 1});
  int refused = 0;
  for (const Member& self : members) {
    config.shares.self = self.id;
    AdmissionController controller(config);
    controller.Step(At(0), LimitsChanged{core::ServiceId("s"), {30, {1, 100, 100, 10}, {}}});
    controller.Step(At(0), MembersChanged{members});
    for (const Member& other : members) {
      controller.Step(At(1),
                      ConfirmationReceived{other.id, ViewId(members), Standing::kSettled, 1});
    }
    const auto actions = controller.Step(At(100), Request(1));
    const auto* refusal = std::get_if<RefuseRequest>(&actions.at(0));
    if (refusal == nullptr) continue;
    ++refused;
    CHECK(refusal->reason == RefusalReason::kNoShare);
    CHECK(refusal->holder == FirstHolder("s\nx", members));
    CHECK(refusal->holder != self.id);
  }
  CHECK(refused == 2);
}

}  // namespace
}  // namespace cornelrelay::limits
