#pragma once

#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

struct SwitchLeaderConfig {
  RankIndex ranks = 1;
  RankIndex self = 0;                                             ///< rank of this process
  core::Duration order_timeout = std::chrono::milliseconds(150);  ///< then it counts as unanswered
  core::Duration resend_pause = std::chrono::milliseconds(30);
  core::Duration poll_pause = std::chrono::milliseconds(30);  ///< while ranks load a map
  core::Duration prepare_limit = std::chrono::seconds(4);
  core::Duration check_limit = std::chrono::milliseconds(150);
  core::Duration arm_limit = std::chrono::milliseconds(1'000);
  /// The pass of a switch lies this far ahead, so that all ranks are usually armed before it is
  /// due. An order takes a round trip and a call to the engine.
  core::Duration lead_time = std::chrono::milliseconds(30);
  /// The same while orders go unanswered.
  core::Duration careful_lead_time = std::chrono::milliseconds(120);
  core::Duration careful_for = std::chrono::seconds(8);
  core::Duration usual_pass = std::chrono::milliseconds(50);
};

/// \brief Switches the expert map of a group so that no pass ever runs with two maps.
/// All ranks load the map. A pass ahead is held at one rank. If all ranks still answer, they are
/// armed to switch as that pass begins. The pass is released only when every rank is known to be
/// armed, or when no rank can switch any more. Orders may be lost, carried out late, or doubled:
///
/// - A version is never used for two maps, so that a late load cannot change what is armed.
/// - The order to hold is given by another host than those that are needed to release the pass, as
/// a
///   host may stop just after it has acted. No rank is armed before all have answered once more.
/// - A hold counts only if no release of that pass was ever sent to that rank, because the release
///   may still be on its way.
/// - Before a held pass is released after a failed switch, every rank has loaded a newer version of
///   the map in use; a late order to arm the failed version is then refused.
/// - A state is used only if it was asked for after the last one had come. A state that overtakes a
/// newer
///   one could show a hold that is released already.
/// - A new leader first learns the state of all ranks, which makes their gates refuse its
/// predecessor,
///   and holds the pass at another rank than they did, so that a release by its predecessor has no
///   effect. A leader may therefore go on when its lease has lapsed, until a rank tells it of a
///   newer one.
///
/// \code
/// SwitchLeader leader(config);
/// Run(leader.Step(now, LeadershipGained{fence, until}));
/// Run(leader.Step(now, MapWanted{map}));
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
  std::optional<LayerMap> MapInUse() const;
  /// \brief No switch is under way or due, so that a map can be wanted.
  bool Settled() const { return m_phase == Phase::kIdle && !AnyArmed() && AllOpen(); }
  /// \brief State of a rank in the present epoch; none before it is known.
  const std::optional<RankState>& state(RankIndex rank) const { return m_ranks[rank].state; }
  core::Duration pass_time() const { return m_pass_time; }

 private:
  struct Rank {
    std::optional<RankState> state;
    core::Instant observed{};
    bool outstanding = false;
    core::Instant sent{};
    std::uint64_t sent_in = 0;               ///< number of the phase of the last order
    std::optional<OrderResult> last_result;  ///< of an order in the present phase
    bool unanswered = false;                 ///< an order of the phase had no answer
    std::size_t sent_kind = 0;               ///< index of the last order
    std::bitset<std::variant_size_v<RankOrder>> accepted;  ///< kinds that began in the phase
  };
  using Actions = std::vector<SwitchAction>;

  void Apply(core::Instant now, const LeadershipGained& event, Actions& out);
  void Apply(core::Instant now, const LeadershipLost& event, Actions& out);
  void Apply(core::Instant now, const RankObserved& event, Actions& out);
  void Apply(core::Instant now, const OrderEnded& event, Actions& out);
  void Apply(core::Instant now, const MapWanted& event, Actions& out);
  void Apply(core::Instant now, const SwitchTick& event, Actions& out);

  void Observe(core::Instant now, RankIndex rank, const RankState& state, core::Instant asked,
               Actions& out);
  void Advance(core::Instant now, Actions& out);
  void Survey(core::Instant now, Actions& out);
  void BeginWanted(core::Instant now);
  void Prepare(core::Instant now, Actions& out);
  void Hold(core::Instant now, Actions& out);
  void Check(core::Instant now, Actions& out);
  void Arm(core::Instant now, Actions& out);
  void Recover(core::Instant now, Actions& out);
  void Abort(core::Instant now, Actions& out);
  void Release(core::Instant now, Actions& out);

  void Enter(core::Instant now, Phase phase);
  void End(core::Instant now, SwitchOutcome outcome, Actions& out);
  void BeginAbort(core::Instant now);
  bool MaySend(core::Instant now, const Rank& rank, core::Duration pause) const;
  /// \brief Sends if an order may be sent to the rank now.
  void Send(core::Instant now, RankIndex index, RankOrder order, Actions& out);
  void Poll(core::Instant now, RankIndex index, Actions& out);
  void Poll(core::Instant now, RankIndex index, Actions& out, core::Duration pause);
  void Give(core::Instant now, RankIndex index, RankOrder order, Actions& out);
  void SendHold(core::Instant now, Actions& out);
  RankIndex HoldGiver() const;
  MapVersion NextVersion();
  StepIndex LatestStep() const;
  StepIndex StepAhead(core::Instant now) const;
  /// \brief The pass that a rank holds and that has not begun.
  std::optional<StepIndex> HeldAt(RankIndex rank) const;
  std::optional<StepIndex> UnfinishedStep() const;
  bool AllPrepared(MapVersion version) const;
  /// \brief The switch that all ranks are armed for, if it is the same.
  std::optional<ArmedMap> ArmedByAll() const;
  bool AnyArmed() const;
  bool AllOpen() const;

  SwitchLeaderConfig m_config;
  Phase m_phase = Phase::kFollowing;
  Fence m_fence = 0;
  RankIndex m_anchor = 0;  ///< rank at which passes are held; depends on the fence
  std::set<std::pair<RankIndex, StepIndex>> m_released;  ///< passes released in this epoch
  std::uint64_t m_epoch = 0;
  std::vector<Rank> m_ranks;
  std::optional<LayerMap> m_wanted;
  LayerMap m_former;  ///< map in use when the switch began
  LayerMap m_map;     ///< of the switch under way
  MapVersion m_version = 0;
  MapVersion m_abort_version = 0;
  StepIndex m_step = 0;
  std::uint32_t m_versions = 0;  ///< used under this fence
  core::Instant m_phase_since{};
  std::uint64_t m_phase_number = 0;
  core::Instant m_switch_since{};
  bool m_forward = true;  ///< the release completes the switch
  std::optional<core::Instant> m_unanswered;
  core::Duration m_pass_time;
};

}  // namespace cornelrelay::balance
