#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelrelay/balance/balance_faults.h"
#include "cornelrelay/balance/coordinator_events.h"
#include "cornelrelay/balance/coordinator_settings.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::balance {

/// \brief Switches a group to a new expert map: propose, load on all ranks, confirm, decide.
///
/// Proposal and decision are compare-and-swaps of the group's plan record. A coordinator that
/// starts with a new fence aborts an undecided plan, after which the former coordinator can no
/// longer commit it.
///
/// \code
/// MapSwitchCoordinator coordinator(settings);
/// coordinator.Step(now, LeaseAcquired{fence});
/// for (const CoordinatorAction& a : coordinator.Step(now, SwitchRequested{map})) Perform(a);
/// \endcode
class MapSwitchCoordinator {
 public:
  explicit MapSwitchCoordinator(CoordinatorSettings settings, BalanceFaults faults = {});

  std::vector<CoordinatorAction> Step(core::Instant now, const CoordinatorEvent& event);

  enum class Phase {
    kNoLease,
    kReading,   ///< reads the plan record, also after a lost race or answer
    kWaiting,   ///< waits before it reads the plan record
    kClaiming,  ///< writes its fence into the plan record
    kReady,
    kProposing,
    kPreparing,
    kDeciding,
  };

  Phase phase() const { return m_phase; }
  const PlanRecord& record() const { return m_record; }
  const std::set<RankIndex>& confirmed() const { return m_confirmed; }
  const std::set<RankIndex>& live() const { return m_live; }
  Fence fence() const { return m_fence; }
  const std::set<ExpertIndex>& unserved() const { return m_unserved; }

 private:
  using Actions = std::vector<CoordinatorAction>;

  void Handle(core::Instant now, const LeaseAcquired& event, Actions& out);
  void Handle(core::Instant now, const LeaseLost& event, Actions& out);
  void Handle(core::Instant now, const SwitchRequested& event, Actions& out);
  void Handle(core::Instant now, const PlanConfirmed& event, Actions& out);
  void Handle(core::Instant now, const RankProgress& event, Actions& out);
  void Handle(core::Instant now, const PlanRead& event, Actions& out);
  void Handle(core::Instant now, const PlanSwapped& event, Actions& out);
  void Handle(core::Instant now, const PlanCallLost& event, Actions& out);
  void Handle(core::Instant now, const CoordinatorTick& event, Actions& out);

  void ProposeRequested(Actions& out);
  void ReadRecord(Actions& out);
  void SwapRecord(Phase phase, PlanRecord record, Actions& out);
  void Decide(bool commit, Actions& out);
  void Adopt(core::Instant now, const PlanRecord& record, PlanRevision revision, Actions& out);
  void SendPrepares(core::Instant now, Actions& out);
  void ReportHealthChange(Actions& out);

  CoordinatorSettings m_settings;
  BalanceFaults m_faults;
  Phase m_phase = Phase::kNoLease;
  Fence m_fence = 0;
  PlanCallId m_next_call = 1;
  PlanCallId m_pending_call = 0;
  core::Instant m_next_read_at;
  std::optional<ExpertMap> m_requested_map;
  std::optional<PlanRecord> m_pending_record;
  PlanRecord m_record;
  PlanRevision m_revision = 0;
  std::uint64_t m_own_plan = 0;
  std::set<RankIndex> m_confirmed;
  std::map<RankIndex, core::Instant> m_next_prepare_at;
  core::Instant m_prepare_deadline;
  std::set<RankIndex> m_live;
  StepIndex m_latest_step = 0;
  std::set<ExpertIndex> m_unserved;
};

}  // namespace cornelrelay::balance
