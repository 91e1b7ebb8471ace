#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cornelrelay/claims/claim_segment.h"
#include "cornelrelay/claims/store_calls.h"

namespace cornelrelay::claims {

/// \brief What an owner knows to be durable in a partition: the head at one revision and all
/// segments before it.
///
/// \code
/// for (std::uint64_t n : view.Missing(head)) { ... read segment n ... }
/// view.Adopt(head, revision, archived);
/// const Claim* claim = view.Find(key);
/// \endcode
class ClaimView {
 public:
  /// \brief False until a head was adopted.
  bool valid() const { return m_valid; }
  const ClaimSegment& head() const { return m_head; }
  StoreRevision revision() const { return m_revision; }

  /// \brief Numbers of the sealed segments that must be read before `head` can be adopted.
  std::vector<std::uint64_t> Missing(const ClaimSegment& head) const;

  /// \brief Replaces the head; `archived` holds the segments named by Missing().
  void Adopt(ClaimSegment head, StoreRevision revision,
             const std::map<std::uint64_t, ClaimSegment>& archived);

  /// \brief Forgets the head but keeps the immutable segments.
  void Invalidate() { m_valid = false; }

  /// \brief Takes only the revision; used by a deliberate fault.
  void OverrideRevision(StoreRevision revision) { m_revision = revision; }

  /// \brief The newest state of a claim, or null.
  const Claim* Find(const KeyDigest& key) const;

  /// \brief The header after dropping all leading segments whose keys had expired before
  /// `expired_before`.
  SegmentHeader DropExpired(SegmentHeader header, core::Instant expired_before) const;

  const std::map<KeyDigest, Claim>& archived() const { return m_archived; }

 private:
  struct Sealed {
    std::uint64_t number;
    core::Instant latest_key_time;
    std::vector<KeyDigest> keys;
  };

  void Append(const ClaimSegment& segment);
  void Prune(const SegmentHeader& header);

  bool m_valid = false;
  ClaimSegment m_head;
  StoreRevision m_revision = 0;
  std::deque<Sealed> m_sealed;
  std::map<KeyDigest, Claim> m_archived;
};

}  // namespace cornelrelay::claims
