#pragma once

#include <chrono>
#include <optional>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::ranks {

struct CandidacyConfig {
  balance::RankIndex rank = 0;
  balance::RankIndex ranks = 1;  ///< size of the group
  /// Agents of a group that always follow the leader key. Following it costs calls to the store.
  balance::RankIndex standbys = 5;
  /// A leader calls every agent several times a second. An agent that was not called for this long
  /// becomes a candidate, in case all standbys have failed as well.
  core::Duration silence_timeout = std::chrono::seconds(4);
  /// Added for each rank, so that the agents of a group do not all begin to read the key together.
  core::Duration silence_per_rank = std::chrono::milliseconds(20);
  core::Duration max_silence_spread = std::chrono::seconds(3);
  /// Wait of a standby before it claims a free leadership, for each standby before it.
  core::Duration standby_stagger = std::chrono::milliseconds(60);
  /// Wait of the other candidates: longer than that of any standby.
  core::Duration other_stagger = std::chrono::milliseconds(600);
};

/// \brief Decides whether an agent is a candidate for the leadership of its group, so that it
/// follows the leader key in the store.
///
/// \code
/// Candidacy candidacy(config, now);
/// if (candidacy.OnLeaderCall(now)) StopFollowing();
/// if (candidacy.OnTick(now)) StartFollowing();
/// \endcode
class Candidacy {
 public:
  Candidacy(CandidacyConfig config, core::Instant now);

  bool candidate() const { return m_candidate; }
  /// \brief Returns how long this agent waits before it claims a free leadership.
  core::Duration Stagger() const;

  /// \brief Records a call of the group's leader.
  /// \return true if the agent is no longer a candidate
  bool OnLeaderCall(core::Instant now);
  /// \brief Lets time pass.
  /// \return true if the agent has become a candidate
  bool OnTick(core::Instant now);
  /// \brief Returns when OnTick() is due; none for a candidate.
  std::optional<core::Instant> NextWake() const;

 private:
  /// \brief Returns the position among the standbys; none for another agent.
  std::optional<balance::RankIndex> StandbyIndex() const;

  CandidacyConfig m_config;
  bool m_candidate;
  core::Instant m_last_call;
};

}  // namespace cornelrelay::ranks
