#include "cornelrelay/claims/claim_view.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::claims {

std::vector<std::uint64_t> ClaimView::Missing(const ClaimSegment& head) const {
  std::uint64_t from = head.header().first;
  if (!m_sealed.empty()) from = std::max(from, m_sealed.back().number + 1);
  std::vector<std::uint64_t> missing;
  for (std::uint64_t n = from; n < head.header().number; ++n) missing.push_back(n);
  return missing;
}

void ClaimView::Adopt(ClaimSegment head, StoreRevision revision,
                      const std::map<std::uint64_t, ClaimSegment>& archived) {
  for (const std::uint64_t n : Missing(head)) {
    const auto found = archived.find(n);
    assert(found != archived.end());
    Append(found->second);
  }
  Prune(head.header());
  m_head = std::move(head);
  m_revision = revision;
  m_valid = true;
}

void ClaimView::Append(const ClaimSegment& segment) {
  Sealed sealed{segment.header().number, segment.LatestKeyTime(), {}};
  for (const auto& [key, claim] : segment.claims()) {
    sealed.keys.push_back(key);
    m_archived.insert_or_assign(key, claim);
  }
  m_sealed.push_back(std::move(sealed));
}

void ClaimView::Prune(const SegmentHeader& header) {
  while (!m_sealed.empty() && m_sealed.front().number < header.first) {
    for (const KeyDigest& key : m_sealed.front().keys) {
      const auto found = m_archived.find(key);
      // A later segment may hold a newer state of the key; the floor refuses the key before that
      // state matters.
      if (found != m_archived.end() && found->second.key_time <= header.floor) {
        m_archived.erase(found);
      }
    }
    m_sealed.pop_front();
  }
}

const Claim* ClaimView::Find(const KeyDigest& key) const {
  const auto in_head = m_head.claims().find(key);
  if (in_head != m_head.claims().end()) return &in_head->second;
  const auto found = m_archived.find(key);
  return found == m_archived.end() ? nullptr : &found->second;
}

SegmentHeader ClaimView::DropExpired(SegmentHeader header, core::Instant expired_before) const {
  for (const Sealed& sealed : m_sealed) {
    if (sealed.number != header.first || sealed.latest_key_time >= expired_before) break;
    header.floor = std::max(header.floor, sealed.latest_key_time);
    ++header.first;
  }
  return header;
}

}  // namespace cornelrelay::claims
