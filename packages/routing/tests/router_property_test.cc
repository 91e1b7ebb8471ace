#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "cornelrelay/routing/router_state_json.h"
#include "router_fixture.h"

namespace cornelrelay::routing {
namespace {

// Returns random events and their times: changes of the replica set, late load reports, and
// attempts that end in every way and in any order.
std::vector<std::pair<core::Instant, RouterEvent>> RandomHistory(std::uint64_t seed,
                                                                 std::size_t length) {
  core::Random random(seed);
  std::vector<std::pair<core::Instant, RouterEvent>> history;
  std::int64_t ms = 0;
  const auto attempt = [&] {
    return core::AttemptId("attempt-" + std::to_string(random.Below(length / 2 + 1)));
  };
  for (std::size_t i = 0; i < length; ++i) {
    ms += static_cast<std::int64_t>(random.Below(200));
    RouteQuery query;
    query.size = {100 + random.Unit() * 900, 20, 50};
    query.prefix_key = PrefixKey("prefix-" + std::to_string(random.Below(5)));
    query.priority = static_cast<std::uint8_t>(random.Below(3));
    switch (random.Below(10)) {
      case 0: {
        auto fleet = Fleet(1 + random.Below(10));
        for (auto& status : fleet) {
          status.usable = random.Below(5) != 0;
          status.leaving = random.Below(10) == 0;
        }
        history.emplace_back(At(ms), ReplicaSetUpdated{fleet});
        break;
      }
      case 1:
        history.emplace_back(At(ms), LoadReported{Replica(random.Below(10)),
                                                  {QuantisedLoad::From(random.Below(50)),
                                                   {},
                                                   At(random.Below(3000)) - At(0)}});
        break;
      case 2:
        history.emplace_back(At(ms), AttemptFailed{attempt()});
        break;
      case 3:
        history.emplace_back(At(ms), AttemptCancelled{attempt()});
        break;
      case 4:
        history.emplace_back(At(ms), FirstTokenReceived{attempt()});
        break;
      case 5:
        history.emplace_back(At(ms),
                             StreamProgressed{attempt(), static_cast<double>(random.Below(100))});
        break;
      case 6:
        history.emplace_back(At(ms),
                             AttemptFinished{attempt(), static_cast<double>(random.Below(200))});
        break;
      case 7:
        if (random.Below(2) == 0) query.excluded.insert(Replica(random.Below(10)));
        history.emplace_back(At(ms), query);
        break;
      default:
        history.emplace_back(At(ms), AttemptStarted{attempt(), Replica(random.Below(10)),
                                                    query.size, query.prefix_key});
    }
  }
  return history;
}

// Guards against decisions that depend on memory addresses, hash order or anything else besides the
// events and the seed.
TEST_CASE("a replay of the events gives the same decisions and state") {
  CHECK(rc::check([](std::uint64_t seed) {
    const auto history = RandomHistory(seed, 300);
    ReplicaRouter a({.seed = seed});
    ReplicaRouter b({.seed = seed});
    for (const auto& [now, event] : history) {
      const auto first = a.Step(now, event);
      RC_ASSERT((first == b.Step(now, event)));
    }
    RC_ASSERT(ToJson(a) == ToJson(b));
  }));
}

// Guards against choosing a replica that must not get requests, finding none while one is eligible,
// and counts of attempts in flight that drift.
TEST_CASE("choices respect exclusions and in-flight counts stay consistent") {
  CHECK(rc::check([](std::uint64_t seed) {
    ReplicaRouter router({.seed = seed});
    std::map<core::UpstreamId, ReplicaStatus> last;
    for (const auto& [now, event] : RandomHistory(seed, 300)) {
      const auto actions = router.Step(now, event);
      if (const auto* set = std::get_if<ReplicaSetUpdated>(&event)) {
        last.clear();
        for (const auto& status : set->replicas) last[status.id] = status;
      }
      if (const auto* query = std::get_if<RouteQuery>(&event)) {
        const auto& decision = std::get<RoutingDecision>(actions.at(0));
        RC_ASSERT(decision.candidates.size() == router.replicas().size());
        bool any_eligible = false;
        for (const auto& [id, status] : last) {
          any_eligible =
              any_eligible || (status.usable && !status.leaving && !query->excluded.contains(id) &&
                               router.replicas().at(id).phase != ReplicaPhase::kEjected);
        }
        RC_ASSERT(!any_eligible || decision.chosen.has_value());
        if (!decision.chosen) continue;
        RC_ASSERT(!query->excluded.contains(*decision.chosen));
        const bool listed = last.contains(*decision.chosen);
        RC_ASSERT(!listed || !last[*decision.chosen].leaving);
        RC_ASSERT((listed && last[*decision.chosen].usable) || router.suspects_isolation());
      }
      double outstanding = 0;
      for (const auto& [id, record] : router.replicas()) {
        RC_ASSERT(record.pending_work >= 0);
        RC_ASSERT(static_cast<double>(record.first_token_due.size()) <= record.outstanding);
        outstanding += record.outstanding;
      }
      RC_ASSERT(outstanding <= static_cast<double>(router.attempts_in_flight()));
    }
  }));
}

// Guards against a quantised load whose error exceeds the documented 7%, or that changes when it is
// encoded again.
TEST_CASE("quantised loads stay within the error bound") {
  CHECK(rc::check([](std::uint32_t value) {
    const std::uint64_t load = value % 1000000;
    const QuantisedLoad quantised = QuantisedLoad::From(load);
    RC_ASSERT(std::abs(quantised.value() - static_cast<double>(load)) <=
              0.07 * static_cast<double>(load));
    RC_ASSERT(QuantisedLoad::From(static_cast<std::uint64_t>(quantised.value() + 0.5)) ==
              quantised);
  }));
}

}  // namespace
}  // namespace cornelrelay::routing
