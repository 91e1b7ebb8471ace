#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/balance/fence_guard.h"
#include "cornelrelay/balance/switch_leader.h"
#include "cornelrelay/core/random.h"

namespace cornelrelay::balance {

/// \brief Simulated engine of one rank that follows the engine protocol.
class SimulatedEngine {
 public:
  explicit SimulatedEngine(std::vector<std::uint16_t> experts) { Reset(0, std::move(experts)); }

  void Reset(std::uint64_t epoch, std::vector<std::uint16_t> experts);
  OrderResult ExecuteOrder(std::uint64_t epoch, const RankOrder& order);
  /// \brief Begins a pass, and switches the map if the engine is armed for that pass.
  void BeginPass(StepIndex step);
  bool HoldsPass(StepIndex step) const { return m_state.held == step; }
  const RankState& state() const { return m_state; }
  const LayerMap& content() const { return m_content; }

 private:
  OrderResult Execute(const PrepareMap& order);
  OrderResult Execute(const ArmMap& order);
  OrderResult Execute(const DisarmMap& order);
  OrderResult Execute(const HoldPass& order);
  OrderResult Execute(const ReleasePass& order);
  OrderResult Execute(const ObserveRank&) { return OrderResult::kDone; }

  RankState m_state;
  LayerMap m_content;  ///< contents of the map in use; empty for the initial map
  LayerMap m_prepared_content;
  MapVersion m_highest_version = 0;
};

/// \brief Deliberate faults, each of which the checks of the simulation must detect.
enum class SwitchFault {
  kNone,
  kReleaseUnconfirmed,  ///< releases the pass before all ranks are known to be armed
  kSkipAbort,           ///< releases the pass of a failed switch while ranks can still switch
  kReuseVersions,       ///< two leaders use the same versions for different maps
  kAcceptOldStates,     ///< treats every received state as the newest
  kIgnoreFence,         ///< orders of former leaders are executed
};

struct SwitchSimulationSettings {
  RankIndex ranks = 3;
  double lost_order_rate = 0;   ///< share of orders that are neither executed nor answered
  double late_order_rate = 0;   ///< share of orders that are executed later and not answered
  double lost_answer_rate = 0;  ///< share of orders that are executed at once and not answered
  double freeze_rate = 0;       ///< probability per tick that the leader freezes
  double lapse_rate = 0;        ///< probability per tick that the lease of a live leader lapses
  double regroup_rate = 0;      ///< probability per tick that the group forms again
  /// Limit for the delay of observed states, which can overtake each other.
  std::chrono::milliseconds max_state_delay{120};
  bool batched_results = false;  ///< the results of the orders of one step arrive together
  SwitchFault fault = SwitchFault::kNone;
};

/// \brief Simulates two candidates for the leadership of one group, and the engines of its ranks.
class SwitchSimulation {
 public:
  SwitchSimulation(SwitchSimulationSettings settings, std::uint64_t seed);

  void Run(int ticks);

  /// \brief Invariants that were violated.
  const std::set<std::string>& violations() const { return m_violations; }
  std::uint64_t switches() const { return m_switches; }
  /// \brief Number of times that a leader requested the states of all ranks.
  std::uint64_t state_reads() const { return m_state_reads; }
  std::uint64_t passes() const { return m_passes; }
  /// \brief Longest time for which a pass was held, in pass durations.
  int longest_hold() const { return m_longest_hold; }

 private:
  struct LateOrder {
    core::Instant at;
    RankIndex rank;
    std::uint64_t epoch;
    RankOrder order;
  };
  struct Observation {
    core::Instant at;
    RankObserved event;
  };
  struct Candidate {
    SwitchLeader machine;
    bool leads = false;
    core::Instant frozen_until{};
    core::Instant lease_until{};
    std::vector<Observation> observations;  ///< states in flight
  };

  void Tick();
  void Elect();
  void RunPass();
  void StepCandidate(std::size_t index, const SwitchEvent& event);
  void DeliverObservations(std::size_t index);
  /// \brief Checks that a map that a completed switch names is the one that the ranks use.
  void CheckNamedMap(const SwitchEnded& ended);
  OrderEnded DeliverOrder(const SendOrder& send);
  std::vector<std::uint16_t> InitialExperts(RankIndex rank) const;

  SwitchSimulationSettings m_settings;
  core::Random m_random;
  core::Instant m_now{};
  std::vector<SimulatedEngine> m_engines;
  std::vector<FenceGuard> m_fence_guards;
  std::vector<Candidate> m_candidates;
  std::vector<LateOrder> m_late;
  Fence m_fence = 0;
  std::uint64_t m_epoch = 1;
  StepIndex m_step = 0;
  std::uint64_t m_passes = 0;  ///< over all epochs
  int m_consecutive_held = 0;  ///< times in a row that the next pass was due, but held
  int m_longest_hold = 0;
  std::uint64_t m_switches = 0;
  std::uint64_t m_state_reads = 0;
  std::set<std::string> m_violations;
};

}  // namespace cornelrelay::balance
