#include "cornelrelay/dispatch/dispatcher.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }
core::RequestId Id(int n) { return core::RequestId("r" + std::to_string(n)); }
core::UpstreamId Up(int n) { return core::UpstreamId("u" + std::to_string(n)); }

UpstreamsChanged Fleet(int upstreams, std::uint32_t slots) {
  UpstreamsChanged event;
  for (int n = 0; n < upstreams; ++n) event.upstreams.push_back({Up(n), slots, 1});
  return event;
}

RequestArrived Arrival(int n, milliseconds target = milliseconds(400)) {
  RequestArrived arrival;
  arrival.request = Id(n);
  arrival.account = core::ClientAccountId("a");
  arrival.target_latency = target;
  return arrival;
}

template <class Action>
std::vector<Action> All(const std::vector<DispatchAction>& actions) {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* one = std::get_if<Action>(&action)) found.push_back(*one);
  }
  return found;
}

Dispatcher Make(int upstreams, std::uint32_t slots) {
  Dispatcher dispatcher({.seed = 1});
  dispatcher.Step(At(0), Fleet(upstreams, slots));
  return dispatcher;
}

}  // namespace

// Load pattern: requests arrive at once (burst).
TEST_CASE("a burst spreads evenly over the upstreams") {
  Dispatcher dispatcher = Make(16, 12);
  for (int n = 0; n < 96; ++n) CHECK(All<Assigned>(dispatcher.Step(At(n), Arrival(n))).size() == 1);
  for (const auto& [upstream, count] : dispatcher.InFlight()) CHECK(count <= 7);
}

// Load pattern: several entry processes choose at once.
TEST_CASE("the requests of other processes count as well") {
  Dispatcher dispatcher = Make(2, 12);
  dispatcher.Step(At(0), PeerLoadChanged{{{Up(0), 8}}, 0});
  for (int n = 0; n < 8; ++n) dispatcher.Step(At(1), Arrival(n));
  CHECK(dispatcher.InFlight()[Up(1)] >= 7);
}

// Load pattern: mixed sizes. A long prompt counts like several generating requests.
TEST_CASE("an upstream that reads a long prompt gets less meanwhile") {
  Dispatcher dispatcher = Make(2, 12);
  RequestArrived large = Arrival(0);
  large.prompt_tokens = 4000;
  const auto first = All<Assigned>(dispatcher.Step(At(0), large)).at(0).upstream;
  for (int n = 1; n <= 4; ++n) {
    CHECK(All<Assigned>(dispatcher.Step(At(1), Arrival(n))).at(0).upstream != first);
  }
}

// Load pattern: overload for seconds.
TEST_CASE("who cannot start in time is refused at once, with the time of the next room") {
  Dispatcher dispatcher = Make(1, 4);
  int assigned = 0;
  std::vector<Rejected> rejected;
  for (int n = 0; n < 60; ++n) {
    const auto actions = dispatcher.Step(At(0), Arrival(n));
    assigned += static_cast<int>(All<Assigned>(actions).size());
    for (const auto& reject : All<Rejected>(actions)) rejected.push_back(reject);
  }
  CHECK(assigned == 4);
  REQUIRE_FALSE(rejected.empty());
  std::set<core::Duration> times;
  for (const auto& reject : rejected) {
    CHECK(reject.reason == RejectReason::kOverloaded);
    CHECK(reject.retry_after >= milliseconds(100));
    times.insert(reject.retry_after);
  }
  // They do not come back together.
  CHECK(times.size() > rejected.size() / 2);
  CHECK(dispatcher.waiting() + rejected.size() + 4 == 60);
}

TEST_CASE("a waiting request is never held beyond its time") {
  Dispatcher dispatcher = Make(1, 1);
  dispatcher.Step(At(0), Arrival(0));
  REQUIRE(All<Assigned>(dispatcher.Step(At(0), Arrival(1))).empty());
  REQUIRE(dispatcher.NextWake());
  CHECK(*dispatcher.NextWake() <= At(400));
  const auto late = All<Rejected>(dispatcher.Step(*dispatcher.NextWake(), DispatchTick{}));
  REQUIRE(late.size() == 1);
  CHECK(late.front().reason == RejectReason::kQueueTimeout);
}

// Load pattern: a slow or failing replica in the rush.
TEST_CASE("an upstream that fails twice gets nothing, then one trial, then gradually more") {
  Dispatcher dispatcher = Make(2, 100);
  int n = 0;
  const auto fail = [&](core::Instant now) {
    const auto assigned = All<Assigned>(dispatcher.Step(now, Arrival(++n))).at(0);
    const bool bad = assigned.upstream == Up(0);
    dispatcher.Step(now, AttemptEnded{Id(n), bad ? AttemptEnd::kFailed : AttemptEnd::kCompleted});
    return bad;
  };
  int failures = 0;
  for (int i = 0; i < 50; ++i) failures += fail(At(i)) ? 1 : 0;
  CHECK(failures == 2);
  failures = 0;
  for (int i = 0; i < 200; ++i) failures += fail(At(600 + i)) ? 1 : 0;
  CHECK(failures == 1);
}

