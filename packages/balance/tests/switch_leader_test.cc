#include "cornelrelay/balance/switch_leader.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "cornelrelay/balance/rank_state_table.h"
#include "switch_simulation.h"

namespace cornelrelay::balance {
namespace {

std::set<std::string> Detected(SwitchSimulationSettings settings, SwitchFault fault) {
  settings.fault = fault;
  std::set<std::string> detected;
  for (std::uint64_t seed = 1; seed <= 2000 && detected.empty(); ++seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    detected.insert(simulation.violations().begin(), simulation.violations().end());
  }
  return detected;
}

const SwitchSimulationSettings kFaultyGroup{.ranks = 3,
                                            .lost_order_rate = 0.05,
                                            .late_order_rate = 0.25,
                                            .lost_answer_rate = 0.05,
                                            .freeze_rate = 0.004,
                                            .lapse_rate = 0.002,
                                            .regroup_rate = 0.0005};

/// A group whose leader changes often, and whose states arrive much later than answers to orders.
const SwitchSimulationSettings kUnsteadyGroup{.ranks = 2,
                                              .lost_order_rate = 0.05,
                                              .late_order_rate = 0.4,
                                              .lost_answer_rate = 0.05,
                                              .freeze_rate = 0.02,
                                              .lapse_rate = 0.02,
                                              .regroup_rate = 0.0005,
                                              .max_state_delay = std::chrono::milliseconds(1500)};

/// Engines of two ranks under a succession of leaders. Each leader stops with its first order of a
/// chosen kind, which is executed later.
class TwoRanks {
 public:
  using Choice = std::function<bool(const SendOrder&)>;

  /// \brief Runs the next leader. Returns its late order, or nothing if it gave no such order.
  std::optional<SendOrder> RunLeader(const std::optional<LayerMap>& map, const Choice& is_late) {
    SwitchLeaderConfig config;
    config.ranks = 2;
    config.self = static_cast<RankIndex>(m_fence % 2);
    SwitchLeader leader(config);
    std::deque<SwitchEvent> events{LeadershipGained{++m_fence}};
    for (int tick = 0; tick < 1'000; ++tick) {
      if (map && leader.ReadyForSwitch()) events.emplace_back(MapRequested{*map});
      events.emplace_back(SwitchTick{});
      while (!events.empty()) {
        const SwitchEvent event = events.front();
        events.pop_front();
        for (const SwitchAction& action : leader.Step(m_now, event)) {
          const auto* send = std::get_if<SendOrder>(&action);
          if (send == nullptr) continue;
          if (is_late(*send)) return *send;
          const OrderResult result = Execute(*send);
          events.emplace_back(OrderEnded{send->rank, result, m_engines[send->rank].state(), m_now});
        }
      }
      m_now += std::chrono::milliseconds(10);
      if (tick % 5 == 4) RunPass();
    }
    return std::nullopt;
  }

  OrderResult Execute(const SendOrder& send) {
    return m_engines[send.rank].ExecuteOrder(send.epoch, send.order);
  }

  void RunPass() {
    const StepIndex next = m_engines[0].state().step + 1;
    for (const SimulatedEngine& engine : m_engines) {
      if (engine.HoldsPass(next)) return;
    }
    for (SimulatedEngine& engine : m_engines) engine.BeginPass(next);
    if (m_engines[0].state().map != m_engines[1].state().map) m_maps_differed = true;
  }

  bool maps_differed() const { return m_maps_differed; }

