#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "cluster.h"
#include "cornelrelay/limits/share.h"

namespace cornelrelay::limits {
namespace {

constexpr std::size_t kSteps = 600;

bool Violates(AdmissionFault fault) {
  for (std::uint64_t seed = 0; seed < 150; ++seed) {
    Cluster cluster(seed, fault);
    cluster.Run(kSteps);
    if (cluster.violated()) return true;
  }
  return false;
}

core::Instant At(std::int64_t milliseconds) {
  return core::Instant(std::chrono::milliseconds(milliseconds));
}

AdmissionController Single(ServiceLimits limits) {
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

// Guards against shares that add up to more or less than the limit, or grow when a member is added.
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

// Guards against running or starting more than a limit allows over all processes, through deaths of
// one or half of the processes, joins, partitions and reordered messages; and against permits lost
// for ever.
TEST_CASE("limits hold over all processes and are usable in full after healing") {
  CHECK(rc::check([](std::uint64_t seed) {
    Cluster cluster(seed, AdmissionFault::kNone);
    cluster.Run(kSteps);
    RC_ASSERT(!cluster.violated());
    cluster.Settle();
    RC_ASSERT(!cluster.violated());
    RC_ASSERT(cluster.UsableSum() == cluster.limits().account.concurrency);
  }));
}

// Guards against a fuzz run in which processes never get a share and the limits hold trivially.
TEST_CASE("fuzzed processes start many requests") {
  std::size_t started = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Cluster cluster(seed, AdmissionFault::kNone);
    cluster.Run(kSteps);
    started += cluster.started();
  }
  CHECK(started > 20 * 30);
}

// Guards against an oracle that cannot see a share rounded up, a share that grows before others
// have shrunk, or a process that settles without knowing the others. have shrunk.
TEST_CASE("deliberate faults break the limits and are seen") {
  CHECK(Violates(AdmissionFault::kShareRoundedUp));
  CHECK(Violates(AdmissionFault::kGrowAtOnce));
  CHECK(Violates(AdmissionFault::kSettleAlone));
  CHECK_FALSE(Violates(AdmissionFault::kNone));
}

// Guards against decisions that depend on anything but the events.
TEST_CASE("a replay starts and refuses the same requests") {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    Cluster a(seed, AdmissionFault::kNone);
    Cluster b(seed, AdmissionFault::kNone);
    a.Run(kSteps);
    b.Run(kSteps);
    CHECK(a.trace() == b.trace());
  }
}

// Guards against buckets that fill at a grown share for the time before the view was settled, and
// so exceed the account's rate.
TEST_CASE("the time before a statement settles a view earns tokens at the old rate") {
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
  // 11 s at a third of 30 a second, less two requests; at half of it the last 10 s would earn 150.
  const auto& state =
      controller.services().at(core::ServiceId("s")).accounts.at(core::ClientAccountId("x"));
  CHECK(state.bucket.tokens() == Approx(108));
}

// Guards against queueing work that cannot end in time, which wastes the caller's time and an
// upstream's.
TEST_CASE("work that cannot meet its deadline is refused at once with a retry-after") {
  AdmissionController controller = Single({2, {1, 1000, 1000, 100}, {}});
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

// Guards against a request that was queued in time staying after its deadline became hopeless.
TEST_CASE("queued work is refused when its deadline becomes hopeless") {
  AdmissionController controller = Single({2, {1, 1000, 1000, 100}, {}});
  controller.Step(At(11000), Request(1));
  controller.Step(At(12000), RequestFinished{core::RequestId("1")});
  controller.Step(At(12000), Request(2));
  controller.Step(At(12000), Request(3, At(15000)));
  const auto actions = controller.Step(At(14500), TickElapsed{});
  REQUIRE(actions.size() == 1);
  CHECK(std::get<RefuseRequest>(actions[0]).reason == RefusalReason::kDeadline);
  CHECK(controller.Step(At(14600), RequestFinished{core::RequestId("2")}).empty());
}

// Guards against a process without a permit starting work because it is idle.
TEST_CASE("a process without a permit refuses and names one that has it") {
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