TEST_CASE("an upstream whose address another one has gets no second request") {
  Dispatcher dispatcher = Make(1, 10);
  dispatcher.Step(At(0), Arrival(0));
  const auto actions = dispatcher.Step(At(1), AttemptEnded{Id(0), AttemptEnd::kMisdirected});
  REQUIRE(All<HealthChanged>(actions).size() == 1);
  CHECK(All<HealthChanged>(actions).front().state == HealthState::kEjected);
  CHECK(All<ServiceBlocked>(actions).empty());
}

// Load pattern: replicas lost in the rush. All members of a group wait for the lost one.
TEST_CASE("a group that stands still refuses at once and is tried by one request at a time") {
  Dispatcher dispatcher = Make(4, 10);
  for (int n = 0; n < 8; ++n) dispatcher.Step(At(0), Arrival(n));
  std::vector<DispatchAction> actions;
  for (int n = 0; n < 8; ++n) {
    for (const auto& action :
         dispatcher.Step(At(1500), AttemptEnded{Id(n), AttemptEnd::kBlocked})) {
      actions.push_back(action);
    }
  }
  REQUIRE(All<ServiceBlocked>(actions).size() == 1);
  const auto refused = All<Rejected>(dispatcher.Step(At(1510), Arrival(20)));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().reason == RejectReason::kBlocked);
  CHECK(refused.front().retry_after >= seconds(2));
  CHECK(All<Assigned>(dispatcher.Step(At(2000), Arrival(21))).size() == 1);
  CHECK(All<Rejected>(dispatcher.Step(At(2001), Arrival(22))).size() == 1);
  CHECK(All<ServiceBlocked>(dispatcher.Step(At(2100), FirstOutputReceived{Id(21)})).size() == 1);
  CHECK(All<Assigned>(dispatcher.Step(At(2101), Arrival(23))).size() == 1);
}

TEST_CASE("when all upstreams seem to fail, they are used all the same") {
  Dispatcher dispatcher = Make(3, 10);
  for (int n = 0; n < 12; ++n) {
    REQUIRE(All<Assigned>(dispatcher.Step(At(n), Arrival(n))).size() == 1);
    dispatcher.Step(At(n), AttemptEnded{Id(n), AttemptEnd::kFailed});
  }
}

// Load pattern: one account's rush (hot key, repeats at once).
TEST_CASE("small accounts wait no longer for a large one's rush") {
  Dispatcher dispatcher({.seed = 1, .initial_service_time = milliseconds(10)});
  dispatcher.Step(At(0), Fleet(1, 1));
  dispatcher.Step(At(0), Arrival(0));
  for (int n = 1; n <= 20; ++n) dispatcher.Step(At(0), Arrival(n, seconds(5)));
  RequestArrived small = Arrival(99, seconds(5));
  small.account = core::ClientAccountId("small");
  dispatcher.Step(At(0), small);
  std::set<core::RequestId> served;
  core::RequestId running = Id(0);
  for (int turn = 0; turn < 2; ++turn) {
    const auto next =
        All<Assigned>(dispatcher.Step(At(5 + turn), AttemptEnded{running, AttemptEnd::kCompleted}));
    REQUIRE(next.size() == 1);
    running = next.front().request;
    served.insert(running);
  }
  CHECK(served.contains(Id(99)));
}

TEST_CASE("every request is decided once, and counts of requests in flight never drift") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    Dispatcher dispatcher({.seed = seed});
    std::set<core::RequestId> waiting;
    std::set<core::RequestId> running;
    std::int64_t ms = 0;
    int next = 0;
    const auto take = [&](const std::vector<DispatchAction>& actions) {
      for (const auto& assigned : All<Assigned>(actions)) {
        RC_ASSERT(waiting.erase(assigned.request) == 1);
        running.insert(assigned.request);
      }
      for (const auto& rejected : All<Rejected>(actions)) {
        RC_ASSERT(waiting.erase(rejected.request) == 1);
      }
    };
    for (int i = 0; i < 400; ++i) {
      ms += static_cast<std::int64_t>(random.Below(40));
      switch (random.Below(6)) {
        case 0:
          take(dispatcher.Step(At(ms), Fleet(static_cast<int>(random.Below(5)), 3)));
          break;
        case 1:
        case 2:
          waiting.insert(Id(++next));
          take(dispatcher.Step(At(ms), Arrival(next)));
          break;
        case 3: {
          if (running.empty()) break;
          const core::RequestId ended = *running.begin();
          running.erase(running.begin());
          take(dispatcher.Step(At(ms),
                               AttemptEnded{ended, static_cast<AttemptEnd>(random.Below(7))}));
          break;
        }
        case 4:
          if (!running.empty()) {
            take(dispatcher.Step(At(ms), FirstOutputReceived{*running.rbegin()}));
          }
          break;
        default:
          take(dispatcher.Step(At(ms), DispatchTick{}));
      }
      std::size_t in_flight = 0;
      for (const auto& [upstream, count] : dispatcher.InFlight()) in_flight += count;
      RC_ASSERT(in_flight == running.size());
      RC_ASSERT(dispatcher.waiting() == waiting.size());
    }
  }));
}

}  // namespace cornelrelay::dispatch
