#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/ranks/poll_rota.h"

namespace cornelrelay::ranks {

/// \brief An engine of a group and the agent beside it.
struct GroupMember {
  core::Endpoint engine;
  core::Endpoint agent;
  std::optional<balance::RankIndex> rank;  ///< none before the engine has told it
};

/// \brief The engines of a group by rank, and whom to ask next.
class GroupMembers {
 public:
  void Add(const core::Endpoint& engine, const core::Endpoint& agent);
  /// \brief An engine told its rank; whoever had it before has it no more.
  void SetRank(const core::Endpoint& engine, balance::RankIndex rank);

  /// \brief At least `ranks` engines are known, each with its rank.
  bool Complete(std::size_t ranks) const;
  const GroupMember& At(const core::Endpoint& engine) const { return m_members.at(engine).member; }
  /// \brief Null if nobody is known to have the rank.
  const GroupMember* OfRank(balance::RankIndex rank) const;
  std::vector<core::Endpoint> All() const;
  const PollRota& rota() const { return m_rota; }
  std::vector<core::Endpoint> Next(std::size_t most) { return m_rota.Next(most); }

  /// \brief \returns false if a poll of the engine is under way
  bool BeginPoll(const core::Endpoint& engine);
  void EndPoll(const core::Endpoint& engine) { m_members.at(engine).polled = false; }

 private:
  struct Entry {
    GroupMember member;
    bool polled = false;  ///< a poll is under way
  };

  std::map<core::Endpoint, Entry> m_members;  ///< by engine
  PollRota m_rota;
};

}  // namespace cornelrelay::ranks
