#include "cornelrelay/gossip/membership_detector.h"

#include <algorithm>
#include <utility>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::gossip {
namespace {

constexpr std::size_t kIndirectProbes = 3;
constexpr core::Duration kDirectTimeout = std::chrono::milliseconds(300);
constexpr core::Duration kRelayLife = std::chrono::seconds(2);
constexpr int kForeignFactor = 3;
// A leaf probes only to keep its homes and to hear of revisions; entry processes probe it too.
constexpr int kLeafFactor = 2;

// Probes and indirect probes use random streams of their own, apart from the gossip's.
constexpr std::uint64_t kSeedOffset = 0x70726f6265ULL;

}  // namespace

MembershipDetector::MembershipDetector(const NodeSettings& settings, const RecordTable& table,
                                       Roster& roster)
    : m_settings(settings),
      m_table(table),
      m_roster(roster),
      m_random(settings.random_seed + kSeedOffset),
      m_mass_loss(settings, table, roster) {}

std::vector<Action> MembershipDetector::Step(core::Instant now, const DetectorEvent& event) {
  std::vector<Action> actions;
  std::visit(
      core::Overloaded{[&](const DetectorTick&) { OnTick(now, actions); },
                       [&](const PauseDetected& pause) {
                         m_outstanding.reset();
                         m_relays.clear();
                         m_mass_loss.ForgetProbes();
                         for (auto& [host, suspicion] : m_suspicions) {
                           suspicion.deadline += pause.gap + m_settings.suspicion_timeout;
                         }
                       },
                       [&](const AckReceived& ack) { OnAck(ack, actions); },
                       [&](const RelayRequested& request) { OnRelay(now, request, actions); },
                       [&](const MemberRecordChanged& change) { OnMember(now, change); }},
      event);
  return actions;
}

void MembershipDetector::OnTick(core::Instant now, std::vector<Action>& actions) {
  m_roster.Refresh();
  std::erase_if(m_relays, [&](const auto& relay) { return relay.second.expires <= now; });
  if (m_outstanding && !m_outstanding->acked && !m_outstanding->indirect &&
      now - m_outstanding->sent >= kDirectTimeout) {
    m_outstanding->indirect = true;
    SendIndirect(actions);
  }
  if (now < m_next_probe) return;
  m_next_probe = now + m_settings.probe_interval * (m_roster.leaf() ? kLeafFactor : 1);
  FinishProbe(now, actions);
  m_roster.Refresh();
  const auto target = NextTarget(now);
  if (!target) return;
  m_outstanding = Outstanding{*target, ++m_sequence, now};
  SendProbe(*target, m_sequence, actions);
}

std::optional<core::HostId> MembershipDetector::NextTarget(core::Instant now) {
  const auto& probed = m_roster.probed();
  const auto is_probed = [&](const core::HostId& host) {
    return std::binary_search(probed.begin(), probed.end(), host);
  };
  // A suspicion that is due needs one more probe before the member is removed.
  for (const auto& [host, suspicion] : m_suspicions) {
    if (suspicion.deadline <= now && is_probed(host) && !m_mass_loss.Holds(host, now)) return host;
  }
  while (true) {
    if (m_order.empty()) {
      if (probed.empty()) return std::nullopt;
      m_order = probed;
      for (std::size_t i = m_order.size(); i > 1; --i) {
        std::swap(m_order[i - 1], m_order[m_random.Below(i)]);
      }
    }
    const core::HostId next = m_order.back();
    m_order.pop_back();
    if (is_probed(next)) return next;
  }
}

void MembershipDetector::SendProbe(const core::HostId& target, std::uint32_t sequence,
                                   std::vector<Action>& actions) {
  const MemberState* member = m_table.FindMember(target);
  if (member == nullptr) return;
  actions.emplace_back(Send{target, member->control, Probe{sequence, {}}});
}

