#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

/// \brief Latest states that the ranks of a group have reported since it formed.
///
/// A pass is identified by its step. The step of a rank is the pass that it begins next or is in.
class RankStateTable {
 public:
  /// \param self rank whose steps are used to measure the duration of a pass
  /// \param initial_pass_time assumed duration of a pass before the first measurement
  RankStateTable(RankIndex ranks, RankIndex self, core::Duration initial_pass_time);

  /// \brief Forgets all states after the group has formed again.
  void Reset(std::uint64_t epoch);
  /// \brief Stores a state of the current epoch unless a later one is known.
  /// \param requested_at time at which the state was requested
  void Observe(core::Instant now, RankIndex rank, const RankState& state,
               core::Instant requested_at);

  std::uint64_t epoch() const { return m_epoch; }
  RankIndex size() const { return static_cast<RankIndex>(m_ranks.size()); }
  const std::optional<RankState>& state(RankIndex rank) const { return m_ranks[rank].state; }
  core::Duration pass_time() const { return m_pass_time; }

  StepIndex LatestStep() const;
  /// \brief Estimates the step that the ranks have reached by now from their states and the
  /// duration of a pass.
  StepIndex ExpectedStep(core::Instant now) const;
  /// \brief Returns the pass that is held at a rank and has not begun.
  std::optional<StepIndex> PassHeldAt(RankIndex rank) const;
  /// \brief Returns the last pass not yet begun that is held at a rank or for which a rank is
  /// armed. Returns nothing if none is held and all ranks are armed for the same switch.
  std::optional<StepIndex> UnfinishedSwitchStep() const;
  bool AllPrepared(MapVersion version) const;
  /// \brief Returns the switch for which all ranks are armed. Returns nothing if a rank is not
  /// armed or is armed for another switch.
  std::optional<ArmedMap> ArmedByAll() const;
  bool AnyArmed() const;
  /// \brief Returns false if a rank is known to have loaded a newer map, or to use one. It is then
  /// not armed for this version and never will be.
  bool MayAllSwitchTo(MapVersion version) const;
  bool AllOpen() const;
  /// \brief Returns the map in use, if all ranks have reported it and use the same one.
  std::optional<LayerMap> MapInUse() const;

 private:
  struct Entry {
    std::optional<RankState> state;
    core::Instant observed_at{};
  };

  void UpdatePassTime(core::Duration since, StepIndex passes);

  RankIndex m_self;
  std::uint64_t m_epoch = 0;
  std::vector<Entry> m_ranks;
  core::Duration m_pass_time;
};

}  // namespace cornelrelay::balance
