#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/faults.h"
#include "cornelrelay/gossip/message.h"
#include "cornelrelay/gossip/stored_record.h"

namespace cornelrelay::gossip {

enum class MergeResult { kNewer, kSame, kOlder, kExpired, kUnknownBase };

/// \brief Newest known version of each record.
///
/// Merging is a lattice join: the order and repetition of records do not influence the result.
/// \code
/// if (table.Merge(record, now) == MergeResult::kNewer) forward(record);
/// \endcode
class RecordTable {
 public:
  using Map = std::map<RecordKey, StoredRecord>;

  explicit RecordTable(Faults faults = {}) : m_faults(faults) {}

  MergeResult Merge(const Record& record, core::Instant now);
  MergeResult Merge(const StatusSample& sample, core::Instant now);
  MergeResult Merge(const StatusDelta& delta, core::Instant now);

  /// \brief Removes records whose time to live has passed and returns their keys.
  std::vector<RecordKey> Expire(core::Instant now);

  const StoredRecord* Find(const RecordKey& key) const;
  const MemberState* FindMember(const core::HostId& host) const;
  /// \brief The key of the upstream status with this hash, unless two subjects share the hash.
  const RecordKey* FindByHash(std::uint32_t subject_hash) const;

  const Map& records() const { return m_records; }
  /// \brief Changes whenever a member is added, removed or changed in more than its revision.
  std::uint64_t member_generation() const { return m_member_generation; }
  /// \brief Estimate of the heap memory held.
  std::size_t MemoryBytes() const;

 private:
  MergeResult ApplyLoad(StoredRecord& stored, std::uint64_t sequence, const Load& load,
                        bool draining, core::Duration age, core::Instant now);
  void AddHash(const Record& record);
  void RemoveHash(const Record& record);
  bool Replaces(const Record& a, const Record& b) const;

  Faults m_faults;
  Map m_records;
  std::map<std::uint32_t, std::vector<RecordKey>> m_by_hash;
  std::uint64_t m_member_generation = 0;
};

/// \brief Copy of a stored record for sending, with its age at `now`.
Record Export(const StoredRecord& stored, core::Instant now);
StatusSample ExportSample(const StoredRecord& stored, core::Instant now);
StatusDelta ExportDelta(const StoredRecord& stored, core::Instant now);

}  // namespace cornelrelay::gossip
