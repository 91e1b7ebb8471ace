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

/// \brief Random run of several entry processes with deaths, joins, partitions and late, reordered
/// messages.
///
/// Each process learns joins and deaths one by one and in any order, as by gossip. The oracle
/// counts what runs.
class Cluster {
 public:
  Cluster(std::uint64_t seed, AdmissionFault fault) : m_random(seed), m_fault(fault) {
    m_limits.concurrency = 1 + m_random.Below(40);
    m_limits.account = {1 + m_random.Below(20), 1 + m_random.Below(50), 1 + m_random.Below(20),
                        m_random.Below(30)};
    const std::size_t size = 2 + m_random.Below(6);
    for (std::size_t i = 0; i < size; ++i) m_facts.push_back({Fresh(), true});
    for (std::size_t i = 0; i < size; ++i) Launch(m_facts[i].member, std::set<std::size_t>());
    for (auto& [id, node] : m_nodes) {
      for (std::size_t i = 0; i < size; ++i) node.known.insert(i);
      Tell(node);
    }
    DeliverAll();
    m_now += std::chrono::seconds(2);
    for (auto& [id, node] : m_nodes) Handle(node, TickElapsed{});
  }

  void Run(std::size_t steps) {
    for (std::size_t i = 0; i < steps; ++i) Act();
  }

  /// \brief Heals, delivers everything, ends all requests.
  void Settle() {
    m_cut.clear();
    for (auto& [id, node] : m_nodes) {
      while (!node.running.empty()) End(node);
    }
    for (int round = 0; round < 3; ++round) {
      for (auto& [id, node] : m_nodes) {
        for (std::size_t i = 0; i < m_facts.size(); ++i) node.known.insert(i);
        Tell(node);
        while (!node.running.empty()) End(node);
      }
      DeliverAll();
      m_now += std::chrono::seconds(60);
      for (auto& [id, node] : m_nodes) Handle(node, TickElapsed{});
      for (auto& [id, node] : m_nodes) {
        while (!node.running.empty()) End(node);
      }
    }
  }

  std::uint64_t UsableSum() const {
    std::uint64_t sum = 0;
    for (const auto& [id, node] : m_nodes) {
      sum += node.controller.shares().Usable(m_limits.account.concurrency, "s\naccount-0");
    }
    return sum;
  }

  const ServiceLimits& limits() const { return m_limits; }
  bool violated() const { return m_violated; }
  std::size_t started() const { return m_started; }
  const std::vector<std::string>& trace() const { return m_trace; }

 private:
  struct Node {
    AdmissionController controller;
    Member member;
    std::set<std::size_t> known;
    std::map<core::RequestId, core::ClientAccountId> queued;
    std::map<core::RequestId, core::ClientAccountId> running;
  };
  struct Fact {
    Member member;
    bool joined = true;
  };
  struct Statement {
    std::uint64_t view = 0;
    Standing standing = Standing::kNew;
    std::uint64_t sequence = 0;
  };

  Member Fresh() { return {core::HostId("host-" + std::to_string(m_hosts++)), 1}; }

  void Launch(const Member& member, const std::set<std::size_t>& known) {
    AdmissionConfig config;
    config.shares.self = member.id;
    config.shares.fault = m_fault;
    const auto node =
        m_nodes.emplace(member.id, Node{AdmissionController(config), member, known, {}, {}}).first;
    Handle(node->second, LimitsChanged{core::ServiceId("s"), m_limits});
  }

  void Tell(Node& node) {
    std::set<Member> members;
    for (const std::size_t fact : node.known) {
      if (m_facts[fact].joined) members.insert(m_facts[fact].member);
    }
    for (const std::size_t fact : node.known) {
      if (!m_facts[fact].joined) members.erase(m_facts[fact].member);
    }
    Handle(node, MembersChanged{{members.begin(), members.end()}});
  }

  void DeliverAll() {
    for (auto& [to, node] : m_nodes) {
      // A copy: deliveries can add statements.
      const auto statements = m_statements;
      for (const auto& [from, statement] : statements) Deliver(node, from, statement);
    }
  }

  void Deliver(Node& node, const core::HostId& from, const Statement& statement) {
    Handle(node,
           ConfirmationReceived{from, statement.view, statement.standing, statement.sequence});
  }