void MembershipDetector::SendIndirect(std::vector<Action>& actions) {
  std::vector<core::HostId> helpers;
  for (const core::HostId& host : m_roster.probed()) {
    const MemberState* member = m_table.FindMember(host);
    const bool usable = host != m_outstanding->target && member->life == Life::kAlive &&
                        member->role == Role::kEntry;
    if (usable) helpers.push_back(host);
  }
  for (std::size_t i = 0; i < kIndirectProbes && i < helpers.size(); ++i) {
    std::swap(helpers[i], helpers[i + m_random.Below(helpers.size() - i)]);
    actions.emplace_back(Send{helpers[i], m_table.FindMember(helpers[i])->control,
                              ProbeRequest{m_outstanding->sequence, m_outstanding->target, {}}});
  }
}

void MembershipDetector::OnAck(const AckReceived& ack, std::vector<Action>& actions) {
  if (m_outstanding && m_outstanding->sequence == ack.sequence) m_outstanding->acked = true;
  const auto relay = m_relays.find(ack.sequence);
  if (relay == m_relays.end()) return;
  const MemberState* requester = m_table.FindMember(relay->second.requester);
  if (requester != nullptr) {
    actions.emplace_back(
        Send{relay->second.requester, requester->control, ProbeAck{relay->second.sequence, {}}});
  }
  m_relays.erase(relay);
}

void MembershipDetector::OnRelay(core::Instant now, const RelayRequested& request,
                                 std::vector<Action>& actions) {
  if (m_table.FindMember(request.target) == nullptr) return;
  m_relays[++m_sequence] = Relay{request.from, request.sequence, now + kRelayLife};
  SendProbe(request.target, m_sequence, actions);
}

void MembershipDetector::OnMember(core::Instant now, const MemberRecordChanged& change) {
  if (change.life == Life::kSuspect) {
    const bool own = change.origin == m_settings.self;
    m_suspicions.try_emplace(
        change.host,
        Suspicion{now + m_settings.suspicion_timeout * (own ? 1 : kForeignFactor), own});
    return;
  }
  m_suspicions.erase(change.host);
  if (change.life == Life::kDead) m_mass_loss.NoteDeath(change.host, now);
  if (change.life == Life::kAlive) m_mass_loss.NoteAlive(change.host);
}

void MembershipDetector::FinishProbe(core::Instant now, std::vector<Action>& actions) {
  if (!m_outstanding) return;
  const Outstanding probe = *std::exchange(m_outstanding, std::nullopt);
  m_mass_loss.NoteProbe(probe.target, probe.acked);
  if (!probe.acked) {
    ProbeFailed(now, probe.target, actions);
    return;
  }
  // Its refutation is on the way; without the delay a due suspect would be probed alone.
  const auto suspicion = m_suspicions.find(probe.target);
  if (suspicion != m_suspicions.end()) {
    suspicion->second.deadline = now + m_settings.suspicion_timeout;
  }
}

void MembershipDetector::ProbeFailed(core::Instant now, const core::HostId& target,
                                     std::vector<Action>& actions) {
  const MemberState* member = m_table.FindMember(target);
  if (member == nullptr) return;
  if (member->life == Life::kAlive) {
    Declare(now, target, Life::kSuspect, actions);
    return;
  }
  const auto suspicion = m_suspicions.find(target);
  if (member->life != Life::kSuspect) return;
  if (suspicion == m_suspicions.end()) {
    m_suspicions[target] = {now + m_settings.suspicion_timeout, true};
  } else if (suspicion->second.deadline <= now && !m_mass_loss.Holds(target, now)) {
    Declare(now, target, Life::kDead, actions);
  } else if (!suspicion->second.own) {
    suspicion->second.own = true;
    suspicion->second.deadline =
        std::min(suspicion->second.deadline, now + m_settings.suspicion_timeout);
  }
}

void MembershipDetector::Declare(core::Instant now, const core::HostId& host, Life life,
                                 std::vector<Action>& actions) {
  const StoredRecord* stored = m_table.Find({RecordKind::kMember, host.value()});
  Record record = Export(*stored, now);
  std::get<MemberState>(record.payload).life = life;
  record.origin = m_settings.self;
  record.age = {};
  if (life == Life::kDead) record.time_to_live = kTombstoneLife;
  actions.emplace_back(Publish{std::move(record)});
}

}  // namespace cornelrelay::gossip
