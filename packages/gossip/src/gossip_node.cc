#include "cornelrelay/gossip/gossip_node.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <utility>

#include "cornelrelay/core/overloaded.h"
#include "cornelrelay/gossip/message_size.h"

namespace cornelrelay::gossip {
namespace {

// Ticks come every 250 ms; a longer gap means that this process was not running.
constexpr core::Duration kPauseGap = std::chrono::milliseconds(1500);
constexpr core::Duration kExpiryInterval = std::chrono::seconds(1);
constexpr core::Duration kStatusRepeat = std::chrono::seconds(5);
constexpr core::Duration kReconnectInterval = std::chrono::seconds(5);
constexpr core::Duration kSeedInterval = std::chrono::seconds(60);
constexpr core::Duration kLonelyInterval = std::chrono::seconds(1);
constexpr core::Duration kTellInterval = std::chrono::seconds(1);
constexpr std::size_t kPiggybackRoom = 160;
// One entry process a probe: a leaf needs to know a few only.
constexpr std::size_t kLeafPiggybackRoom = 80;
// Changes of a load of up to two codes (9% of a count, 1% of cache use) are not worth a report.
constexpr int kLoadNoise = 2;
constexpr std::uint64_t kSeedOffset = 0x6e6f6465ULL;

GossipPush& PushOf(Message& message) {
  return std::visit(core::Overloaded{[](GossipPush& push) -> GossipPush& { return push; },
                                     [](auto& other) -> GossipPush& { return other.push; }},
                    message);
}

const GossipPush& PushOf(const Message& message) {
  return std::visit(
      core::Overloaded{[](const GossipPush& push) -> const GossipPush& { return push; },
                       [](const auto& other) -> const GossipPush& { return other.push; }},
      message);
}

bool Differs(const UpstreamStatus& a, const UpstreamStatus& b) {
  const auto far = [](std::uint8_t x, std::uint8_t y) { return std::abs(x - y) > kLoadNoise; };
  if (far(a.load.running, b.load.running) || far(a.load.waiting, b.load.waiting) ||
      far(a.load.cache_use, b.load.cache_use) || far(a.load.step_time, b.load.step_time)) {
    return true;
  }
  UpstreamStatus same_load = a;
  same_load.load = b.load;
  return same_load != b;
}

}  // namespace

GossipNode::GossipNode(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_table(m_settings.faults),
      m_roster(m_settings, m_table),
      m_random(m_settings.random_seed + kSeedOffset),
      m_disseminator(m_settings, m_table, m_roster),
      m_detector(m_settings, m_table, m_roster),
      m_member_key{RecordKind::kMember, m_settings.self.value()},
      m_incarnation(m_settings.incarnation),
      m_member_incarnation(m_settings.incarnation) {
  assert(m_settings.incarnation > 0);
}

std::vector<Action> GossipNode::Step(core::Instant now, const NodeEvent& event) {
  m_out.clear();
  if (!m_last_step) {
    PublishMember(now, Life::kAlive);
  } else if (now - *m_last_step > kPauseGap) {
    m_detector.Step(now, PauseDetected{now - *m_last_step});
  }
  m_last_step = now;
  std::visit(core::Overloaded{
                 [&](const Tick&) { OnTick(now); },
                 [&](const Received& received) { OnReceived(now, received); },
                 [&](const PublishStatus& report) { OnStatus(now, report); },
                 [&](const AnnounceLeaving& leaving) {
                   PublishOwn(now, {RecordKind::kUpstreamLeaving, leaving.upstream.value()},
                              LeavingNotice{LeavingScope::kUpstream}, kLeavingLife);
                 },
                 [&](const Leave&) { OnLeave(now); },
                 [&](const ReportCrash& report) {
                   // One record per reporter: two observers of a crash must not overwrite
                   // each other.
                   const std::string subject = report.subject + '/' + m_settings.self.value();
                   PublishOwn(now, {RecordKind::kCrash, subject}, report.note, kCrashLife);
                 },
                 [&](const SetRevision& set) {
                   if (set.revision <= m_revision) return;
                   m_revision = set.revision;
                   PublishMember(now, m_left ? Life::kLeft : Life::kAlive);
                 },
                 [&](const PublishStanding& own) {
                   PublishOwn(now, {RecordKind::kLimitStanding, m_settings.self.value()},
                              own.standing, {});
                 },
                 [&](const HostListReceived& list) { OnHostList(now, list); },
                 [&](const SnapshotReceived& snapshot) {
                   for (const Record& record : snapshot.records) {
                     // An own record of an earlier life is refuted when a peer sends it.
                     const bool wanted = record.key != m_member_key &&
                                         record.version.incarnation > 0 && m_roster.Wants(record);
                     if (wanted) Accept(now, record, false);
                   }
                 }},
             event);
  return std::exchange(m_out, {});
}

void GossipNode::OnTick(core::Instant now) {
  if (now >= m_next_expiry) {
    m_next_expiry = now + kExpiryInterval;
    m_table.Expire(now);
    std::erase_if(m_told, [&](const auto& told) { return now - told.second > kTellInterval; });
  }
  m_roster.Refresh();
  if (!m_left) Apply(now, m_detector.Step(now, DetectorTick{}));
  Apply(now, m_disseminator.Step(now, DisseminatorTick{}));
  Reconnect(now);
}

void GossipNode::OnReceived(core::Instant now, const Received& received) {
  Absorb(now, PushOf(received.message), received);
  std::visit(
      core::Overloaded{
          [&](const Probe& probe) {
            SendDirect(now, {received.from, received.endpoint, ProbeAck{probe.sequence, {}}});
          },
          [&](const ProbeAck& ack) {
            Apply(now, m_detector.Step(now, AckReceived{received.from, ack.sequence}));
          },
          [&](const ProbeRequest& request) {
            Apply(now, m_detector.Step(
                           now, RelayRequested{received.from, request.sequence, request.target}));
          },
          [](const GossipPush&) {}},
      received.message);
  TellSuspected(now, received);
}

void GossipNode::OnStatus(core::Instant now, const PublishStatus& report) {
  const RecordKey key{RecordKind::kUpstream, report.upstream.value()};
  const StoredRecord* stored = m_table.Find(key);
  const bool repeat = stored != nullptr && stored->record.origin == m_settings.self &&
                      stored->record.version.incarnation == m_incarnation &&
                      !Differs(std::get<UpstreamStatus>(stored->record.payload), report.status) &&
                      now - stored->issued < kStatusRepeat;
  if (!repeat) PublishOwn(now, key, report.status, kStatusLife);
}

void GossipNode::OnLeave(core::Instant now) {
  m_left = true;
  PublishOwn(now, {RecordKind::kHostLeaving, m_settings.self.value()},
             LeavingNotice{LeavingScope::kHost}, kLeavingLife);
  PublishMember(now, Life::kLeft);
}

void GossipNode::OnHostList(core::Instant now, const HostListReceived& list) {
  for (const HostListEntry& entry : list.hosts) {
    const RecordKey key{RecordKind::kMember, entry.host.value()};
    if (entry.leaving || entry.host == m_settings.self || m_table.Find(key) != nullptr) continue;
    // Version zero loses against anything that the host itself has said.
    const Record record{
        key,       m_settings.self,
        Version{}, {},
        {},        MemberState{Life::kAlive, entry.role, entry.data_centre, entry.control, 0}};
    if (m_roster.Wants(record)) Accept(now, record);
  }
}

void GossipNode::PublishOwn(core::Instant now, const RecordKey& key, Payload payload,
                            core::Duration life) {
  std::uint64_t& incarnation =
      key.kind == RecordKind::kMember ? m_member_incarnation : m_incarnation;
  Version version{incarnation, 1};
  if (const StoredRecord* stored = m_table.Find(key)) {
    const Version& last = stored->record.version;
    // An earlier life of this process may have used a higher number, e.g. if its clock was ahead.
    if (last.incarnation > incarnation) incarnation = last.incarnation + 1;
    version = {incarnation, last.incarnation == incarnation ? last.sequence + 1 : 1};
  }
  Accept(now, Record{key, m_settings.self, version, life, {}, std::move(payload)});
}

void GossipNode::PublishMember(core::Instant now, Life life) {
  PublishOwn(
      now, m_member_key,
      MemberState{life, m_settings.role, m_settings.data_centre, m_settings.control, m_revision},
      life == Life::kLeft ? kTombstoneLife : core::Duration{});
}

Record GossipNode::OwnMember(core::Instant now) const {
  return Export(*m_table.Find(m_member_key), now);
}

void GossipNode::Apply(core::Instant now, std::vector<Action> actions) {
  for (Action& action : actions) {
    std::visit(
        core::Overloaded{[&](Send& send) {
                           // Rounds are complete and charged; probes get their load here.
                           if (std::holds_alternative<GossipPush>(send.message)) {
                             m_out.emplace_back(std::move(send));
                           } else {
                             SendDirect(now, std::move(send));
                           }
                         },
                         [&](Publish& publish) { Accept(now, publish.record); },
                         [&](RecordChanged& changed) { m_out.emplace_back(std::move(changed)); }},
        action);
  }
}

void GossipNode::SendDirect(core::Instant now, Send send) {
  GossipPush& push = PushOf(send.message);
  const MemberState* receiver = m_table.FindMember(send.to);
  const bool to_leaf = m_settings.topology == Topology::kLeafAgents && receiver != nullptr &&
                       receiver->role == Role::kAgent;
  push = m_disseminator.Piggyback(now, to_leaf ? kLeafPiggybackRoom : kPiggybackRoom, to_leaf);
  push.records.push_back(OwnMember(now));
  if (!send.to.empty()) {
    const StoredRecord* target = m_table.Find({RecordKind::kMember, send.to.value()});
    const bool doubted = target != nullptr && target->record.version.incarnation > 0 &&
                         std::get<MemberState>(target->record.payload).life != Life::kAlive;
    if (doubted) push.records.push_back(Export(*target, now));
  }
  m_disseminator.Step(
      now, BytesSent{EncodedSize(send.message) + EnvelopeBytes(m_settings.self) + kNetworkBytes});
  m_out.emplace_back(std::move(send));
}

void GossipNode::TellSuspected(core::Instant now, const Received& from) {
  const MemberState* member = m_table.FindMember(from.from);
  if (m_left || member == nullptr || member->life == Life::kAlive || member->life == Life::kLeft) {
    return;
  }
  const auto [told, first] = m_told.try_emplace(from.from, now);
  if (!first && now - told->second < kTellInterval) return;
  told->second = now;
  SendDirect(now, {from.from, from.endpoint, GossipPush{}});
}

void GossipNode::Reconnect(core::Instant now) {
  if (m_left || now < m_next_reconnect) return;
  const bool lonely = m_roster.gossip().empty();
  m_next_reconnect = now + (lonely ? kLonelyInterval : kReconnectInterval);
  const auto& dead = m_roster.dead();
  if (!dead.empty()) {
    const core::HostId& host = dead[m_random.Below(dead.size())];
    SendDirect(now, {host, m_table.FindMember(host)->control, GossipPush{}});
  }
  // A lonely process asks all seeds: processes that know different seeds only could stay apart.
  // Later one is asked rarely, as all processes share them.
  const auto& seeds = m_settings.seeds;
  if (seeds.empty() || (!lonely && now < m_next_seed)) return;
  m_next_seed = now + kSeedInterval;
  const std::size_t first = lonely ? 0 : m_random.Below(seeds.size());
  const std::size_t last = lonely ? seeds.size() : first + 1;
  for (std::size_t i = first; i < last; ++i) {
    if (seeds[i] != m_settings.control) {
      SendDirect(now, {core::HostId(), seeds[i], GossipPush{}});
    }
  }
}

}  // namespace cornelrelay::gossip
