#include "cornelrelay/ranks/group_members.h"

#include <algorithm>
#include <utility>

namespace cornelrelay::ranks {

void GroupMembers::Add(const core::Endpoint& engine, const core::Endpoint& agent) {
  const Entry entry{GroupMember{engine, agent, std::nullopt}};
  if (m_members.try_emplace(engine, entry).second) m_schedule.Add(engine);
}

void GroupMembers::SetRank(const core::Endpoint& engine, balance::RankIndex rank) {
  for (auto& [other, entry] : m_members) {
    if (entry.member.rank == rank) entry.member.rank.reset();
  }
  m_members.at(engine).member.rank = rank;
}

bool GroupMembers::AllRanksKnown(std::size_t ranks) const {
  return m_members.size() >= ranks &&
         std::all_of(m_members.begin(), m_members.end(),
                     [](const auto& entry) { return entry.second.member.rank.has_value(); });
}

const GroupMember* GroupMembers::FindByRank(balance::RankIndex rank) const {
  for (const auto& [engine, entry] : m_members) {
    if (entry.member.rank == rank) return &entry.member;
  }
  return nullptr;
}

std::vector<core::Endpoint> GroupMembers::Engines() const {
  std::vector<core::Endpoint> engines;
  for (const auto& [engine, entry] : m_members) engines.push_back(engine);
  return engines;
}

bool GroupMembers::BeginPoll(const core::Endpoint& engine) {
  return !std::exchange(m_members.at(engine).poll_in_flight, true);
}

}  // namespace cornelrelay::ranks
