// The part of GossipNode that takes in records.

#include <algorithm>
#include <optional>

#include "cornelrelay/gossip/gossip_node.h"

namespace cornelrelay::gossip {

void GossipNode::Absorb(core::Instant now, const GossipPush& push, const Received& from) {
  for (const Record& record : push.records) Absorb(now, record, from);
  const auto draining = [&](const RecordKey& key) {
    const StoredRecord* stored = m_table.Find(key);
    return stored != nullptr && std::get<UpstreamStatus>(stored->record.payload).draining;
  };
  for (const StatusSample& sample : push.samples) {
    const RecordKey* key = m_table.FindByHash(sample.subject_hash);
    if (key == nullptr) continue;
    const bool before = draining(*key);
    AbsorbLoad(now, *key, before, m_table.Merge(sample, now));
  }
  for (const StatusDelta& delta : push.deltas) {
    const RecordKey key{RecordKind::kUpstream, delta.upstream.value()};
    const bool before = draining(key);
    AbsorbLoad(now, key, before, m_table.Merge(delta, now));
  }
}

void GossipNode::AbsorbLoad(core::Instant now, const RecordKey& key, bool was_draining,
                            MergeResult result) {
  if (result != MergeResult::kNewer) return;
  const Record& record = m_table.Find(key)->record;
  const bool drains = std::get<UpstreamStatus>(record.payload).draining && !was_draining;
  m_disseminator.Step(now, News{key, drains ? Urgency::kLeaving : Urgency::kRoutine});
  if (drains) m_out.emplace_back(RecordChanged{record});
}

void GossipNode::Absorb(core::Instant now, const Record& record, const Received& from) {
  if (record.version.incarnation == 0 || !m_roster.Wants(record)) return;
  const bool notice = std::holds_alternative<LeavingNotice>(record.payload);
  if (notice && m_settings.faults.drop_leaving_notices) return;
  if (record.key == m_member_key) {
    Refute(now, record, from);
    return;
  }
  Accept(now, record);
}

void GossipNode::Refute(core::Instant now, const Record& claim, const Received& from) {
  const StoredRecord* own = m_table.Find(m_member_key);
  if (m_left || !Supersedes(claim, own->record)) return;
  m_member_incarnation = claim.version.incarnation + 1;
  PublishMember(now, Life::kAlive);
  m_disseminator.Step(now, News{m_member_key, Urgency::kSuspicion});
  SendDirect(now, {from.from, from.endpoint, GossipPush{}});
}

void GossipNode::Accept(core::Instant now, const Record& record, bool news) {
  const StoredRecord* stored = m_table.Find(record.key);
  const std::optional<Record> previous =
      stored == nullptr ? std::nullopt : std::optional(stored->record);
  if (m_table.Merge(record, now) != MergeResult::kNewer) return;
  if (news && record.version.incarnation > 0) {
    const Urgency urgency = UrgencyOf(previous ? &*previous : nullptr, record, m_highest_revision);
    m_disseminator.Step(now, News{record.key, urgency});
  }
  if (const auto* member = std::get_if<MemberState>(&record.payload)) {
    m_highest_revision = std::max(m_highest_revision, member->revision);
    MemberRecordChanged change{core::HostId(record.key.subject), std::nullopt, member->life,
                               record.origin};
    if (previous) change.previous = std::get<MemberState>(previous->payload).life;
    m_detector.Step(now, change);
    if (member->life == Life::kAlive && change.previous && *change.previous != Life::kAlive) {
      m_disseminator.Step(now, ContactRestored{change.host});
    }
  }
  m_out.emplace_back(RecordChanged{record});
}

std::vector<Record> GossipNode::Snapshot(core::Instant now, SnapshotPart part) const {
  std::vector<Record> records;
  for (const auto& [key, stored] : m_table.records()) {
    const Record& record = stored.record;
    if (record.version.incarnation == 0) continue;
    const auto* member = std::get_if<MemberState>(&record.payload);
    const auto* status = std::get_if<UpstreamStatus>(&record.payload);
    const bool far_agent = member != nullptr && member->role == Role::kAgent &&
                           member->data_centre != m_settings.data_centre;
    const bool far_status = status != nullptr && status->data_centre != m_settings.data_centre;
    const bool included = part == SnapshotPart::kFar ? far_status : !far_status && !far_agent;
    if (included) records.push_back(Export(stored, now));
  }
  return records;
}

}  // namespace cornelrelay::gossip
