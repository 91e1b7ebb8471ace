#include "cornelrelay/dispatch/dispatcher.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace cornelrelay::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

core::Instant At(std::int64_t ms) { return core::Instant(milliseconds(ms)); }
core::RequestId RequestNo(int n) { return core::RequestId("r" + std::to_string(n)); }
core::UpstreamId UpstreamNo(int n) { return core::UpstreamId("u" + std::to_string(n)); }

UpstreamsChanged Upstreams(int upstreams, std::uint32_t slots) {
  UpstreamsChanged event;
  for (int n = 0; n < upstreams; ++n) event.upstreams.push_back({UpstreamNo(n), slots, 1});
  return event;
}

RequestArrived Arrival(int n, milliseconds target = milliseconds(400)) {
  RequestArrived arrival;
  arrival.request = RequestNo(n);
  arrival.account = core::ClientAccountId("a");
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

Dispatcher MakeDispatcher(int upstreams, std::uint32_t slots) {
  Dispatcher dispatcher({.seed = 1});
  dispatcher.Step(At(0), Upstreams(upstreams, slots));
  return dispatcher;
}

}  // namespace

// Load pattern: a burst. Guards against choosing the same upstream for many requests in a row.
TEST_CASE("a burst spreads evenly over the upstreams") {
  Dispatcher dispatcher = MakeDispatcher(16, 12);
  for (int n = 0; n < 96; ++n)
    CHECK(ActionsOf<Assigned>(dispatcher.Step(At(n), Arrival(n))).size() == 1);
  for (const auto& [upstream, count] : dispatcher.InFlight()) CHECK(count <= 7);
}

// Load pattern: several entry processes. Guards against ignoring the load that peers report.
TEST_CASE("the requests of other entry processes count as load of an upstream") {
  Dispatcher dispatcher = MakeDispatcher(2, 12);
  dispatcher.Step(At(0), PeerLoadChanged{{{UpstreamNo(0), 8}}, {}});
  for (int n = 0; n < 8; ++n) dispatcher.Step(At(1), Arrival(n));
  CHECK(dispatcher.InFlight()[UpstreamNo(1)] >= 7);
}

// Load pattern: mixed sizes. A long prompt counts as much as several generating requests.
TEST_CASE("an upstream that reads a long prompt gets fewer requests until its first output") {
  Dispatcher dispatcher = MakeDispatcher(2, 12);
  RequestArrived large = Arrival(0);
  large.prompt_tokens = 4000;
  const auto first = ActionsOf<Assigned>(dispatcher.Step(At(0), large)).at(0).upstream;
  for (int n = 1; n <= 4; ++n) {
    CHECK(ActionsOf<Assigned>(dispatcher.Step(At(1), Arrival(n))).at(0).upstream != first);
  }
}

// Load pattern: overload for seconds. Guards against queueing requests that cannot start in time,
// and against rejected callers that all retry at the same moment.
TEST_CASE("requests that cannot start in time are rejected at once with a jittered retry-after") {
  Dispatcher dispatcher = MakeDispatcher(1, 4);
  int assigned = 0;
  std::vector<Rejected> rejected;
  for (int n = 0; n < 60; ++n) {
    const auto actions = dispatcher.Step(At(0), Arrival(n));
    assigned += static_cast<int>(ActionsOf<Assigned>(actions).size());
    for (const auto& reject : ActionsOf<Rejected>(actions)) rejected.push_back(reject);
  }
  CHECK(assigned == 4);
  REQUIRE_FALSE(rejected.empty());
  std::set<core::Duration> times;
  for (const auto& reject : rejected) {
    CHECK(reject.reason == RejectReason::kOverloaded);
    CHECK(reject.retry_after >= milliseconds(100));
    times.insert(reject.retry_after);
  }
  // The retry-after times differ, so that the callers do not retry together.
  CHECK(times.size() > rejected.size() / 2);
  CHECK(dispatcher.waiting() + rejected.size() + 4 == 60);
}

TEST_CASE("a waiting request is rejected when it can no longer start in time") {
  Dispatcher dispatcher = MakeDispatcher(1, 1);
  dispatcher.Step(At(0), Arrival(0));
  REQUIRE(ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival(1))).empty());
  REQUIRE(dispatcher.NextWake());
  CHECK(*dispatcher.NextWake() <= At(400));
  const auto late = ActionsOf<Rejected>(dispatcher.Step(*dispatcher.NextWake(), DispatchTick{}));
  REQUIRE(late.size() == 1);
  CHECK(late.front().reason == RejectReason::kQueueTimeout);
}

