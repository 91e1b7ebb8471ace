#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/order_book.h"
#include "cornelrelay/balance/pass_picker.h"
#include "cornelrelay/balance/rank_book.h"
#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

struct SwitchLeaderConfig {
  RankIndex ranks = 1;
  RankIndex self = 0;  ///< rank of this process
  OrderBookConfig orders;
  core::Duration prepare_timeout = std::chrono::seconds(4);
  core::Duration check_timeout = std::chrono::milliseconds(150);
  core::Duration arm_timeout = std::chrono::milliseconds(1'000);
  PassPickerConfig passes;
  core::Duration usual_pass = std::chrono::milliseconds(50);
};

/// \brief Switches the expert map of a group so that no pass ever runs with two maps.
/// All ranks load the map. A pass ahead is held at one rank. If all ranks still answer, they are
/// armed to switch as that pass begins. The pass is released only when every rank is known to be
/// armed, or when no rank can switch any more. Orders may be lost, carried out late, or doubled:
///
/// - A version is never used for two maps, so that a late load cannot change what is armed.
/// - The order to hold is given by another host than those that are needed to release the pass (see
///   ChooseHoldForwarder), which may stop just after it has acted. No rank is armed before all have
///   answered once more.
/// - A hold counts only if no release of that pass was ever sent to that rank, because the release
///   may still be on its way.
/// - Before a held pass is released after a failed switch, every rank has loaded a newer version of
///   the map in use; a late order to arm the failed version is then refused.
/// - A state is used only if it was asked for after the last one had come. A state that overtakes a
///   newer one could show a hold that is released already.
/// - A new leader first learns the state of all ranks, which makes their gates refuse its
///   predecessor, and holds the pass at another rank than they did, so that a release by its
///   predecessor has no effect. A leader may therefore go on when its lease has lapsed, until a
///   rank tells it of a newer one.
///
/// \code
/// SwitchLeader leader(config);
/// Run(leader.Step(now, LeadershipGained{fence, until}));
/// Run(leader.Step(now, MapRequested{map}));
/// \endcode
class SwitchLeader {
 public:
  enum class Phase {
    kFollowing,  ///< does not lead
    kSurvey,     ///< learns the state of all ranks
    kIdle,
    kPreparing,  ///< ranks load the map
    kHolding,    ///< a pass ahead is held
    kChecking,   ///< looks whether all ranks still answer
    kArming,
    kRecovering,  ///< holds the pass of an unfinished switch
    kAborting,    ///< makes sure that no rank can switch
    kReleasing,   ///< lets the held pass begin
  };

  explicit SwitchLeader(SwitchLeaderConfig config);

  std::vector<SwitchAction> Step(core::Instant now, const SwitchEvent& event);

  Phase phase() const { return m_phase; }
  Fence fence() const { return m_fence; }
  /// \brief The map in use, if all ranks have told it and have the same.
  std::optional<LayerMap> MapInUse() const { return m_ranks.MapInUse(); }
  /// \brief Something is asked of the ranks, so that SwitchTick is due soon.
  bool Busy() const { return m_phase != Phase::kFollowing && m_phase != Phase::kIdle; }
  /// \brief No switch is under way or due, so that a map can be wanted.
  bool ReadyForSwitch() const {
    return m_phase == Phase::kIdle && !m_ranks.AnyArmed() && m_ranks.AllOpen();
  }
  /// \brief State of a rank in the present epoch; none before it is known.
  const std::optional<RankState>& state(RankIndex rank) const { return m_ranks.state(rank); }
  core::Duration pass_time() const { return m_ranks.pass_time(); }

 private:
  using Actions = std::vector<SwitchAction>;

  /// Versions that one leader may use; the fence makes those of different leaders differ.
  static constexpr MapVersion kVersionsPerFence = 4'096;

  void Apply(core::Instant now, const LeadershipGained& event, Actions& out);
  void Apply(core::Instant now, const LeadershipLost& event, Actions& out);
  void Apply(core::Instant now, const RankObserved& event, Actions& out);
  void Apply(core::Instant now, const OrderEnded& event, Actions& out);
  void Apply(core::Instant now, const MapRequested& event, Actions& out);
  void Apply(core::Instant now, const SwitchTick& event, Actions& out);

  void Observe(core::Instant now, RankIndex rank, const RankState& state,
               core::Instant requested_at, Actions& out);
  void Advance(core::Instant now, Actions& out);
  void Continue(core::Instant now, Actions& out);
  void Survey(core::Instant now, Actions& out);
  void BeginWanted(core::Instant now);
  void Prepare(core::Instant now, Actions& out);
  void Hold(core::Instant now, Actions& out);
  void Check(core::Instant now, Actions& out);
  void Arm(core::Instant now, Actions& out);
  void Recover(core::Instant now, Actions& out);
  void Abort(core::Instant now, Actions& out);
  void Release(core::Instant now, Actions& out);

  bool Switching() const { return Busy() && m_phase != Phase::kSurvey; }
  void Enter(core::Instant now, Phase phase);
  void End(core::Instant now, SwitchOutcome outcome, Actions& out);
  void BeginAbort(core::Instant now);
  void SendHold(core::Instant now, Actions& out);
  MapVersion NextVersion() { return m_fence * kVersionsPerFence + ++m_versions; }

  SwitchLeaderConfig m_config;
  Phase m_phase = Phase::kFollowing;
  Fence m_fence = 0;
  RankIndex m_anchor = 0;  ///< rank at which passes are held; depends on the fence
  RankBook m_ranks;
  OrderBook m_orders;
  PassPicker m_passes;
  std::optional<SharedLayerMap> m_wanted;
  SharedLayerMap m_former;  ///< map in use when the switch began
  SharedLayerMap m_map;     ///< of the switch under way
  MapVersion m_version = 0;
  MapVersion m_abort_version = 0;
  StepIndex m_step = 0;
  std::uint32_t m_versions = 0;  ///< used under this fence
  core::Instant m_phase_since{};
  core::Instant m_switch_since{};
  bool m_forward = true;  ///< the release completes the switch
};

}  // namespace cornelrelay::balance
