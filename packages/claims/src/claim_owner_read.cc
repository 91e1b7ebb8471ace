#include <cassert>
#include <utility>

#include "cornelrelay/claims/claim_owner.h"
#include "cornelrelay/claims/corrupt_segment.h"
#include "cornelrelay/claims/partitions.h"

namespace cornelrelay::claims {

void ClaimOwner::ReadHead(Actions& out) {
  m_phase = Phase::kReadingHead;
  m_call = m_next_call++;
  for (PendingFinish& finish : m_finishes) finish.refreshed = true;
  out.push_back(StoreRead{m_call, HeadKey(m_partition)});
}

void ClaimOwner::HeadRead(core::Instant now, const StoreReadDone& event, Actions& out) {
  m_phase = Phase::kIdle;
  m_unavailable = false;
  if (m_faults.ignore_revision && m_view.valid()) {
    m_view.OverrideRevision(event.revision);
    return;
  }
  try {
    m_incoming = event.value.empty() ? ClaimSegment() : ClaimSegment::Decode(event.value);
  } catch (const CorruptSegment&) {
    DropBrokenView(now, out);
    return;
  }
  m_incoming_revision = event.revision;
  m_fetched.clear();
  m_unread = m_view.Missing(*m_incoming);
  ReadSegments(out);
}

void ClaimOwner::ReadSegments(Actions& out) {
  m_phase = Phase::kReadingSegments;
  while (!m_unread.empty() && m_segment_reads.size() < m_settings.parallel_reads) {
    const std::uint64_t number = m_unread.back();
    m_unread.pop_back();
    const StoreCallId call = m_next_call++;
    m_segment_reads.emplace(call, number);
    out.push_back(StoreRead{call, SegmentKey(m_partition, number)});
  }
  if (m_segment_reads.empty()) AdoptIncoming();
}

void ClaimOwner::SegmentRead(core::Instant now, std::uint64_t number, const StoreReadDone& event,
                             Actions& out) {
  if (event.value.empty()) {
    // Another owner dropped the segment after this head was read; the next head names fewer
    // segments.
    AbandonReads();
    BackOff(now);
    return;
  }
  try {
    ClaimSegment segment = ClaimSegment::Decode(event.value);
    if (segment.header().number != number) throw CorruptSegment("number differs from its key");
    m_fetched.emplace(number, std::move(segment));
  } catch (const CorruptSegment&) {
    DropBrokenView(now, out);
    return;
  }
  ReadSegments(out);
}

void ClaimOwner::AdoptIncoming() {
  assert(m_incoming);
  const bool same_number =
      m_view.valid() && m_view.head().header().number == m_incoming->header().number;
  m_archived = m_archived && same_number;
  m_view.Adopt(std::move(*m_incoming), m_incoming_revision, m_fetched);
  m_incoming.reset();
  m_fetched.clear();
  m_phase = Phase::kIdle;
  m_backoff = {};
}

void ClaimOwner::AbandonReads() {
  m_segment_reads.clear();
  m_unread.clear();
  m_fetched.clear();
  m_incoming.reset();
  if (m_phase == Phase::kReadingSegments) {
    m_phase = Phase::kIdle;
    m_view.Invalidate();
  }
}

void ClaimOwner::WriteDurable(StoreRevision revision) {
  assert(m_writing);
  std::map<std::uint64_t, ClaimSegment> archived;
  const ClaimSegment& old = m_view.head();
  if (m_writing->header().number != old.header().number) {
    archived.emplace(old.header().number, old);
    m_archived = false;
  }
  m_view.Adopt(std::move(*m_writing), revision, archived);
  m_writing.reset();
}

}  // namespace cornelrelay::claims