// Load pattern: all slots are taken and callers wait. Guards against giving up an attempt before
// there is a place for the next one (review/5).
TEST_CASE("a place is sought while the stalled attempt keeps its slot") {
  Dispatcher dispatcher = MakeDispatcher(2, 1);
  const auto first = ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival(0))).at(0).upstream;
  const auto second = ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival(1))).at(0).upstream;
  REQUIRE(first != second);
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(0), Arrival(2))).empty());
  const core::RequestId next("r0-next");
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(10), PlaceSought{next, 0, {first}})).empty());
  CHECK(dispatcher.InFlight()[first] == 1);
  // Its own slot is of no use to it.
  const auto own = ActionsOf<Assigned>(
      dispatcher.Step(At(20), AttemptEnded{RequestNo(0), AttemptEnd::kCompleted}));
  REQUIRE(own.size() == 1);
  CHECK(own.front().request == RequestNo(2));
  // It goes before the requests that wait, as it has begun before them.
  REQUIRE(ActionsOf<Rejected>(dispatcher.Step(At(25), Arrival(3))).empty());
  const auto other = ActionsOf<Assigned>(
      dispatcher.Step(At(30), AttemptEnded{RequestNo(1), AttemptEnd::kCompleted}));
  REQUIRE(other.size() == 1);
  CHECK(other.front().request == next);
  CHECK(other.front().upstream == second);
  CHECK(other.front().waited == milliseconds(20));
}

TEST_CASE("a place that is no longer sought is given to others") {
  Dispatcher dispatcher = MakeDispatcher(2, 1);
  const auto first = ActionsOf<Assigned>(dispatcher.Step(At(0), Arrival(0))).at(0).upstream;
  dispatcher.Step(At(0), Arrival(1));
  const core::RequestId next("r0-next");
  dispatcher.Step(At(10), PlaceSought{next, 0, {first}});
  dispatcher.Step(At(20), RequestWithdrawn{next});
  CHECK(ActionsOf<Assigned>(
            dispatcher.Step(At(30), AttemptEnded{RequestNo(1), AttemptEnd::kCompleted}))
            .empty());
  const auto held = ActionsOf<Assigned>(dispatcher.Step(At(40), PlaceSought{next, 0, {first}}));
  REQUIRE(held.size() == 1);
  dispatcher.Step(At(50), RequestWithdrawn{next});
  CHECK(dispatcher.InFlight().size() == 1);
}

TEST_CASE("output and answers are signs of life of their upstream") {
  Dispatcher dispatcher = MakeDispatcher(1, 2);
  dispatcher.Step(At(0), Arrival(0));
  dispatcher.Step(At(0), Arrival(1));
  CHECK(dispatcher.LastSignOfLife(UpstreamNo(0)) == core::Instant{});
  dispatcher.Step(At(10), FirstOutputReceived{RequestNo(0)});
  CHECK(dispatcher.LastSignOfLife(UpstreamNo(0)) == At(10));
  dispatcher.Step(At(20), FirstOutputReceived{RequestNo(0)});
  CHECK(dispatcher.LastSignOfLife(UpstreamNo(0)) == At(20));
  dispatcher.Step(At(30), AttemptEnded{RequestNo(0), AttemptEnd::kFailed});
  CHECK(dispatcher.LastSignOfLife(UpstreamNo(0)) == At(20));
  dispatcher.Step(At(40), AttemptEnded{RequestNo(1), AttemptEnd::kRefused});
  CHECK(dispatcher.LastSignOfLife(UpstreamNo(0)) == At(40));
}

