#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "cornelrelay/routing/hedge_policy.h"
#include "router_fixture.h"

namespace cornelrelay::routing {
namespace {

// Guards against a slow replica keeping its share, or losing it only after many of its results.
TEST_CASE("a replica five times slower loses its share within a few requests") {
  Driver driver({.seed = 3}, Fleet(16));
  std::map<core::UpstreamId, int> sent;
  int to_slow = 0;
  std::multimap<core::Instant, std::size_t> ends;
  for (int ms = 0; ms < 20000; ms += 10) {
    while (!ends.empty() && ends.begin()->first <= At(ms)) {
      driver.Finish(ends.begin()->first, ends.begin()->second);
      ends.erase(ends.begin());
    }
    const core::UpstreamId chosen = driver.Start(At(ms));
    to_slow += chosen == Replica(4) ? 1 : 0;
    ends.emplace(At(ms + (chosen == Replica(4) ? 500 : 100)), driver.last_attempt());
  }
  CHECK(to_slow < 2000 / 16 / 4);
  CHECK(driver.router().replicas().at(Replica(4)).phase == ReplicaPhase::kSlow);
}

// Guards against scoring a stalled replica by its earlier results: a replica that returns nothing
// yields no worse results.
TEST_CASE("a stalled replica gets no requests while its first tokens are overdue") {
  Driver driver({.seed = 5}, Fleet(4));
  std::multimap<core::Instant, std::size_t> ends;
  int to_stalled = 0;
  for (int ms = 0; ms < 8000; ms += 20) {
    while (!ends.empty() && ends.begin()->first <= At(ms)) {
      driver.Finish(ends.begin()->first, ends.begin()->second);
      ends.erase(ends.begin());
    }
    const bool unanswered = driver.Start(At(ms)) == Replica(0) && ms > 4000;
    to_stalled += unanswered && ms > 6000 ? 1 : 0;
    if (!unanswered) ends.emplace(At(ms + 60), driver.last_attempt());
  }
  CHECK(to_stalled <= 2);
}

// Guards against a decision that omits the replicas that were not chosen because it was a probe.
TEST_CASE("a decision lists every replica, also when it is a probe") {
  ReplicaRouter router({.seed = 2});
  router.Step(At(0), ReplicaSetUpdated{Fleet(10)});
  // Three consecutive failures eject a replica. After the probe interval it gets one probe.
  for (int i = 0; i < 3; ++i) {
    const core::AttemptId attempt("failed-" + std::to_string(i));
    router.Step(At(1), AttemptStarted{attempt, Replica(0), {}, {}});
    router.Step(At(2), AttemptFailed{attempt});
  }
  const auto decision = router.Choose(At(60'000), RouteQuery{});
  REQUIRE(decision.probe);
  CHECK(decision.chosen == Replica(0));
  CHECK(decision.candidates.size() == 10);
}

// Guards against removing most of a fleet when the entry process itself is cut off, and against
// keeping a single dead replica.
TEST_CASE("replicas lost together stay in use, a few lost replicas do not") {
  for (const std::size_t lost : {1U, 5U, 6U, 16U}) {
    Driver driver({.seed = 1}, Fleet(16));
    auto fleet = Fleet(16);
    for (std::size_t i = 0; i < lost; ++i) fleet[i].usable = false;
    driver.router().Step(At(100), ReplicaSetUpdated{fleet});
    CHECK(driver.router().suspects_isolation() == (lost > 5));
    bool used = false;
    for (int i = 0; i < 300; ++i) used = driver.Start(At(200)) < Replica(lost) || used;
    CHECK(used == (lost > 5));
    driver.router().Step(At(300), ReplicaSetUpdated{Fleet(16)});
    CHECK_FALSE(driver.router().suspects_isolation());
  }
}

// Guards against using a replica that announced its departure (requirement R5) because the router
// suspects that its own process is cut off.
TEST_CASE("a leaving replica gets no requests, even when all others seem lost") {
  Driver driver({.seed = 1}, Fleet(4));
  auto fleet = Fleet(4);
  for (auto& status : fleet) status.usable = false;
  fleet[2].leaving = true;
  driver.router().Step(At(100), ReplicaSetUpdated{fleet});
  for (int i = 0; i < 200; ++i) CHECK(driver.Start(At(200)) != Replica(2));
  for (auto& status : fleet) status.leaving = true;
  driver.router().Step(At(300), ReplicaSetUpdated{fleet});
  CHECK_FALSE(driver.router().Choose(At(300), {}).chosen.has_value());
}

// Guards against a new replica getting all requests at once because its queue is empty.
TEST_CASE("a new replica gets a slow start") {
  Driver driver({.seed = 9}, Fleet(4));
  for (int i = 0; i < 40; ++i) driver.Start(At(10));
  driver.router().Step(At(1000), ReplicaSetUpdated{Fleet(5)});
  int early = 0;
  for (int i = 0; i < 40; ++i) early += driver.Start(At(1000)) == Replica(4) ? 1 : 0;
  CHECK(early == 1);
  int later = 0;
  for (int i = 0; i < 40; ++i) later += driver.Start(At(17000)) == Replica(4) ? 1 : 0;
  CHECK(later > 3);
}

// Guards against a dead replica that is still listed getting more than one attempt at a time after
// its failures, and against it staying ejected after it recovers.
TEST_CASE("consecutive failures eject a replica until an attempt succeeds") {
  Driver driver({.seed = 2}, Fleet(8));
  int failures = 0;
  for (int ms = 0; ms < 4000; ms += 10) {
    if (driver.Start(At(ms)) == Replica(1)) {
      driver.Fail(At(ms), driver.last_attempt());
      ++failures;
    } else {
      driver.Finish(At(ms + 5), driver.last_attempt());
    }
  }
  CHECK(failures == 3);
  int successes = 0;
  for (int ms = 10000; ms < 40000; ms += 10) {
    successes += driver.Start(At(ms)) == Replica(1) ? 1 : 0;
    driver.Finish(At(ms + 5), driver.last_attempt());
  }
  CHECK(successes > 50);
  CHECK(driver.router().replicas().at(Replica(1)).phase == ReplicaPhase::kSteady);
}

// Guards against an older report, delivered late, overwriting a newer one.
TEST_CASE("reports apply in the order of measurement") {
  Driver driver({.seed = 2}, Fleet(2));
  using std::chrono::milliseconds;
  const auto report = [](std::uint64_t n, core::Duration age) {
    return LoadReported{Replica(0), {QuantisedLoad::From(n), QuantisedLoad::From(n), age}};
  };
  driver.router().Step(At(5000), report(4, milliseconds(100)));
  driver.router().Step(At(5100), report(400, milliseconds(1000)));
  CHECK(driver.router().replicas().at(Replica(0)).others_outstanding == 4);
}

// Guards against cache misses because the requests of a conversation go to several replicas, and
// against overloading the replica that holds its prefix.
TEST_CASE("requests with a prefix go to its replica within the load bound") {
  RouterConfig config{.seed = 2};
  Driver driver(config, Fleet(8));
  RouteQuery query;
  query.size = {1000, 0, 900};
  query.prefix_key = PrefixKey("conversation");
  const core::UpstreamId first = driver.Start(At(0), query);
  driver.Finish(At(50), 1);
  for (int i = 1; i < 10; ++i) {
    CHECK(driver.Start(At(i * 1000), query) == first);
    driver.Finish(At(i * 1000 + 50), driver.last_attempt());
  }
  std::map<core::UpstreamId, int> burst;
  for (int i = 0; i < 80; ++i) ++burst[driver.Start(At(20000), query)];
  CHECK(burst.size() == 8);
  CHECK(burst[first] < 30);
}

// Guards against entry processes that all see the same stale report choosing the same replica.
TEST_CASE("routers with the same view and different seeds do not all choose the same replica") {
  auto fleet = Fleet(16);
  for (auto& status : fleet) status.load.outstanding = QuantisedLoad::From(40);
  fleet[7].load.outstanding = QuantisedLoad::From(0);
  int same_choice = 0;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Driver driver({.seed = seed}, fleet);
    same_choice += driver.Start(At(10)) == Replica(7) ? 1 : 0;
  }
  CHECK(same_choice < 60);
}

// Guards against requests leaving the data centre while it has capacity, and staying there when it
// has none.
TEST_CASE("requests spill over only beyond the threshold") {
  RouterConfig config{.seed = 4, .data_centre = core::DataCentreId("dc-0")};
  config.one_way_latencies[core::DataCentreId("dc-1")] = std::chrono::milliseconds(40);
  config.one_way_latencies[core::DataCentreId("dc-2")] = std::chrono::milliseconds(50);
  Driver driver(config, Fleet(12));
  RouteQuery query;
  query.size.prompt = 100;  // expected to take 10 ms each until the first result
  query.spill_over_threshold = std::chrono::milliseconds(200);
  std::map<std::string, int> sent;
  for (int i = 0; i < 20; ++i) {
    const auto chosen = driver.Start(At(0), query);
    ++sent[driver.router().replicas().at(chosen).status.data_centre.value()];
  }
  CHECK(sent["dc-0"] == 20);
  for (int i = 0; i < 200; ++i) {
    const auto chosen = driver.Start(At(0), query);
    ++sent[driver.router().replicas().at(chosen).status.data_centre.value()];
  }
  CHECK(sent["dc-1"] > 20);
  CHECK(sent["dc-2"] > 20);
}

// Guards against a second attempt of a request that must not be repeated.
TEST_CASE("only idempotent requests are hedged") {
  const HedgePolicy policy({.enabled = true});
  CHECK_FALSE(policy.HedgeTime(At(0), std::chrono::milliseconds(100), false).has_value());
  CHECK(policy.HedgeTime(At(0), std::chrono::milliseconds(100), true) == At(300));
  CHECK_FALSE(HedgePolicy({}).HedgeTime(At(0), std::chrono::milliseconds(100), true).has_value());
}

}  // namespace
}  // namespace cornelrelay::routing
