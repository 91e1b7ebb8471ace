#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "cornelrelay/claims/claim_owner.h"
#include "cornelrelay/claims/partitions.h"

namespace cornelrelay::claims {
namespace {

// Only the holder may change a claim, and only once: a second outcome would be a repeated or
// delayed message.
bool Applies(const ClaimFinish& finish, const Claim* claim) {
  return claim != nullptr && claim->holder == finish.call && claim->state == ClaimState::kGranted;
}

bool Put(ClaimSegment::Claims& claims, const Claim& claim, std::size_t bound) {
  if (!claims.contains(claim.key) && claims.size() >= bound) return false;
  claims.insert_or_assign(claim.key, claim);
  return true;
}

}  // namespace

const ClaimFinish* ClaimOwner::CompletionOf(const Claim& claim) const {
  for (const PendingFinish& finish : m_finishes) {
    const ClaimFinish& message = finish.message;
    const bool same = message.key == claim.key && message.call == claim.holder;
    if (same && message.outcome == ClaimState::kCompleted) return &message;
  }
  return nullptr;
}

std::optional<ClaimReply> ClaimOwner::Evaluate(core::Instant now, const ClaimCall& call) const {
  const auto reply = [&](ClaimAnswer answer, std::string recorded = {}) {
    return ClaimReply{call.call, answer, std::move(recorded)};
  };
  if (call.key_time <= m_view.head().header().floor) return reply(ClaimAnswer::kKeyExpired);
  // A key from the far future would keep all later segments from being dropped.
  if (call.key_time > now + 2 * m_settings.retention.skew) return reply(ClaimAnswer::kRefused);
  const Claim* claim = m_view.Find(call.key);
  if (claim == nullptr) return std::nullopt;
  if (claim->body != call.body) return reply(ClaimAnswer::kBodyMismatch);
  const bool own = claim->holder == call.call;
  switch (claim->state) {
    case ClaimState::kGranted:
      if (own) return reply(ClaimAnswer::kGranted);
      break;
    case ClaimState::kCompleted:
      return reply(ClaimAnswer::kCompleted, claim->answer);
    case ClaimState::kReleased:
      // A delayed copy of a call that its client has given up must not claim the key again.
      if (own) return reply(ClaimAnswer::kRefused);
      return std::nullopt;
    case ClaimState::kUnknown:
      break;
  }
  // An outcome that has arrived is true before it is durable.
  const ClaimFinish* outcome = CompletionOf(*claim);
  if (outcome != nullptr) return reply(ClaimAnswer::kCompleted, outcome->recorded);
  if (m_faults.regrant_unknown) return std::nullopt;
  return reply(ClaimAnswer::kOutcomeUnknown);
}

void ClaimOwner::AnswerCalls(core::Instant now, Actions& out) {
  std::erase_if(m_calls, [&](const PendingCall& call) {
    const auto reply = Evaluate(now, call.message);
    if (!reply) return false;
    if (!call.granted_early) out.push_back(SendClaimReply{call.from, *reply});
    return true;
  });
}

void ClaimOwner::AnswerFinishes(Actions& out) {
  std::erase_if(m_finishes, [&](const PendingFinish& finish) {
    const Claim* claim = m_view.Find(finish.message.key);
    const bool own = claim != nullptr && claim->holder == finish.message.call;
    // A claim that is not in this view may have been written by another owner.
    if (Applies(finish.message, claim) || (!own && !finish.refreshed)) return false;
    out.push_back(SendFinishAck{finish.from, ClaimFinishAck{finish.message.call}});
    return true;
  });
}

bool ClaimOwner::NeedsRefresh() const {
  return std::any_of(m_finishes.begin(), m_finishes.end(), [&](const PendingFinish& finish) {
    return !Applies(finish.message, m_view.Find(finish.message.key));
  });
}

bool ClaimOwner::HeadFull() const {
  if (m_faults.skip_seal) return m_view.head().claims().size() >= m_settings.segment_claims;
  return m_view.head().header().sealed;
}

void ClaimOwner::Archive(Actions& out) {
  m_phase = Phase::kArchiving;
  m_call = m_next_call++;
  const ClaimSegment& head = m_view.head();
  out.push_back(StoreSwap{m_call, SegmentKey(m_partition, head.header().number), 0, head.Encode()});
}

ClaimSegment ClaimOwner::NextHead(core::Instant now) const {
  SegmentHeader header = m_view.head().header();
  ClaimSegment::Claims claims = m_view.head().claims();
  if (HeadFull()) {
    assert(m_archived);
    ++header.number;
    header.sealed = false;
    claims.clear();
  }
  header = m_view.DropExpired(header, now - m_settings.retention.KeepClaims());
  header.erased = std::clamp(m_eraser.erased(), header.erased, header.first);
  for (const PendingFinish& finish : m_finishes) {
    const Claim* claim = m_view.Find(finish.message.key);
    if (!Applies(finish.message, claim)) continue;
    Claim finished = *claim;
    finished.state = finish.message.outcome;
    finished.time = now;
    if (finished.state == ClaimState::kCompleted) finished.answer = finish.message.recorded;
    Put(claims, finished, m_settings.segment_claims);
  }
  for (const PendingCall& pending : m_calls) {
    const ClaimCall& call = pending.message;
    const auto in_batch = claims.find(call.key);
    // The key may have been claimed by an earlier call of the same batch; that call is answered
    // after the write.
    if (in_batch != claims.end() && in_batch->second.state == ClaimState::kGranted &&
        !m_faults.regrant_unknown) {
      continue;
    }
    Put(claims, Claim{call.key, call.body, call.call, ClaimState::kGranted, call.key_time, now, {}},
        m_settings.segment_claims);
  }
  header.owner = m_self;
  header.sealed = claims.size() >= m_settings.segment_claims && !m_faults.skip_seal;
  return ClaimSegment(std::move(header), std::move(claims));
}

void ClaimOwner::Write(core::Instant now, Actions& out) {
  const ClaimSegment next = NextHead(now);
  SegmentHeader header = next.header();
  m_phase = Phase::kWriting;
  m_call = m_next_call++;
  header.write = WriteId(m_write_prefix, m_call);
  m_writing = ClaimSegment(std::move(header), next.claims());
  m_last_write = now;
  out.push_back(StoreSwap{m_call, HeadKey(m_partition), m_view.revision(), m_writing->Encode()});
  if (m_faults.grant_before_durable) GrantEarly(*m_writing, out);
  for (OwnerAction& action : m_eraser.Start(m_view.head().header(), m_next_call)) {
    out.push_back(std::move(action));
  }
}

void ClaimOwner::GrantEarly(const ClaimSegment& next, Actions& out) {
  for (PendingCall& call : m_calls) {
    const auto found = next.claims().find(call.message.key);
    if (found == next.claims().end() || found->second.holder != call.message.call) continue;
    if (std::exchange(call.granted_early, true)) continue;
    out.push_back(
        SendClaimReply{call.from, ClaimReply{call.message.call, ClaimAnswer::kGranted, {}}});
  }
}

}  // namespace cornelrelay::claims