// Load pattern: a slow or failing upstream at peak load. u0 fails every request. It is ejected
// after two failures and fails once more in a trial.
TEST_CASE("an upstream that fails twice is ejected, then gets one trial request per ejection") {
  Dispatcher dispatcher = MakeDispatcher(2, 100);
  int n = 0;
  const auto sent_to_bad_upstream = [&](core::Instant now) {
    const auto assigned = ActionsOf<Assigned>(dispatcher.Step(now, Arrival(++n))).at(0);
    const bool bad = assigned.upstream == UpstreamNo(0);
    dispatcher.Step(now,
                    AttemptEnded{RequestNo(n), bad ? AttemptEnd::kFailed : AttemptEnd::kCompleted});
    return bad;
  };
  int failures = 0;
  for (int i = 0; i < 50; ++i) failures += sent_to_bad_upstream(At(i)) ? 1 : 0;
  CHECK(failures == 2);
  failures = 0;
  for (int i = 0; i < 200; ++i) failures += sent_to_bad_upstream(At(600 + i)) ? 1 : 0;
  CHECK(failures == 1);
}

TEST_CASE("an upstream whose address another one has taken over is ejected at once") {
  Dispatcher dispatcher = MakeDispatcher(1, 10);
  dispatcher.Step(At(0), Arrival(0));
  const auto actions = dispatcher.Step(At(1), AttemptEnded{RequestNo(0), AttemptEnd::kMisdirected});
  REQUIRE(ActionsOf<HealthChanged>(actions).size() == 1);
  CHECK(ActionsOf<HealthChanged>(actions).front().state == HealthState::kEjected);
  CHECK(ActionsOf<ServiceBlocked>(actions).empty());
}

// Load pattern: upstreams lost at peak load. All members of a group refuse because one is lost.
// Guards against sending the queue to a group that cannot serve it.
TEST_CASE("requests to a blocked group are rejected at once, and one request at a time tries it") {
  Dispatcher dispatcher = MakeDispatcher(4, 10);
  for (int n = 0; n < 8; ++n) dispatcher.Step(At(0), Arrival(n));
  std::vector<DispatchAction> actions;
  for (int n = 0; n < 8; ++n) {
    for (const auto& action :
         dispatcher.Step(At(1500), AttemptEnded{RequestNo(n), AttemptEnd::kBlocked})) {
      actions.push_back(action);
    }
  }
  REQUIRE(ActionsOf<ServiceBlocked>(actions).size() == 1);
  const auto refused = ActionsOf<Rejected>(dispatcher.Step(At(1510), Arrival(20)));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().reason == RejectReason::kBlocked);
  CHECK(refused.front().retry_after >= seconds(2));
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(2000), Arrival(21))).size() == 1);
  CHECK(ActionsOf<Rejected>(dispatcher.Step(At(2001), Arrival(22))).size() == 1);
  CHECK(ActionsOf<ServiceBlocked>(dispatcher.Step(At(2100), FirstOutputReceived{RequestNo(21)}))
            .size() == 1);
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(2101), Arrival(23))).size() == 1);
}

// Guards against BUDGET: an upstream that refuses names a time for which it wants no more requests.
TEST_CASE("an upstream gets nothing for the time that its refusal names") {
  Dispatcher dispatcher = MakeDispatcher(2, 4);
  dispatcher.Step(At(0), BackoffRequested{UpstreamNo(0), milliseconds(800)});
  // A shorter time that comes later does not end it.
  dispatcher.Step(At(10), BackoffRequested{UpstreamNo(0), milliseconds(100)});
  for (int n = 0; n < 4; ++n) {
    const auto assigned = ActionsOf<Assigned>(dispatcher.Step(At(500), Arrival(n)));
    REQUIRE(assigned.size() == 1);
    CHECK(assigned.front().upstream == UpstreamNo(1));
  }
  // The other one is full: the next request waits for the end of the time.
  CHECK(dispatcher.Step(At(600), Arrival(4)).empty());
  REQUIRE(dispatcher.NextWake());
  CHECK(*dispatcher.NextWake() <= At(800));
  const auto later = ActionsOf<Assigned>(dispatcher.Step(At(800), DispatchTick{}));
  REQUIRE(later.size() == 1);
  CHECK(later.front().upstream == UpstreamNo(0));
}

