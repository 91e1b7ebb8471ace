#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "cornelrelay/balance/rank_state_table.h"

namespace cornelrelay::balance {

struct PassSelectorConfig {
  /// Time from the selection to the pass of a switch, so that all ranks are usually armed before
  /// the pass is due. An order takes a round trip and a call to the engine.
  core::Duration lead_time = std::chrono::milliseconds(30);
  /// Longest lead time that is derived from the holds before.
  core::Duration max_lead_time = std::chrono::milliseconds(400);
  /// Weight of the last hold in the mean time from its order to its release.
  double hold_time_gain = 0.4;
  /// Lead time while orders go unanswered.
  core::Duration extended_lead_time = std::chrono::milliseconds(120);
  /// Time after an unanswered order during which the extended lead time applies.
  core::Duration extended_lead_period = std::chrono::seconds(8);
};

/// \brief Selects the pass at which a switch takes place.
///
/// A pass that was once released at a rank is never held there again, because the release may still
/// be in flight.
class PassSelector {
 public:
  explicit PassSelector(PassSelectorConfig config) : m_config(config) {}

  void RecordUnanswered(core::Instant now) { m_last_unanswered = now; }
  /// \brief Records the time from the order to hold a pass to its release after a switch. A later
  /// pass is held that much ahead, so that the group does not wait for the release.
  void RecordHoldTime(core::Duration time);
  void RecordReleased(RankIndex rank, StepIndex step) { m_released.emplace(rank, step); }
  bool WasReleased(RankIndex rank, StepIndex step) const {
    return m_released.contains({rank, step});
  }
  /// \brief Whether the pass was released at each rank of a group of this size.
  bool WasReleasedAtAll(StepIndex step, RankIndex ranks) const;
  /// \brief Forgets the released passes after the group has formed again.
  void Reset() { m_released.clear(); }

  /// \brief Returns the first pass after the lead time that was never released at `hold_rank`.
  /// \param hold_rank rank at which the pass will be held
  StepIndex Select(core::Instant now, const RankStateTable& ranks, RankIndex hold_rank) const;

 private:
  PassSelectorConfig m_config;
  std::set<std::pair<RankIndex, StepIndex>> m_released;
  std::optional<core::Instant> m_last_unanswered;  ///< time of the last order without an answer
  core::Duration m_hold_time{};                    ///< mean of the times of RecordHoldTime()
};

}  // namespace cornelrelay::balance
