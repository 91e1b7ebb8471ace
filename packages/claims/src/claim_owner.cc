#include "cornelrelay/claims/claim_owner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cornelrelay/claims/partitions.h"
#include "cornelrelay/core/hash.h"

namespace cornelrelay::claims {
namespace {

// Releases that overtake their calls arrive within one client timeout; this covers 4,096 of them.
constexpr std::size_t kRememberedReleases = 4096;

bool IsRelease(const ClaimFinish& finish) { return finish.outcome == ClaimState::kReleased; }

}  // namespace

ClaimOwner::ClaimOwner(core::HostId self, std::uint32_t partition, OwnerSettings settings,
                       std::uint64_t seed, OwnerFaults faults)
    : m_self(std::move(self)),
      m_partition(partition),
      m_settings(settings),
      m_faults(faults),
      m_write_prefix(core::Hash64(m_self.value() + '/' + std::to_string(partition), seed)),
      m_last_write(core::Instant::min()),
      m_retry_at(core::Instant::min()),
      m_released(kRememberedReleases),
      m_eraser(partition) {
  assert(settings.segment_claims > 0 && settings.segment_claims <= kMaxSegmentClaims);
}

std::vector<OwnerAction> ClaimOwner::Step(core::Instant now, const OwnerEvent& event) {
  Actions out;
  if (auto erasing = m_eraser.OnResult(event, m_next_call)) {
    out = std::move(*erasing);
  } else {
    std::visit([&](const auto& e) { On(now, e, out); }, event);
  }
  Advance(now, out);
  return out;
}

std::optional<core::Instant> ClaimOwner::NextTick() const {
  std::optional<core::Instant> next;
  const auto consider = [&](core::Instant at) { next = next ? std::min(*next, at) : at; };
  for (const PendingCall& call : m_calls) consider(call.received + m_settings.refuse_after);
  if (m_phase == Phase::kIdle && !(m_calls.empty() && m_finishes.empty())) {
    core::Instant due = m_retry_at;
    if (m_view.valid() && m_last_write != core::Instant::min()) {
      due = std::max(due, m_last_write + m_settings.batch_window);
    }
    consider(due);
  }
  return next;
}

void ClaimOwner::On(core::Instant now, const ClaimCallReceived& event, Actions& out) {
  const ClaimCall& call = event.message;
  if (call.partition != m_partition) return;
  const bool overloaded = m_calls.size() >= m_settings.max_pending;
  const bool store_down = m_unavailable && now < m_retry_at;
  for (PendingCall& pending : m_calls) {
    if (pending.message.call != call.call) continue;
    pending.from = event.from;
    return;
  }
  if (m_released.Contains(call.call) || overloaded || store_down) {
    out.push_back(SendClaimReply{event.from, ClaimReply{call.call, ClaimAnswer::kRefused, {}}});
    return;
  }
  m_calls.push_back(PendingCall{event.from, call, now, false});
}

void ClaimOwner::On(core::Instant now, const ClaimFinishReceived& event, Actions& /*out*/) {
  const ClaimFinish& finish = event.message;
  if (finish.partition != m_partition || finish.recorded.size() > kMaxRecordedAnswer ||
      finish.outcome == ClaimState::kGranted) {
    return;
  }
  if (IsRelease(finish)) {
    m_released.Add(finish.call);
    std::erase_if(m_calls, [&](const PendingCall& c) { return c.message.call == finish.call; });
  }
  for (PendingFinish& pending : m_finishes) {
    if (pending.message.call != finish.call) continue;
    pending.from = event.from;
    return;
  }
  // The sender repeats a finish that has no acknowledgement, so one that does not fit is dropped.
  if (m_finishes.size() >= m_settings.max_pending) return;
  m_finishes.push_back(PendingFinish{event.from, finish, now, false});
}

void ClaimOwner::On(core::Instant /*now*/, const ClaimTick& /*event*/, Actions& /*out*/) {}

void ClaimOwner::On(core::Instant now, const StoreReadDone& event, Actions& out) {
  if (const auto found = m_segment_reads.find(event.call); found != m_segment_reads.end()) {
    const std::uint64_t number = found->second;
    m_segment_reads.erase(found);
    SegmentRead(now, number, event, out);
    return;
  }
  if (event.call != m_call) return;
  m_call = 0;
  if (m_phase == Phase::kReadingHead) {
    HeadRead(now, event, out);
  } else if (m_phase == Phase::kComparing) {
    m_phase = Phase::kIdle;
    // Only the sealed bytes may stand there; anything else would lose claims.
    if (event.value == m_view.head().Encode() || m_faults.skip_seal) {
      m_archived = true;
    } else if (!event.value.empty()) {
      DropBrokenView(now, out);
    }
  }
}

void ClaimOwner::On(core::Instant /*now*/, const StoreSwapDone& event, Actions& out) {
  if (event.call != m_call) return;
  m_call = 0;
  m_backoff = {};
  m_unavailable = false;
  if (m_phase == Phase::kArchiving) {
    m_phase = Phase::kIdle;
    m_archived = event.swapped;
    if (!event.swapped) {
      m_phase = Phase::kComparing;
      m_call = m_next_call++;
      out.push_back(StoreRead{m_call, SegmentKey(m_partition, m_view.head().header().number)});
    }
    return;
  }
  assert(m_phase == Phase::kWriting);
  m_phase = Phase::kIdle;
  if (event.swapped) {
    WriteDurable(event.revision);
  } else {
    ReadHead(out);
  }
}

void ClaimOwner::On(core::Instant now, const StoreAnswerLost& event, Actions& out) {
  if (m_segment_reads.contains(event.call)) {
    AbandonReads();
    BackOff(now);
    return;
  }
  if (event.call != m_call) return;
  m_call = 0;
  const Phase phase = std::exchange(m_phase, Phase::kIdle);
  if (phase == Phase::kWriting && m_faults.skip_read_back) {
    WriteDurable(m_view.revision() + 1);
  } else if (phase == Phase::kWriting) {
    // The write may have taken effect: only the head as it stands now tells.
    m_view.Invalidate();
    ReadHead(out);
  } else {
    BackOff(now);
  }
}

void ClaimOwner::On(core::Instant now, const StoreUnavailable& event, Actions& out) {
  if (!m_segment_reads.contains(event.call) && event.call != m_call) return;
  AbandonReads();
  m_call = 0;
  // A write in doubt may still take effect, so the next write must be based on a new read.
  if (std::exchange(m_phase, Phase::kIdle) == Phase::kWriting) m_view.Invalidate();
  BackOff(now);
  m_unavailable = true;
  RefuseAll(out);
}

void ClaimOwner::Advance(core::Instant now, Actions& out) {
  ExpireCalls(now, out);
  if (m_phase != Phase::kIdle || now < m_retry_at) return;
  if (m_calls.empty() && m_finishes.empty()) return;
  if (!m_view.valid()) {
    ReadHead(out);
    return;
  }
  AnswerCalls(now, out);
  AnswerFinishes(out);
  if (m_calls.empty() && m_finishes.empty()) return;
  if (m_last_write != core::Instant::min() && now < m_last_write + m_settings.batch_window) return;
  if (NeedsRefresh()) {
    m_last_write = now;
    ReadHead(out);
  } else if (HeadFull() && !m_archived) {
    Archive(out);
  } else {
    Write(now, out);
  }
}

void ClaimOwner::ExpireCalls(core::Instant now, Actions& out) {
  // A refused call may still be in a write that takes effect. Its client never dispatches it after
  // the refusal, and releases it, so this is safe.
  std::erase_if(m_calls, [&](const PendingCall& call) {
    if (now < call.received + m_settings.refuse_after) return false;
    out.push_back(
        SendClaimReply{call.from, ClaimReply{call.message.call, ClaimAnswer::kRefused, {}}});
    return true;
  });
}

void ClaimOwner::RefuseAll(Actions& out) {
  for (const PendingCall& call : m_calls) {
    out.push_back(
        SendClaimReply{call.from, ClaimReply{call.message.call, ClaimAnswer::kRefused, {}}});
  }
  m_calls.clear();
}

void ClaimOwner::BackOff(core::Instant now) {
  m_backoff = m_backoff == core::Duration{} ? m_settings.first_backoff
                                            : std::min(2 * m_backoff, m_settings.longest_backoff);
  m_retry_at = now + m_backoff;
}

void ClaimOwner::DropBrokenView(core::Instant now, Actions& out) {
  ++m_corrupt;
  AbandonReads();
  m_view = ClaimView();
  m_phase = Phase::kIdle;
  BackOff(now);
  m_unavailable = true;
  RefuseAll(out);
}

}  // namespace cornelrelay::claims
