#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/order_tracker.h"
#include "cornelrelay/balance/pass_selector.h"
#include "cornelrelay/balance/rank_state_table.h"
#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

struct SwitchLeaderConfig {
  RankIndex ranks = 1;
  RankIndex self = 0;  ///< rank of this process
  OrderTrackerConfig orders;
  /// The switch is given up if not all ranks have loaded the map in this time.
  core::Duration prepare_timeout = std::chrono::seconds(4);
  /// The pass is released if not all ranks answer in this time while it is held.
  core::Duration check_timeout = std::chrono::milliseconds(150);
  /// Limit for holding a pass, after which the switch is given up, and for arming all ranks, after
  /// which it is aborted.
  core::Duration arm_timeout = std::chrono::milliseconds(1'000);
  PassSelectorConfig pass_selector;
  /// Assumed duration of a pass before the first measurement.
  core::Duration initial_pass_time = std::chrono::milliseconds(50);
};

/// \brief Switches the expert map of a group so that no pass ever runs with two maps.
///
/// All ranks load the map. A pass ahead is held at one rank. If all ranks still answer, they are
/// armed to switch as that pass begins. The pass is released only when every rank is known to be
/// armed, or when no rank can switch any more. Orders may be lost, executed late, or executed
/// twice:
///
/// - A version is never used for two maps, so that a late order to load cannot change what
///   is armed.
/// - The order to hold is forwarded by a host that is not needed to release the pass (see
///   ChooseHoldForwarder), because the forwarding host may stop just after it has acted. No rank is
///   armed before all have answered once more.
/// - A hold counts only if no release of that pass was ever sent to that rank, because the release
///   may still be in flight.
/// - Before a held pass is released after a failed switch, every rank has loaded a newer version
///   of the map in use. Ranks then refuse a late order to arm the failed version.
/// - A rank is disarmed only after another one is known to have loaded a newer version. All ranks
///   can then never again be armed for the failed one, so no leader releases the pass to complete
///   that switch while an order to disarm may be executed late.
/// - A state is used only if it was requested after the last one had arrived. A state that arrives
///   after a newer one could show a hold that has already been released.
/// - A new leader first requests the state of all ranks. Their agents then reject the orders of its
///   predecessor (see FenceGuard). It selects the rank at which it holds passes by its own
///   rank and its fence. If this is another rank than its predecessor's, a release by the
///   predecessor has no effect. A leader may therefore continue after its lease has lapsed, until a
///   rank reports a newer leader.
///
/// \code
/// SwitchLeader leader(config);
/// Run(leader.Step(now, LeadershipGained{fence}));
/// Run(leader.Step(now, MapRequested{map}));
/// \endcode
class SwitchLeader {
 public:
  enum class Phase {
    kFollowing,  ///< does not lead the group
    kSurveying,  ///< requests the state of all ranks
    kIdle,
    kPreparing,   ///< ranks load the map
    kHolding,     ///< holds a pass ahead
    kChecking,    ///< checks that all ranks still answer
    kArming,      ///< arms the ranks
    kRecovering,  ///< holds the pass of an unfinished switch
    kAborting,    ///< ensures that no rank can switch
    kReleasing,   ///< releases the held pass
  };

  explicit SwitchLeader(SwitchLeaderConfig config);

  std::vector<SwitchAction> Step(core::Instant now, const SwitchEvent& event);

  Phase phase() const { return m_phase; }
  Fence fence() const { return m_fence; }
  /// \brief Returns the map in use, if all ranks have reported it and use the same one.
  std::optional<LayerMap> MapInUse() const { return m_ranks.MapInUse(); }
  /// \brief Returns true if orders to the ranks are due, so that SwitchTick must follow soon.
  bool Busy() const { return m_phase != Phase::kFollowing && m_phase != Phase::kIdle; }
  /// \brief Returns true if a switch is in progress, or an unfinished one is being ended.
  bool Switching() const { return Busy() && m_phase != Phase::kSurveying; }
  /// \brief Returns true if no switch is in progress or pending, so that a map can be requested.
  bool ReadyForSwitch() const {
    return m_phase == Phase::kIdle && !m_ranks.AnyArmed() && m_ranks.AllOpen();
  }
  /// \brief Returns the state of a rank in the current epoch, or nothing before it is known.
  const std::optional<RankState>& state(RankIndex rank) const { return m_ranks.state(rank); }
  core::Duration pass_time() const { return m_ranks.pass_time(); }
  std::uint64_t epoch() const { return m_ranks.epoch(); }

 private:
  using Actions = std::vector<SwitchAction>;

  /// Number of versions that one leader may use. Each version is derived from the fence, so that
  /// those of different leaders differ.
  static constexpr MapVersion kVersionsPerFence = 4'096;

  void Apply(core::Instant now, const LeadershipGained& event, Actions& out);
  void Apply(core::Instant now, const LeadershipLost& event, Actions& out);
  void Apply(core::Instant now, const RankObserved& event, Actions& out);
  void Apply(core::Instant now, const OrderEnded& event, Actions& out);
  void Apply(core::Instant now, const OrdersEnded& event, Actions& out);
  void Apply(core::Instant now, const RanksObserved& event, Actions& out);
  void Apply(core::Instant now, const MapRequested& event, Actions& out);
  void Apply(core::Instant now, const SwitchTick& event, Actions& out);

  void Observe(core::Instant now, RankIndex rank, const RankState& state,
               core::Instant requested_at, Actions& out);
  void Advance(core::Instant now, Actions& out);
  void RunPhase(core::Instant now, Actions& out);
  void Survey(core::Instant now, Actions& out);
  void StartNextSwitch(core::Instant now);
  void Prepare(core::Instant now, Actions& out);
  void Hold(core::Instant now, Actions& out);
  void Check(core::Instant now, Actions& out);
  void Arm(core::Instant now, Actions& out);
  void Recover(core::Instant now, Actions& out);
  void Abort(core::Instant now, Actions& out);
  void Release(core::Instant now, Actions& out);

  void EnterPhase(core::Instant now, Phase phase);
  void EndSwitch(core::Instant now, SwitchOutcome outcome, Actions& out);
  /// \brief Ends a switch for which all ranks are armed: releases the pass as it is.
  void CompleteOnRelease(core::Instant now, const ArmedMap& armed);
  void BeginAbort(core::Instant now);
  void SendHold(core::Instant now, Actions& out);
  MapVersion NextVersion() { return m_fence * kVersionsPerFence + ++m_versions_used; }

  SwitchLeaderConfig m_config;
  Phase m_phase = Phase::kFollowing;
  Fence m_fence = 0;
  RankIndex m_hold_rank = 0;  ///< rank at which passes are held; depends on the fence
  RankStateTable m_ranks;
  OrderTracker m_orders;
  PassSelector m_pass_selector;
  std::optional<SharedLayerMap> m_requested_map;
  SharedLayerMap m_previous_map;  ///< map in use when the switch began
  /// Map of the switch in progress; empty for an unfinished switch of an earlier leader.
  std::optional<SharedLayerMap> m_new_map;
  MapVersion m_version = 0;
  MapVersion m_abort_version = 0;
  StepIndex m_switch_step = 0;
  std::uint32_t m_versions_used = 0;  ///< number of versions used under this fence
  core::Instant m_phase_start{};
  core::Instant m_switch_start{};
  core::Instant m_hold_start{};       ///< when the pass of the switch was selected
  bool m_complete_on_release = true;  ///< the release completes the switch
};

}  // namespace cornelrelay::balance
