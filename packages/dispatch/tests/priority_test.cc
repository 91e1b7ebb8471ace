#include <catch2/catch.hpp>

#include "cornelrelay/dispatch/dispatcher.h"

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;

const core::UpstreamId kUpstream("u");

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }

RequestArrived Arrival(const std::string& id, std::uint8_t priority,
                       milliseconds target = milliseconds(400)) {
  RequestArrived arrival;
  arrival.request = core::RequestId(id);
  arrival.account = core::ClientAccountId("a");
  arrival.priority = priority;
  arrival.target_latency = target;
  return arrival;
}

template <class Action>
std::vector<Action> ActionsOf(const std::vector<DispatchAction>& actions) {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* one = std::get_if<Action>(&action)) found.push_back(*one);
  }
  return found;
}

/// \brief Dispatcher of one upstream. With `slots` requests of 100 ms, a slot becomes free every
/// 100 / `slots` ms.
Dispatcher MakeDispatcher(std::uint32_t slots) {
  Dispatcher dispatcher({.seed = 1});
  dispatcher.Step(At(0), UpstreamsChanged{{{kUpstream, slots, 1}}});
  return dispatcher;
}

}  // namespace

// Guards against urgent requests that are rejected because less urgent ones wait in the peers.
TEST_CASE("less urgent requests of peers do not delay an urgent request") {
  Dispatcher dispatcher = MakeDispatcher(2);
  dispatcher.Step(At(0), PeerLoadChanged{{{kUpstream, 2}}, {{2, 50}}});
  CHECK(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("urgent", 0))).empty());
  const auto rejected = ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("late", 2)));
  REQUIRE(rejected.size() == 1);
  CHECK(rejected.front().priority == 2);
  CHECK(rejected.front().reason == RejectReason::kOverloaded);
  CHECK(rejected.front().expected_wait >= milliseconds(2'500));
}

// Guards against an urgent request that waits for its timeout behind less urgent ones, and against
// less urgent requests that wait in vain.
TEST_CASE("urgent requests displace queued requests that can no longer start in time") {
  Dispatcher dispatcher = MakeDispatcher(1);
  dispatcher.Step(At(0), Arrival("running", 0));
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("l1", 2))).empty());
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("l2", 2))).empty());
  const auto first = ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("u1", 0)));
  const auto second = ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("u2", 0)));
  const auto third = ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("u3", 0)));
  std::vector<Rejected> displaced = first;
  displaced.insert(displaced.end(), second.begin(), second.end());
  displaced.insert(displaced.end(), third.begin(), third.end());
  REQUIRE(displaced.size() == 2);
  for (const Rejected& rejected : displaced) {
    CHECK(rejected.priority == 2);
    CHECK(rejected.reason == RejectReason::kDisplaced);
    CHECK(rejected.retry_after >= rejected.expected_wait);
  }
  CHECK(dispatcher.WaitingByPriority() == std::map<std::uint8_t, std::uint32_t>{{0, 3}});
}

// Guards against a less urgent request that takes the slot for which peers' urgent ones wait.
TEST_CASE("a less urgent request leaves free slots to the more urgent requests of peers") {
  Dispatcher dispatcher = MakeDispatcher(4);
  dispatcher.Step(At(0), PeerLoadChanged{{{kUpstream, 2}}, {{0, 3}}});
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival("later", 2))).empty());
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival("urgent", 0))).size() == 1);
  const auto after = dispatcher.Step(At(40), PeerLoadChanged{{{kUpstream, 2}}, {}});
  REQUIRE(ActionsOf<Assigned>(after).size() == 1);
  CHECK(ActionsOf<Assigned>(after).front().request == core::RequestId("later"));
}

// Guards against a change for deployments without different priorities.
TEST_CASE("with one priority, queued requests stay until their time is over") {
  Dispatcher dispatcher = MakeDispatcher(1);
  dispatcher.Step(At(0), Arrival("running", 1));
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("queued", 1))).empty());
  const auto more_load = dispatcher.Step(At(10), PeerLoadChanged{{{kUpstream, 0}}, {{1, 100}}});
  CHECK(ActionsOf<Rejected>(more_load).empty());
  const auto next =
      dispatcher.Step(At(20), AttemptEnded{core::RequestId("running"), AttemptEnd::kCompleted});
  CHECK(ActionsOf<Assigned>(next).size() == 1);
}

// Guards against long prompts that start last and are then late for sure.
TEST_CASE("of the requests of an account, the one with the earliest latest start is next") {
  Dispatcher dispatcher({.seed = 1, .prompt_token_time = milliseconds(1)});
  dispatcher.Step(At(0), UpstreamsChanged{{{kUpstream, 1, 1}}});
  dispatcher.Step(At(0), Arrival("running", 1));
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival("short", 1))).empty());
  RequestArrived large = Arrival("long", 1);
  large.prompt_tokens = 200;
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(10), large)).empty());
  const auto next = ActionsOf<Assigned>(
      dispatcher.Step(At(20), AttemptEnded{core::RequestId("running"), AttemptEnd::kCompleted}));
  REQUIRE(next.size() == 1);
  CHECK(next.front().request == core::RequestId("long"));
}

// Guards against work whose result no caller waits for.
TEST_CASE("a request whose caller leaves before its first output is not started") {
  Dispatcher dispatcher({.seed = 1, .prompt_token_time = milliseconds(1)});
  dispatcher.Step(At(0), UpstreamsChanged{{{kUpstream, 1, 1}}});
  RequestArrived late = Arrival("1", 1);
  late.deadline = At(500);
  late.prompt_tokens = 800;
  // Nothing runs that could show that the estimate is too long.
  REQUIRE(ActionsOf<Assigned>(dispatcher.Step(At(0), late)).size() == 1);
  late.request = core::RequestId("2");
  const auto rejected = ActionsOf<Rejected>(dispatcher.Step(At(0), late));
  REQUIRE(rejected.size() == 1);
  CHECK(rejected.front().reason == RejectReason::kTooLate);
  late.request = core::RequestId("3");
  late.prompt_tokens = 100;
  CHECK(ActionsOf<Rejected>(dispatcher.Step(At(0), late)).empty());
}

// Guards against a route that gets nothing while more urgent ones use up the capacity.
TEST_CASE("a priority that is served too little gets the next places") {
  ServedShares shares;
  for (int n = 0; n < 100; ++n) {
    shares.RecordArrival(At(n), 0);
    shares.RecordServed(At(n), 0);
    shares.RecordArrival(At(n), 2);
  }
  CHECK(shares.IsUnderserved(At(100), 2, 0));
  CHECK_FALSE(shares.IsUnderserved(At(100), 0, 0));
  CHECK_FALSE(shares.IsUnderserved(At(100), 2, 20));
  CHECK(shares.MostUrgent(2) == 0);
  // Old requests are forgotten.
  shares.RecordArrival(At(200'000), 2);
  CHECK(shares.size() == 1);
}

}  // namespace cornelrelay::dispatch
