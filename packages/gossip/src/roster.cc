#include "cornelrelay/gossip/roster.h"

#include <algorithm>
#include <set>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::gossip {
namespace {

// With two homes, one can fail or lose a datagram and the report still arrives.
constexpr std::size_t kHomes = 2;

constexpr std::size_t kWatchers = 3;

}  // namespace

Roster::Roster(const NodeSettings& settings, const RecordTable& table)
    : m_settings(settings),
      m_table(table),
      m_leaf(settings.topology == Topology::kLeafAgents && settings.role == Role::kAgent) {}

bool Roster::Wants(const Record& record) const {
  if (!m_leaf || record.origin == m_settings.self ||
      record.key.subject == m_settings.self.value()) {
    return true;
  }
  const auto* member = std::get_if<MemberState>(&record.payload);
  return member != nullptr && member->role == Role::kEntry;
}

void Roster::KeepHomes(std::vector<core::HostId>& hosts) const {
  const auto score = [&](const core::HostId& host) {
    return core::RendezvousScore(m_settings.self.value(), host.value());
  };
  // Entry processes of other data centres serve only while the own one has none.
  const auto near = [&](const core::HostId& host) {
    return m_table.FindMember(host)->data_centre == m_settings.data_centre;
  };
  if (std::any_of(hosts.begin(), hosts.end(), near)) {
    std::erase_if(hosts, [&](const core::HostId& host) { return !near(host); });
  }
  std::sort(hosts.begin(), hosts.end(),
            [&](const auto& a, const auto& b) { return score(a) > score(b); });
  if (hosts.size() > kHomes) hosts.resize(kHomes);
}

// The next kWatchers entry processes, in order of host id, from a place that the agent's id gives.
bool Roster::Watches(const core::HostId& agent) const {
  const std::size_t count = m_gossip.size() + 1;
  const auto own = static_cast<std::size_t>(
      std::lower_bound(m_gossip.begin(), m_gossip.end(), m_settings.self) - m_gossip.begin());
  const std::size_t place = core::Hash64(agent.value()) % count;
  return (own + count - place) % count < kWatchers;
}

void Roster::Refresh() {
  if (m_generation == m_table.member_generation()) return;
  m_generation = m_table.member_generation();
  for (auto* list : {&m_gossip, &m_near, &m_far, &m_probed, &m_dead}) list->clear();
  std::vector<core::HostId> suspects;
  bool near_alive = false;
  std::set<core::DataCentreId> served;
  std::vector<core::HostId> far_agents;
  const auto& records = m_table.records();
  for (auto it = records.lower_bound({RecordKind::kMember, ""});
       it != records.end() && it->first.kind == RecordKind::kMember; ++it) {
    const core::HostId host(it->first.subject);
    const auto& member = std::get<MemberState>(it->second.record.payload);
    if (host == m_settings.self || member.life == Life::kLeft) continue;
    if (member.life == Life::kDead) {
      m_dead.push_back(host);
      continue;
    }
    const bool near = member.data_centre == m_settings.data_centre;
    const bool leaf_agent =
        m_settings.topology == Topology::kLeafAgents && member.role == Role::kAgent;
    near_alive = near_alive || (near && !leaf_agent && member.life == Life::kAlive);
    if (!leaf_agent && member.life == Life::kAlive) served.insert(member.data_centre);
    if (!leaf_agent || (near && !m_leaf)) m_probed.push_back(host);
    if (leaf_agent && !near) far_agents.push_back(host);
    if (leaf_agent) continue;
    (member.life == Life::kAlive ? m_gossip : suspects).push_back(host);
  }
  // Agents of a data centre without live entry processes are probed by a few others each.
  for (const core::HostId& host : far_agents) {
    const bool orphan = !m_leaf && !served.contains(m_table.FindMember(host)->data_centre);
    if (orphan && Watches(host)) m_probed.push_back(host);
  }
  std::sort(m_probed.begin(), m_probed.end());
  if (m_gossip.empty()) m_gossip = suspects;
  if (m_leaf) {
    KeepHomes(m_gossip);
    if (near_alive) {
      std::erase_if(m_probed, [&](const core::HostId& host) {
        return m_table.FindMember(host)->data_centre != m_settings.data_centre;
      });
    }
  }
  for (const core::HostId& host : m_gossip) {
    const bool near = m_table.FindMember(host)->data_centre == m_settings.data_centre;
    (near ? m_near : m_far).push_back(host);
  }
}

}  // namespace cornelrelay::gossip
