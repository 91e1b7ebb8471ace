#include "cornelrelay/ranks/group_members.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::ranks {
namespace {

/// Agents that the leader calls itself in a small group. The answers of more would take longer to
/// handle than another hop takes.
constexpr std::size_t kMaxDirectCalls = 16;
/// Groups that the leader of a larger group calls, if there are no more data centres.
constexpr std::size_t kMaxGroups = 5;

}  // namespace

void GroupMembers::Add(const GroupMember& member) {
  const auto [found, added] = m_members.try_emplace(member.engine, Entry{member});
  if (added) m_schedule.Add(member.engine);
  GroupMember& known = found->second.member;
  known.upstream = member.upstream;
  known.agent = member.agent;
  known.data_centre = member.data_centre;
  known.other_group = false;
  m_engines_by_agent.insert_or_assign(member.agent, member.engine);
}

void GroupMembers::SetRank(const core::Endpoint& engine, balance::RankIndex rank) {
  GroupMember& member = m_members.at(engine).member;
  if (member.rank == rank) return;
  if (member.rank) m_engines_by_rank.erase(*member.rank);
  const auto former = m_engines_by_rank.find(rank);
  if (former != m_engines_by_rank.end()) m_members.at(former->second).member.rank.reset();
  m_engines_by_rank.insert_or_assign(rank, engine);
  member.rank = rank;
}

void GroupMembers::SetAgentAnswers(const core::Endpoint& engine, bool answers) {
  m_members.at(engine).member.agent_answers = answers;
}

void GroupMembers::SetOtherGroup(const core::Endpoint& engine) {
  GroupMember& member = m_members.at(engine).member;
  member.other_group = true;
  if (!member.rank) return;
  m_engines_by_rank.erase(*member.rank);
  member.rank.reset();
}

std::size_t GroupMembers::size() const {
  return static_cast<std::size_t>(
      std::count_if(m_members.begin(), m_members.end(),
                    [](const auto& entry) { return !entry.second.member.other_group; }));
}

bool GroupMembers::AllRanksKnown(std::size_t ranks) const {
  return m_engines_by_rank.size() >= ranks;
}

bool GroupMembers::AllAgentsAnswer() const {
  return std::all_of(m_engines_by_rank.begin(), m_engines_by_rank.end(),
                     [&](const auto& entry) { return At(entry.second).agent_answers; });
}

const GroupMember* GroupMembers::FindByRank(balance::RankIndex rank) const {
  const auto found = m_engines_by_rank.find(rank);
  return found == m_engines_by_rank.end() ? nullptr : &At(found->second);
}

const GroupMember* GroupMembers::FindByAgent(const core::Endpoint& agent) const {
  const auto found = m_engines_by_agent.find(agent);
  return found == m_engines_by_agent.end() ? nullptr : &At(found->second);
}

ForwardingGroups GroupMembers::AnsweringAgents() const {
  std::vector<const GroupMember*> members;
  for (const auto& [engine, entry] : m_members) {
    const GroupMember& member = entry.member;
    if (member.agent_answers && !member.other_group) members.push_back(&member);
  }
  return GroupAgents(members);
}

ForwardingGroups GroupMembers::AgentsOf(const std::vector<balance::RankIndex>& ranks) const {
  std::vector<const GroupMember*> members;
  for (const balance::RankIndex rank : ranks) {
    const GroupMember* member = FindByRank(rank);
    assert(member != nullptr);
    members.push_back(member);
  }
  return GroupAgents(members);
}

std::vector<core::Endpoint> GroupMembers::NextUnanswering(std::size_t max_count) {
  std::vector<core::Endpoint> engines;
  for (std::size_t seen = 0; seen < m_members.size() && engines.size() < max_count; ++seen) {
    const core::Endpoint engine = m_schedule.NextBatch(1).front();
    const GroupMember& member = At(engine);
    if (!member.agent_answers && !member.other_group) engines.push_back(engine);
  }
  return engines;
}

ForwardingGroups GroupMembers::GroupAgents(const std::vector<const GroupMember*>& members) {
  ForwardingGroups groups;
  if (members.empty()) return groups;
  std::map<core::DataCentreId, std::vector<core::Endpoint>> by_data_centre;
  for (const GroupMember* member : members) {
    by_data_centre[member->data_centre].push_back(member->agent);
  }
  const std::size_t parts = members.size() <= kMaxDirectCalls
                                ? members.size()
                                : std::max<std::size_t>(kMaxGroups / by_data_centre.size(), 1);
  for (const auto& [data_centre, agents] : by_data_centre) {
    for (auto& group : SplitForForwarding(agents, parts)) groups.push_back(std::move(group));
  }
  return groups;
}

bool GroupMembers::BeginPoll(const core::Endpoint& engine) {
  return !std::exchange(m_members.at(engine).poll_in_flight, true);
}

}  // namespace cornelrelay::ranks
