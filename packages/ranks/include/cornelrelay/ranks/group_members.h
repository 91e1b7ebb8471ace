#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/ranks/poll_schedule.h"

namespace cornelrelay::ranks {

/// \brief An engine of a group and the agent beside it.
struct GroupMember {
  core::Endpoint engine;
  core::Endpoint agent;
  std::optional<balance::RankIndex> rank;  ///< none until the engine has reported it
};

/// \brief The engines of a group with their ranks, and the order in which they are polled.
class GroupMembers {
 public:
  void Add(const core::Endpoint& engine, const core::Endpoint& agent);
  /// \brief Records the rank that an engine reported. Another engine that had this rank loses it.
  void SetRank(const core::Endpoint& engine, balance::RankIndex rank);

  /// \brief Returns whether at least `ranks` engines are known and all known ones have a rank.
  bool AllRanksKnown(std::size_t ranks) const;
  const GroupMember& At(const core::Endpoint& engine) const { return m_members.at(engine).member; }
  /// \brief Returns the member that has the rank, or null if none is known.
  const GroupMember* FindByRank(balance::RankIndex rank) const;
  std::vector<core::Endpoint> Engines() const;
  const PollSchedule& schedule() const { return m_schedule; }
  /// \brief Returns the next engines to poll, in round-robin order.
  std::vector<core::Endpoint> NextToPoll(std::size_t max_count) {
    return m_schedule.NextBatch(max_count);
  }

  /// \brief Marks the engine as being polled.
  /// \return false if a poll of the engine is already under way
  bool BeginPoll(const core::Endpoint& engine);
  void EndPoll(const core::Endpoint& engine) { m_members.at(engine).poll_in_flight = false; }

 private:
  struct Entry {
    GroupMember member;
    bool poll_in_flight = false;
  };

  std::map<core::Endpoint, Entry> m_members;  ///< by endpoint of the engine
  PollSchedule m_schedule;
};

}  // namespace cornelrelay::ranks
