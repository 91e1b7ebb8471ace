#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::balance {

/// \brief What the ranks of a group have told of themselves since it formed.
///
/// A pass is named by its step; a rank's step is the pass that it begins next or is in.
class RankBook {
 public:
  /// \param self rank whose steps show the time of a pass
  RankBook(RankIndex ranks, RankIndex self, core::Duration usual_pass);

  /// \brief Starts anew for a group that formed again.
  void Reset(std::uint64_t epoch);
  /// \brief Keeps a state of the present epoch unless a later one is known.
  /// \param requested_at time at which the state was requested
  void Observe(core::Instant now, RankIndex rank, const RankState& state,
               core::Instant requested_at);

  std::uint64_t epoch() const { return m_epoch; }
  RankIndex size() const { return static_cast<RankIndex>(m_ranks.size()); }
  const std::optional<RankState>& state(RankIndex rank) const { return m_ranks[rank].state; }
  core::Duration pass_time() const { return m_pass_time; }

  StepIndex LatestStep() const;
  /// \brief The step that the ranks have come to by now, from their states and the time of a pass.
  StepIndex ExpectedStep(core::Instant now) const;
  /// \brief The pass that a rank holds and that has not begun.
  std::optional<StepIndex> HeldAt(RankIndex rank) const;
  /// \brief A pass ahead for which some rank is armed or that one holds, unless all are armed.
  std::optional<StepIndex> UnfinishedStep() const;
  bool AllPrepared(MapVersion version) const;
  /// \brief The switch that all ranks are armed for, if it is the same.
  std::optional<ArmedMap> ArmedByAll() const;
  bool AnyArmed() const;
  bool AllOpen() const;
  /// \brief The map in use, if all ranks have told it and have the same.
  std::optional<LayerMap> MapInUse() const;

 private:
  struct Entry {
    std::optional<RankState> state;
    core::Instant observed{};
  };

  void LearnPassTime(core::Duration since, StepIndex passes);

  RankIndex m_self;
  std::uint64_t m_epoch = 0;
  std::vector<Entry> m_ranks;
  core::Duration m_pass_time;
};

}  // namespace cornelrelay::balance