 private:
  std::vector<SimulatedEngine> m_engines{SimulatedEngine({0, 2}), SimulatedEngine({1, 3})};
  core::Instant m_now{};
  Fence m_fence = 0;
  bool m_maps_differed = false;
};

template <typename Order>
bool IsOrder(const SendOrder& send) {
  return std::holds_alternative<Order>(send.order);
}

}  // namespace

// Guards against switches that hold passes although nothing is lost, late or frozen.
TEST_CASE("without faults, switches follow each other and hardly delay any pass") {
  SwitchSimulation simulation({.ranks = 4}, 1);
  simulation.Run(3000);
  CHECK(simulation.violations().empty());
  CHECK(simulation.switches() > 20);
  // More than twenty switches in 30 s may cost less than one pass in twenty.
  CHECK(simulation.passes() > 570);
}

// Guards against ranks that use different maps in one pass, for example after a late order.
TEST_CASE("no pass runs with two maps under lost or late orders and frozen leaders") {
  CHECK(rc::check([](std::uint64_t seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    RC_ASSERT(simulation.violations().empty());
  }));
}

// Load pattern: a large group, where one call carries an order to many ranks and brings all
// results.
TEST_CASE("no pass runs with two maps if the results of many orders arrive together") {
  SwitchSimulationSettings settings = kFaultyGroup;
  settings.batched_results = true;
  CHECK(rc::check([&](std::uint64_t seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    RC_ASSERT(simulation.violations().empty());
  }));
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(settings, seed);
    simulation.Run(3000);
    switches += simulation.switches();
    CHECK(simulation.passes() > 300);
    // A leader freezes for 4.5 s at most, and its lease runs out before that.
    CHECK(simulation.longest_hold() < 5'000 / 50);
  }
  CHECK(switches > 20);
  settings = kUnsteadyGroup;
  settings.batched_results = true;
  for (const SwitchFault fault : {SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                                  SwitchFault::kReuseVersions, SwitchFault::kIgnoreFence}) {
    CAPTURE(static_cast<int>(fault));
    CHECK_FALSE(Detected(settings, fault).empty());
  }
}

// Guards against a late order to disarm, of a leader that stopped, that is executed after a later
// leader found all ranks armed and released the pass.
TEST_CASE("a late order to disarm does not split a switch that a later leader completes") {
  TwoRanks group;
  const auto arm = group.RunLeader(LayerMap{{{1, 2}, {0, 3}}}, [](const SendOrder& send) {
    return IsOrder<ArmMap>(send) && send.rank == 1;
  });
  REQUIRE(arm);
  const auto disarm = group.RunLeader(std::nullopt, IsOrder<DisarmMap>);
  group.Execute(*arm);
  const auto release = group.RunLeader(std::nullopt, IsOrder<ReleasePass>);
  REQUIRE(release);
  if (disarm) group.Execute(*disarm);
  group.Execute(*release);
  group.RunPass();
  CHECK_FALSE(group.maps_differed());
}

// Guards against ranks that use different maps after leaders took over from each other in a switch.
TEST_CASE("no pass runs with two maps while leaders change often and states are old") {
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    SwitchSimulation simulation(kUnsteadyGroup, seed);
    simulation.Run(3000);
    CHECK(simulation.violations().empty());
    switches += simulation.switches();
  }
  CHECK(switches > 500);
}

// Guards against a hold that is taken for standing after a newer state has shown its release.
TEST_CASE("a state that was requested before the last one arrived is not used") {
  RankStateTable table(2, 0, std::chrono::milliseconds(50));
  const core::Instant now{std::chrono::seconds(1)};
  RankState state;
  state.step = 5;
  state.held = 6;
  table.Observe(now, 1, state, now);
  REQUIRE(table.PassHeldAt(1));
  state.held.reset();
  table.Observe(now + std::chrono::milliseconds(20), 1, state, now);
  CHECK_FALSE(table.PassHeldAt(1));
  state.held = 6;
  table.Observe(now + std::chrono::milliseconds(30), 1, state, now + std::chrono::milliseconds(10));
  CHECK_FALSE(table.PassHeldAt(1));
  table.Observe(now + std::chrono::milliseconds(40), 1, state, now + std::chrono::milliseconds(20));
  CHECK(table.PassHeldAt(1));
}

// Guards against a next map that is planned against old states, and against needless reads of all
// states. Load pattern: the demand shifts while hosts freeze and groups form again.
TEST_CASE("all states are read after a switch, and not after one that failed or was taken over") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    CHECK(simulation.state_reads() == simulation.switches());
  }
}

// Guards against a pass that stays held after its leader froze or lost its lease.
TEST_CASE("a group with faults still switches, and no pass is held forever") {
  std::uint64_t switches = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SwitchSimulation simulation(kFaultyGroup, seed);
    simulation.Run(3000);
    switches += simulation.switches();
    CHECK(simulation.passes() > 300);
    // A leader freezes for 4.5 s at most, and its lease runs out before that.
    CHECK(simulation.longest_hold() < 5'000 / 50);
  }
  CHECK(switches > 20);
}

// Guards against a pass that stays held in a small group after a leader whose releases of it at all
// ranks are late has lost the lead and taken it again.
TEST_CASE("no pass is held forever while leaders of two ranks take over from each other") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    CAPTURE(seed);
    SwitchSimulation simulation({.ranks = 2, .late_order_rate = 0.1, .lapse_rate = 0.02}, seed);
    simulation.Run(3000);
    CHECK(simulation.violations().empty());
    // As for the group with faults, though no leader freezes here.
    CHECK(simulation.longest_hold() < 5'000 / 50);
  }
}

// Guards against checks that cannot fail: each deliberate fault must produce a violation.
TEST_CASE("each deliberate fault is detected") {
  const auto fault = GENERATE(SwitchFault::kReleaseUnconfirmed, SwitchFault::kSkipAbort,
                              SwitchFault::kReuseVersions, SwitchFault::kAcceptOldStates,
                              SwitchFault::kIgnoreFence);
  CAPTURE(static_cast<int>(fault));
  CHECK_FALSE(Detected(kUnsteadyGroup, fault).empty());
}

// Guards against orders of a former leader that arrive after a newer one or after a restart.
TEST_CASE("a fence guard rejects all orders before a fence is known, and older ones after it") {
  FenceGuard guard;
  CHECK_FALSE(guard.Admit(7));
  guard.RaiseFence(5);
  CHECK(guard.Admit(7));
  CHECK_FALSE(guard.Admit(6));
}

}  // namespace cornelrelay::balance