// Guards against waiting in vain: what cannot be served is rejected at once.
TEST_CASE("requests are rejected at once while all upstreams want none") {
  Dispatcher dispatcher = MakeDispatcher(2, 4);
  dispatcher.Step(At(0), BackoffRequested{UpstreamNo(0), seconds(3)});
  dispatcher.Step(At(0), BackoffRequested{UpstreamNo(1), seconds(2)});
  const auto rejected = ActionsOf<Rejected>(dispatcher.Step(At(100), Arrival(1)));
  REQUIRE(rejected.size() == 1);
  CHECK(rejected.front().retry_after >= milliseconds(1'900));
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(2'000), Arrival(2))).size() == 1);
}

TEST_CASE("an upstream that has started again wants requests") {
  Dispatcher dispatcher = MakeDispatcher(1, 4);
  dispatcher.Step(At(0), BackoffRequested{UpstreamNo(0), seconds(3)});
  dispatcher.Step(At(10), UpstreamsChanged{{{UpstreamNo(0), 4, 2}}});
  CHECK(ActionsOf<Assigned>(dispatcher.Step(At(20), Arrival(1))).size() == 1);
}

TEST_CASE("when all upstreams seem to fail, they are still used") {
  Dispatcher dispatcher = MakeDispatcher(3, 10);
  for (int n = 0; n < 12; ++n) {
    REQUIRE(ActionsOf<Assigned>(dispatcher.Step(At(n), Arrival(n))).size() == 1);
    dispatcher.Step(At(n), AttemptEnded{RequestNo(n), AttemptEnd::kFailed});
  }
}

// Load pattern: a burst of one account (hot key, immediate retries). Guards against starvation of
// the other accounts.
TEST_CASE("a request of a small account does not wait behind the burst of a large one") {
  Dispatcher dispatcher({.seed = 1, .initial_service_time = milliseconds(10)});
  dispatcher.Step(At(0), Upstreams(1, 1));
  dispatcher.Step(At(0), Arrival(0));
  for (int n = 1; n <= 20; ++n) dispatcher.Step(At(0), Arrival(n, seconds(5)));
  RequestArrived small = Arrival(99, seconds(5));
  small.account = core::ClientAccountId("small");
  dispatcher.Step(At(0), small);
  std::set<core::RequestId> served;
  core::RequestId running = RequestNo(0);
  for (int turn = 0; turn < 2; ++turn) {
    const auto next = ActionsOf<Assigned>(
        dispatcher.Step(At(5 + turn), AttemptEnded{running, AttemptEnd::kCompleted}));
    REQUIRE(next.size() == 1);
    running = next.front().request;
    served.insert(running);
  }
  CHECK(served.contains(RequestNo(99)));
}

TEST_CASE("every request is assigned or rejected once, and the in-flight counts stay exact") {
  CHECK(rc::check([](std::uint64_t seed) {
    core::Random random(seed);
    Dispatcher dispatcher({.seed = seed});
    std::set<core::RequestId> waiting;
    std::set<core::RequestId> running;
    std::int64_t ms = 0;
    int next = 0;
    const auto check_decided_once = [&](const std::vector<DispatchAction>& actions) {
      for (const auto& assigned : ActionsOf<Assigned>(actions)) {
        RC_ASSERT(waiting.erase(assigned.request) == 1);
        running.insert(assigned.request);
      }
      for (const auto& rejected : ActionsOf<Rejected>(actions)) {
        RC_ASSERT(waiting.erase(rejected.request) == 1);
      }
    };
    for (int i = 0; i < 400; ++i) {
      ms += static_cast<std::int64_t>(random.Below(40));
      switch (random.Below(6)) {
        case 0:
          check_decided_once(
              dispatcher.Step(At(ms), Upstreams(static_cast<int>(random.Below(5)), 3)));
          break;
        case 1:
        case 2:
          waiting.insert(RequestNo(++next));
          check_decided_once(dispatcher.Step(At(ms), Arrival(next)));
          break;
        case 3: {
          if (running.empty()) break;
          const core::RequestId ended = *running.begin();
          running.erase(running.begin());
          check_decided_once(dispatcher.Step(
              At(ms), AttemptEnded{ended, static_cast<AttemptEnd>(random.Below(7))}));
          break;
        }
        case 4:
          if (!running.empty()) {
            check_decided_once(dispatcher.Step(At(ms), FirstOutputReceived{*running.rbegin()}));
          }
          break;
        default:
          check_decided_once(dispatcher.Step(At(ms), DispatchTick{}));
      }
      std::size_t in_flight = 0;
      for (const auto& [upstream, count] : dispatcher.InFlight()) in_flight += count;
      RC_ASSERT(in_flight == running.size());
      RC_ASSERT(dispatcher.waiting() == waiting.size());
    }
  }));
}

}  // namespace cornelrelay::dispatch
