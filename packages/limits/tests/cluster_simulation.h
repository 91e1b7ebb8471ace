#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/limits/admission_controller.h"

namespace cornelrelay::limits {

/// \brief Simulates several entry processes with random deaths, joins, partitions and late,
/// reordered messages.
///
/// Each process learns of joins and deaths one by one and in any order, as by gossip. After each
/// event, the requests that run and have started on all processes are compared with the limits.
class ClusterSimulation {
 public:
  ClusterSimulation(std::uint64_t seed, AdmissionFault fault) : m_random(seed), m_fault(fault) {
    m_limits.concurrency = 1 + m_random.Below(40);
    m_limits.account = {1 + m_random.Below(20), 1 + m_random.Below(50), 1 + m_random.Below(20),
                        m_random.Below(30)};
    const std::size_t size = 2 + m_random.Below(6);
    for (std::size_t i = 0; i < size; ++i) m_membership_changes.push_back({NewMember(), true});
    for (std::size_t i = 0; i < size; ++i)
      StartProcess(m_membership_changes[i].member, std::set<std::size_t>());
    for (auto& [id, node] : m_nodes) {
      for (std::size_t i = 0; i < size; ++i) node.known_changes.insert(i);
      ReportMembers(node);
    }
    DeliverAllConfirmations();
    m_now += std::chrono::seconds(2);
    for (auto& [id, node] : m_nodes) Handle(node, TickElapsed{});
  }

  void Run(std::size_t steps) {
    for (std::size_t i = 0; i < steps; ++i) RandomStep();
  }

  /// \brief Ends the partition and all requests, and delivers all changes and confirmations.
  void HealAndSettle() {
    m_partition.clear();
    for (auto& [id, node] : m_nodes) {
      while (!node.running.empty()) EndRequest(node);
    }
    for (int round = 0; round < 3; ++round) {
      for (auto& [id, node] : m_nodes) {
        for (std::size_t i = 0; i < m_membership_changes.size(); ++i) node.known_changes.insert(i);
        ReportMembers(node);
        while (!node.running.empty()) EndRequest(node);
      }
      DeliverAllConfirmations();
      m_now += std::chrono::seconds(60);
      for (auto& [id, node] : m_nodes) Handle(node, TickElapsed{});
      for (auto& [id, node] : m_nodes) {
        while (!node.running.empty()) EndRequest(node);
      }
    }
  }

  /// \brief Sum of the usable concurrency of one account over all processes.
  std::uint64_t UsableSum() const {
    std::uint64_t sum = 0;
    for (const auto& [id, node] : m_nodes) {
      sum += node.controller.shares().Usable(m_limits.account.concurrency, "s\naccount-0");
    }
    return sum;
  }

  const ServiceLimits& limits() const { return m_limits; }
  bool violated() const { return m_violated; }
  std::size_t started_count() const { return m_started_count; }
  const std::vector<std::string>& trace() const { return m_trace; }

 private:
  struct Node {
    AdmissionController controller;
    Member member;
    std::set<std::size_t> known_changes;
    std::map<core::RequestId, core::ClientAccountId> queued;
    std::map<core::RequestId, core::ClientAccountId> running;
  };
  struct MembershipChange {
    Member member;
    bool joined = true;
  };
  struct Confirmation {
    std::uint64_t view = 0;
    Standing standing = Standing::kNew;
    std::uint64_t sequence = 0;
  };

  Member NewMember() { return {core::HostId("host-" + std::to_string(m_host_count++)), 1}; }

  void StartProcess(const Member& member, const std::set<std::size_t>& known_changes) {
    AdmissionConfig config;
    config.shares.self = member.id;
    config.shares.fault = m_fault;
    const auto node =
        m_nodes.emplace(member.id, Node{AdmissionController(config), member, known_changes, {}, {}})
            .first;
    Handle(node->second, LimitsChanged{core::ServiceId("s"), m_limits});
  }

  void ReportMembers(Node& node) {
    std::set<Member> members;
    for (const std::size_t change : node.known_changes) {
      if (m_membership_changes[change].joined) members.insert(m_membership_changes[change].member);
    }
    for (const std::size_t change : node.known_changes) {
      if (!m_membership_changes[change].joined) members.erase(m_membership_changes[change].member);
    }
    Handle(node, MembersChanged{{members.begin(), members.end()}});
  }

  void DeliverAllConfirmations() {
    for (auto& [to, node] : m_nodes) {
      // Iterates over a copy, because deliveries can add confirmations.
      const auto confirmations = m_confirmations;
      for (const auto& [from, confirmation] : confirmations)
        DeliverConfirmation(node, from, confirmation);
    }
  }

  void DeliverConfirmation(Node& node, const core::HostId& from, const Confirmation& confirmation) {
    Handle(node, ConfirmationReceived{from, confirmation.view, confirmation.standing,
                                      confirmation.sequence});
  }

  void EndRequest(Node& node) {
    auto request = node.running.begin();
    std::advance(request, static_cast<std::ptrdiff_t>(m_random.Below(node.running.size())));
    const core::RequestId id = request->first;
    node.running.erase(request);
    if (m_random.Below(2) == 0) {
      Handle(node, RequestFinished{id});
    } else {
      Handle(node, RequestCancelled{id});
    }
  }

