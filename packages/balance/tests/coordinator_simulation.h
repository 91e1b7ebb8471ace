#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/balance/map_switch_coordinator.h"
#include "cornelrelay/balance/rank_gate.h"
#include "cornelrelay/core/random.h"

namespace cornelrelay::balance::testing {

/// \brief Simulates a group of ranks with engines and gates, two coordinators and the store. It
/// checks that all ranks use one map in each step, with its weights loaded, and that no order with
/// an old fence reaches an engine.
class CoordinatorSimulation {
 public:
  CoordinatorSimulation(std::uint64_t seed, BalanceFaults faults, bool engines_check_fences);

  /// Performs one random operation, which may be a fault.
  void RandomStep();
  /// Ends all faults and makes coordinator 0 the holder of the lease.
  void EndFaults();
  /// Delivers all messages and runs the ranks for some time, without faults.
  void RunWithoutFaults();
  /// Kills a rank permanently and reports it to the coordinators.
  void KillRank(RankIndex rank);
  void RequestSwitch();

  const std::vector<std::string>& violations() const { return m_violations; }
  /// Returns the last step that all ranks have started.
  StepIndex last_common_step() const;
  const MapSwitchCoordinator& coordinator() const { return m_coordinators[0].machine; }
  /// Ranks whose engine holds other experts than the current map gives them.
  int RanksWithWrongWeights() const;
  std::set<RankIndex> LiveRanks() const;
  /// Returns the number of plans that a coordinator has reported as committed.
  std::uint64_t committed_plans() const { return m_committed_plans; }

 private:
  struct Message {
    std::function<void()> deliver;
    std::function<void()> lose;  ///< tells the sender that the store's answer is lost
    bool network = false;        ///< may be dropped or repeated
    int paused_by = -1;          ///< not delivered while this coordinator is paused
  };
  struct Coordinator {
    explicit Coordinator(MapSwitchCoordinator m) : machine(std::move(m)) {}
    MapSwitchCoordinator machine;
    /// Rises with each restart of the coordinator. Store answers to an older one are dropped.
    int generation = 0;
    bool paused = false;
  };
  struct Rank {
    bool alive = true;
    std::uint64_t incarnation = 1;  ///< incarnation of the engine
    std::set<ExpertIndex> loaded;
    StepIndex last_step = 0;
    Fence highest_fence = 0;  ///< highest fence that the gate has read or the engine has seen
    std::optional<RankGate> gate;
    /// Rises with each start of the gate. Store and engine answers to an older one are dropped.
    int generation = 0;
  };

  void StepCoordinator(int c, const CoordinatorEvent& event);
  void StepGate(RankIndex r, const GateEvent& event);
  void Perform(RankIndex r, const GateAction& action);
  void SendToGate(RankIndex r, int generation, const GateEvent& event, bool network);
  void SendToCoordinator(int c, const CoordinatorEvent& event);
  void ReportProgress(RankIndex r);
  void ReportEngine(RankIndex r, int generation);
  void RestartGate(RankIndex r);
  void RestartEngine(RankIndex r);
  void GrantLease(int c);
  void RequestStep(RankIndex r);
  void SendToEngine(RankIndex r, const GateAction& action);
  void HandleAllowedStep(RankIndex r, const AllowStep& allowed);
  bool CheckFence(Rank& rank, Fence fence);
  ExpertMap RandomMap();
  int RandomBelow(std::uint64_t bound) { return static_cast<int>(m_random.Below(bound)); }

  core::Random m_random;
  BalanceFaults m_faults;
  bool m_engines_check_fences;
  std::uint64_t m_fault_divisor = 1;  ///< one in this many of the drawn faults takes place
  CoordinatorSettings m_settings;
  core::Instant m_now;
  std::vector<Coordinator> m_coordinators;
  std::vector<Rank> m_ranks;
  std::vector<Message> m_messages;
  PlanRecord m_plan;
  PlanRevision m_revision = 0;
  Fence m_lease = 0;
  std::uint64_t m_next_version = 1;
  std::uint64_t m_committed_plans = 0;
  std::map<StepIndex, std::uint64_t> m_step_map_versions;  ///< version of the map used by each step
  std::vector<std::string> m_violations;
};

}  // namespace cornelrelay::balance::testing
