#include "cornelrelay/gossip/record_table.h"

#include <algorithm>
#include <cassert>

#include "cornelrelay/core/hash.h"

namespace cornelrelay::gossip {
namespace {

std::uint16_t TagOf(const Version& version) {
  return static_cast<std::uint16_t>(version.incarnation);
}

bool SameMember(const Record& a, const Record& b) {
  const auto* x = std::get_if<MemberState>(&a.payload);
  const auto* y = std::get_if<MemberState>(&b.payload);
  return x && y && x->life == y->life && x->role == y->role && x->data_centre == y->data_centre &&
         x->control == y->control;
}

// Remembers a full status record as the base of deltas. Only owners' base records (every
// kBaseInterval-th) are shared by all processes; any other full record serves until one arrives.
void NoteBase(StoredRecord& stored, const Record& record, bool first) {
  const auto* status = std::get_if<UpstreamStatus>(&record.payload);
  if (status == nullptr) return;
  const bool base = record.version.sequence % kBaseInterval == 0 &&
                    record.version.sequence > stored.base_sequence;
  if (!first && !base) return;
  stored.base_sequence = record.version.sequence;
  stored.base_load = status->load;
  stored.base_draining = status->draining;
}

}  // namespace

std::uint32_t SubjectHash(std::string_view subject, std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(core::Hash64(subject, incarnation));
}

void RecordTable::AddHash(const Record& record) {
  m_by_hash[SubjectHash(record.key.subject, record.version.incarnation)].push_back(record.key);
}

void RecordTable::RemoveHash(const Record& record) {
  const auto bucket = m_by_hash.find(SubjectHash(record.key.subject, record.version.incarnation));
  assert(bucket != m_by_hash.end());
  std::erase(bucket->second, record.key);
  if (bucket->second.empty()) m_by_hash.erase(bucket);
}

bool RecordTable::Replaces(const Record& a, const Record& b) const {
  if (!m_faults.ignore_incarnation) return Supersedes(a, b);
  Record blind = a;
  blind.version.incarnation = b.version.incarnation;
  return Supersedes(blind, b);
}

MergeResult RecordTable::Merge(const Record& record, core::Instant now) {
  if (record.time_to_live.count() > 0 && record.age >= record.time_to_live) {
    return MergeResult::kExpired;
  }
  const auto [found, inserted] = m_records.try_emplace(record.key);
  StoredRecord& stored = found->second;
  const core::Instant issued = now - record.age;
  const bool first = inserted || stored.record.version.incarnation != record.version.incarnation;
  if (!inserted && !Replaces(record, stored.record)) {
    if (!first) NoteBase(stored, record, false);
    if (Replaces(stored.record, record)) return MergeResult::kOlder;
    // The oldest claim of the issue time wins: a copy must not live longer by being passed on.
    stored.issued = std::min(stored.issued, issued);
    return MergeResult::kSame;
  }
  if (record.key.kind == RecordKind::kMember && !(!inserted && SameMember(stored.record, record))) {
    ++m_member_generation;
  }
  const bool rehash = first && record.key.kind == RecordKind::kUpstream;
  if (rehash && !inserted) RemoveHash(stored.record);
  stored.record = record;
  stored.record.age = {};
  stored.issued = issued;
  NoteBase(stored, record, first);
  if (rehash) AddHash(record);
  return MergeResult::kNewer;
}

MergeResult RecordTable::ApplyLoad(StoredRecord& stored, std::uint64_t sequence, const Load& load,
                                   bool draining, core::Duration age, core::Instant now) {
  Record& record = stored.record;
  if (sequence < record.version.sequence) return MergeResult::kOlder;
  if (sequence == record.version.sequence) {
    stored.issued = std::min(stored.issued, now - age);
    return MergeResult::kSame;
  }
  auto& status = std::get<UpstreamStatus>(record.payload);
  status.load = load;
  status.draining = draining;
  record.version.sequence = sequence;
  stored.issued = now - age;
  return MergeResult::kNewer;
}

MergeResult RecordTable::Merge(const StatusSample& sample, core::Instant now) {
  const RecordKey* key = FindByHash(sample.subject_hash);
  if (key == nullptr) return MergeResult::kUnknownBase;
  StoredRecord& stored = m_records.at(*key);
  const std::uint64_t known = stored.record.version.sequence;
  const auto step = static_cast<std::int16_t>(sample.sequence - static_cast<std::uint16_t>(known));
  if (step < 0) return MergeResult::kOlder;
  return ApplyLoad(stored, known + static_cast<std::uint64_t>(step), sample.load, sample.draining,
                   sample.age, now);
}

MergeResult RecordTable::Merge(const StatusDelta& delta, core::Instant now) {
  const auto found = m_records.find({RecordKind::kUpstream, delta.upstream.value()});
  if (found == m_records.end()) return MergeResult::kUnknownBase;
  StoredRecord& stored = found->second;
  if (TagOf(stored.record.version) != delta.incarnation_tag || stored.base_sequence != delta.base) {
    return MergeResult::kUnknownBase;
  }
  const auto pick = [&](unsigned bit, std::uint8_t changed, std::uint8_t base) {
    return (delta.changed >> bit & 1U) != 0 ? changed : base;
  };
  const Load load{pick(0, delta.load.running, stored.base_load.running),
                  pick(1, delta.load.waiting, stored.base_load.waiting),
                  pick(2, delta.load.cache_use, stored.base_load.cache_use),
                  pick(3, delta.load.step_time, stored.base_load.step_time)};
  const bool draining = stored.base_draining != ((delta.changed >> 4U & 1U) != 0);
  return ApplyLoad(stored, delta.sequence, load, draining, delta.age, now);
}

std::vector<RecordKey> RecordTable::Expire(core::Instant now) {
  std::vector<RecordKey> expired;
  for (auto it = m_records.begin(); it != m_records.end();) {
    const auto& [key, stored] = *it;
    const core::Duration life = stored.record.time_to_live;
    if (life.count() == 0 || now - stored.issued < life) {
      ++it;
      continue;
    }
    if (key.kind == RecordKind::kMember) ++m_member_generation;
    if (key.kind == RecordKind::kUpstream) RemoveHash(stored.record);
    expired.push_back(key);
    it = m_records.erase(it);
  }
  return expired;
}

const StoredRecord* RecordTable::Find(const RecordKey& key) const {
  const auto found = m_records.find(key);
  return found == m_records.end() ? nullptr : &found->second;
}

const MemberState* RecordTable::FindMember(const core::HostId& host) const {
  const StoredRecord* stored = Find({RecordKind::kMember, host.value()});
  return stored == nullptr ? nullptr : std::get_if<MemberState>(&stored->record.payload);
}

const RecordKey* RecordTable::FindByHash(std::uint32_t subject_hash) const {
  const auto bucket = m_by_hash.find(subject_hash);
  return bucket == m_by_hash.end() || bucket->second.size() != 1 ? nullptr : &bucket->second[0];
}

std::size_t RecordTable::MemoryBytes() const {
  constexpr std::size_t kNode = 64;  // tree node header and allocator overhead
  constexpr std::size_t kInlineText = 15;
  std::size_t bytes = 0;
  for (const auto& [key, stored] : m_records) {
    bytes += kNode + sizeof(RecordKey) + sizeof(StoredRecord);
    if (key.subject.size() > kInlineText) bytes += 2 * (key.subject.size() + kInlineText);
  }
  return bytes + m_by_hash.size() * (kNode + sizeof(RecordKey) * 2);
}

Record Export(const StoredRecord& stored, core::Instant now) {
  Record record = stored.record;
  record.age = now - stored.issued;
  return record;
}

StatusSample ExportSample(const StoredRecord& stored, core::Instant now) {
  const auto& status = std::get<UpstreamStatus>(stored.record.payload);
  const Version& version = stored.record.version;
  return {SubjectHash(stored.record.key.subject, version.incarnation),
          static_cast<std::uint16_t>(version.sequence), status.load, status.draining,
          now - stored.issued};
}

StatusDelta ExportDelta(const StoredRecord& stored, core::Instant now) {
  const auto& status = std::get<UpstreamStatus>(stored.record.payload);
  StatusDelta delta;
  delta.upstream = core::UpstreamId(stored.record.key.subject);
  delta.incarnation_tag = TagOf(stored.record.version);
  delta.base = static_cast<std::uint32_t>(stored.base_sequence);
  delta.sequence = static_cast<std::uint32_t>(stored.record.version.sequence);
  const auto put = [&](unsigned bit, std::uint8_t value, std::uint8_t base) -> std::uint8_t {
    if (value == base) return 0;
    delta.changed |= static_cast<std::uint8_t>(1U << bit);
    return value;
  };
  delta.load.running = put(0, status.load.running, stored.base_load.running);
  delta.load.waiting = put(1, status.load.waiting, stored.base_load.waiting);
  delta.load.cache_use = put(2, status.load.cache_use, stored.base_load.cache_use);
  delta.load.step_time = put(3, status.load.step_time, stored.base_load.step_time);
  put(4, status.draining ? 1 : 0, stored.base_draining ? 1 : 0);
  delta.age = now - stored.issued;
  return delta;
}

}  // namespace cornelrelay::gossip