  void Handle(Node& node, const AdmissionEvent& event) {
    for (const AdmissionAction& action : node.controller.Step(m_now, event)) {
      std::visit(core::Overloaded{
                     [&](const StartRequest& a) {
                       node.running[a.request] = AccountOf(a.request);
                       ++m_starts_per_account[AccountOf(a.request)];
                       ++m_started_count;
                       m_trace.push_back(a.request.value());
                     },
                     [&](const QueueRequest& a) { node.queued[a.request] = AccountOf(a.request); },
                     [&](const RefuseRequest& a) {
                       m_trace.push_back(a.request.value() + std::string(ToString(a.reason)));
                     },
                     [&](const PublishConfirmation& a) {
                       m_confirmations.emplace_back(node.member.id,
                                                    Confirmation{a.view, a.standing, ++m_sequence});
                     }},
                 action);
    }
    CheckLimits();
  }

  static core::ClientAccountId AccountOf(const core::RequestId& request) {
    return core::ClientAccountId(request.value().substr(0, request.value().find('/')));
  }

  void CheckLimits() {
    std::size_t total_running = 0;
    std::map<core::ClientAccountId, std::size_t> per_account;
    for (const auto& [id, node] : m_nodes) {
      total_running += node.running.size();
      for (const auto& [request, account] : node.running) ++per_account[account];
    }
    m_violated = m_violated || total_running > m_limits.concurrency;
    for (const auto& [account, count] : per_account) {
      m_violated = m_violated || count > m_limits.account.concurrency;
    }
    const double seconds = std::chrono::duration<double>(m_now - core::Instant{}).count();
    const double earned = static_cast<double>(m_limits.account.burst) +
                          seconds * static_cast<double>(m_limits.account.rate);
    for (const auto& [account, count] : m_starts_per_account)
      m_violated = m_violated || static_cast<double>(count) > earned + 1e-6;
  }

  bool Separated(const core::HostId& a, const core::HostId& b) const {
    return m_partition.contains(a) != m_partition.contains(b);
  }

  void KillProcesses() {
    const std::size_t victims = m_random.Below(4) == 0 ? m_nodes.size() / 2 : 1;
    for (std::size_t i = 0; i < victims && m_nodes.size() > 1; ++i) {
      auto victim = m_nodes.begin();
      std::advance(victim, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
      m_membership_changes.push_back({victim->second.member, false});
      const core::HostId victim_id = victim->first;
      m_nodes.erase(victim);
      for (auto& [id, node] : m_nodes) {
        if (!Separated(id, victim_id)) {
          node.known_changes.insert(m_membership_changes.size() - 1);
          ReportMembers(node);
          break;
        }
      }
    }
  }

  void JoinThrough(const Node& introducer) {
    const Member member = NewMember();
    if (m_partition.contains(introducer.member.id)) m_partition.insert(member.id);
    m_membership_changes.push_back({member, true});
    std::set<std::size_t> known_changes = introducer.known_changes;
    known_changes.insert(m_membership_changes.size() - 1);
    StartProcess(member, known_changes);
    ReportMembers(m_nodes.at(member.id));
  }

  void RandomStep() {
    m_now += std::chrono::milliseconds(m_random.Below(30));
    auto entry = m_nodes.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
    Node& node = entry->second;
    const std::uint64_t kind = m_random.Below(100);
    if (kind < 45) {
      const std::string account = "account-" + std::to_string(m_random.Below(3));
      RequestArrived arrived{core::RequestId(account + "/" + std::to_string(m_request_count++)),
                             core::ClientAccountId(account), core::ServiceId("s")};
      arrived.priority = static_cast<std::uint8_t>(m_random.Below(3));
      if (m_random.Below(2) == 0)
        arrived.deadline = m_now + std::chrono::milliseconds(m_random.Below(2000));
      Handle(node, arrived);
    } else if (kind < 65) {
      if (!node.running.empty()) EndRequest(node);
    } else if (kind < 68) {
      Handle(node, TickElapsed{});
    } else if (kind < 80) {
      // Passes one membership change from a process to another, unless a partition separates them.
      auto from = m_nodes.begin();
      std::advance(from, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
      if (Separated(from->first, entry->first) || from->second.known_changes.empty()) return;
      auto change = from->second.known_changes.begin();
      std::advance(change,
                   static_cast<std::ptrdiff_t>(m_random.Below(from->second.known_changes.size())));
      if (node.known_changes.insert(*change).second) ReportMembers(node);
    } else if (kind < 96) {
      if (m_confirmations.empty()) return;
      // Delivers mostly recent confirmations, so that views settle between changes, and sometimes
      // stale ones.
      const std::size_t recent = m_random.Below(8) == 0
                                     ? m_confirmations.size()
                                     : std::min<std::size_t>(m_confirmations.size(), 12);
      const auto [from, confirmation] =
          m_confirmations[m_confirmations.size() - 1 - m_random.Below(recent)];
      if (from != entry->first && !Separated(from, entry->first))
        DeliverConfirmation(node, from, confirmation);
    } else if (kind == 96) {
      KillProcesses();
    } else if (kind < 99) {
      if (m_nodes.size() < 10) JoinThrough(node);
    } else {
      m_partition.clear();
      if (m_random.Below(2) == 0) {
        for (const auto& [id, other] : m_nodes) {
          if (m_random.Below(2) == 0) m_partition.insert(id);
        }
      }
    }
  }

  core::Random m_random;
  AdmissionFault m_fault;
  ServiceLimits m_limits;
  core::Instant m_now{};
  std::map<core::HostId, Node> m_nodes;
  std::vector<MembershipChange> m_membership_changes;
  std::vector<std::pair<core::HostId, Confirmation>> m_confirmations;
  std::set<core::HostId> m_partition;
  std::map<core::ClientAccountId, std::uint64_t> m_starts_per_account;
  std::vector<std::string> m_trace;
  std::uint64_t m_sequence = 0;
  std::size_t m_host_count = 0;
  std::size_t m_request_count = 0;
  std::size_t m_started_count = 0;
  bool m_violated = false;
};

}  // namespace cornelrelay::limits