  void End(Node& node) {
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
                       node.running[a.request] = Owner(a.request);
                       ++m_starts[Owner(a.request)];
                       ++m_started;
                       m_trace.push_back(a.request.value());
                     },
                     [&](const QueueRequest& a) { node.queued[a.request] = Owner(a.request); },
                     [&](const RefuseRequest& a) {
                       m_trace.push_back(a.request.value() + std::string(ToString(a.reason)));
                     },
                     [&](const PublishConfirmation& a) {
                       m_statements.emplace_back(node.member.id,
                                                 Statement{a.view, a.standing, ++m_sequence});
                     }},
                 action);
    }
    Check();
  }

  static core::ClientAccountId Owner(const core::RequestId& request) {
    return core::ClientAccountId(request.value().substr(0, request.value().find('/')));
  }

  void Check() {
    std::size_t all = 0;
    std::map<core::ClientAccountId, std::size_t> per_account;
    for (const auto& [id, node] : m_nodes) {
      all += node.running.size();
      for (const auto& [request, account] : node.running) ++per_account[account];
    }
    m_violated = m_violated || all > m_limits.concurrency;
    for (const auto& [account, count] : per_account) {
      m_violated = m_violated || count > m_limits.account.concurrency;
    }
    const double seconds = std::chrono::duration<double>(m_now - core::Instant{}).count();
    const double earned = static_cast<double>(m_limits.account.burst) +
                          seconds * static_cast<double>(m_limits.account.rate);
    for (const auto& [account, count] : m_starts)
      m_violated = m_violated || static_cast<double>(count) > earned + 1e-6;
  }

  bool Cut(const core::HostId& a, const core::HostId& b) const {
    return m_cut.contains(a) != m_cut.contains(b);
  }

  void Kill() {
    const std::size_t victims = m_random.Below(4) == 0 ? m_nodes.size() / 2 : 1;
    for (std::size_t i = 0; i < victims && m_nodes.size() > 1; ++i) {
      auto victim = m_nodes.begin();
      std::advance(victim, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
      m_facts.push_back({victim->second.member, false});
      const core::HostId witness = victim->first;
      m_nodes.erase(victim);
      for (auto& [id, node] : m_nodes) {
        if (!Cut(id, witness)) {
          node.known.insert(m_facts.size() - 1);
          Tell(node);
          break;
        }
      }
    }
  }

  void Join(const Node& seed) {
    const Member member = Fresh();
    if (m_cut.contains(seed.member.id)) m_cut.insert(member.id);
    m_facts.push_back({member, true});
    std::set<std::size_t> known = seed.known;
    known.insert(m_facts.size() - 1);
    Launch(member, known);
    Tell(m_nodes.at(member.id));
  }

  void Act() {
    m_now += std::chrono::milliseconds(m_random.Below(30));
    auto entry = m_nodes.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
    Node& node = entry->second;
    const std::uint64_t kind = m_random.Below(100);
    if (kind < 45) {
      const std::string account = "account-" + std::to_string(m_random.Below(3));
      RequestArrived arrived{core::RequestId(account + "/" + std::to_string(m_requests++)),
                             core::ClientAccountId(account), core::ServiceId("s")};
      arrived.priority = static_cast<std::uint8_t>(m_random.Below(3));
      if (m_random.Below(2) == 0)
        arrived.deadline = m_now + std::chrono::milliseconds(m_random.Below(2000));
      Handle(node, arrived);
    } else if (kind < 65) {
      if (!node.running.empty()) End(node);
    } else if (kind < 68) {
      Handle(node, TickElapsed{});
    } else if (kind < 80) {
      // One fact from one process to another, unless a partition separates them.
      auto from = m_nodes.begin();
      std::advance(from, static_cast<std::ptrdiff_t>(m_random.Below(m_nodes.size())));
      if (Cut(from->first, entry->first) || from->second.known.empty()) return;
      auto fact = from->second.known.begin();
      std::advance(fact, static_cast<std::ptrdiff_t>(m_random.Below(from->second.known.size())));
      if (node.known.insert(*fact).second) Tell(node);
    } else if (kind < 96) {
      if (m_statements.empty()) return;
      // Mostly recent statements, so that views settle between changes; sometimes stale ones.
      const std::size_t recent = m_random.Below(8) == 0
                                     ? m_statements.size()
                                     : std::min<std::size_t>(m_statements.size(), 12);
      const auto [from, statement] = m_statements[m_statements.size() - 1 - m_random.Below(recent)];
      if (from != entry->first && !Cut(from, entry->first)) Deliver(node, from, statement);
    } else if (kind == 96) {
      Kill();
    } else if (kind < 99) {
      if (m_nodes.size() < 10) Join(node);
    } else {
      m_cut.clear();
      if (m_random.Below(2) == 0) {
        for (const auto& [id, other] : m_nodes) {
          if (m_random.Below(2) == 0) m_cut.insert(id);
        }
      }
    }
  }

  core::Random m_random;
  AdmissionFault m_fault;
  ServiceLimits m_limits;
  core::Instant m_now{};
  std::map<core::HostId, Node> m_nodes;
  std::vector<Fact> m_facts;
  std::vector<std::pair<core::HostId, Statement>> m_statements;
  std::set<core::HostId> m_cut;
  std::map<core::ClientAccountId, std::uint64_t> m_starts;
  std::vector<std::string> m_trace;
  std::uint64_t m_sequence = 0;
  std::size_t m_hosts = 0;
  std::size_t m_requests = 0;
  std::size_t m_started = 0;
  bool m_violated = false;
};

}  // namespace cornelrelay::limits
