#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/ranks/forwarding.h"
#include "cornelrelay/ranks/poll_schedule.h"

namespace cornelrelay::ranks {

/// \brief An engine of a group and the agent beside it.
struct GroupMember {
  core::UpstreamId upstream;
  core::Endpoint engine;
  core::Endpoint agent;
  core::DataCentreId data_centre;
  std::optional<balance::RankIndex> rank;  ///< none until the engine has reported it
  /// The agent answered the last call, or has not been called yet. Calls to several agents at once
  /// leave the others out, because each of them would delay the answer of the agents above it.
  bool agent_answers = true;
  /// The engine reported that it belongs to another group of the service. Its agent is not called
  /// until the member is added again.
  bool other_group = false;
};

/// \brief The engines of a group with their ranks, and the agents that are called together.
class GroupMembers {
 public:
  /// \brief Adds a member, or updates one whose engine is known. Its group has to be asked for
  /// again if it belonged to another one.
  void Add(const GroupMember& member);
  /// \brief Records the rank that an engine reported. Another engine that had this rank loses it.
  void SetRank(const core::Endpoint& engine, balance::RankIndex rank);
  void SetAgentAnswers(const core::Endpoint& engine, bool answers);
  /// \brief Records that the engine reported another group. It loses its rank.
  void SetOtherGroup(const core::Endpoint& engine);

  /// \brief Returns whether the engines of at least `ranks` ranks are known.
  bool AllRanksKnown(std::size_t ranks) const;
  /// \brief Returns whether the agents of all ranks with a known engine answer.
  bool AllAgentsAnswer() const;
  const GroupMember& At(const core::Endpoint& engine) const { return m_members.at(engine).member; }
  /// \brief Returns the member that has the rank, or null if none is known.
  const GroupMember* FindByRank(balance::RankIndex rank) const;
  /// \brief Returns the member whose agent has this endpoint, or null.
  const GroupMember* FindByAgent(const core::Endpoint& agent) const;
  /// \brief Returns the number of members that may belong to the group.
  std::size_t size() const;

  /// \brief Returns all agents that answer, in groups for one call.
  ForwardingGroups AnsweringAgents() const;
  /// \brief Returns the agents of these ranks in groups for one call. Each rank must be known.
  ForwardingGroups AgentsOf(const std::vector<balance::RankIndex>& ranks) const;
  /// \brief Returns the next engines whose agents do not answer, in round-robin order.
  std::vector<core::Endpoint> NextUnanswering(std::size_t max_count);

  /// \brief Marks the engine as being polled on its own.
  /// \return false if a poll of the engine is already under way
  bool BeginPoll(const core::Endpoint& engine);
  void EndPoll(const core::Endpoint& engine) { m_members.at(engine).poll_in_flight = false; }

 private:
  struct Entry {
    GroupMember member;
    bool poll_in_flight = false;
  };

  /// \brief Groups the agents of each data centre, so that only the leader calls across data
  /// centres. Calls each agent itself if they are few.
  static ForwardingGroups GroupAgents(const std::vector<const GroupMember*>& members);

  std::map<core::Endpoint, Entry> m_members;  ///< by endpoint of the engine
  std::map<core::Endpoint, core::Endpoint> m_engines_by_agent;
  std::map<balance::RankIndex, core::Endpoint> m_engines_by_rank;
  PollSchedule m_schedule;
};

}  // namespace cornelrelay::ranks
