#include "cornelrelay/claims/claim_client.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "cornelrelay/claims/claim.h"
#include "cornelrelay/claims/key_expired.h"
#include "cornelrelay/claims/key_from_future.h"
#include "cornelrelay/claims/partitions.h"
#include "cornelrelay/core/hash.h"

namespace cornelrelay::claims {
namespace {

// An expired key may have run while its claim was still known, and a key from the future may have
// been accepted by a host with another clock, so neither is answered as not run.
DenyClaim DenialOf(const core::RequestId& request, const ClaimReply& reply) {
  switch (reply.answer) {
    case ClaimAnswer::kCompleted:
      return {request, DenyReason::kCompleted, core::Execution::kCompleted, reply.recorded};
    case ClaimAnswer::kBodyMismatch:
      return {request, DenyReason::kBodyMismatch, core::Execution::kUnknown, {}};
    case ClaimAnswer::kKeyExpired:
      return {request, DenyReason::kKeyExpired, core::Execution::kUnknown, {}};
    case ClaimAnswer::kRefused:
      return {request, DenyReason::kUnavailable, core::Execution::kNotRun, {}};
    case ClaimAnswer::kOutcomeUnknown:
    case ClaimAnswer::kGranted:
      break;
  }
  return {request, DenyReason::kOutcomeUnknown, core::Execution::kUnknown, {}};
}

}  // namespace

ClaimClient::ClaimClient(const core::HostId& self, std::uint64_t incarnation, std::uint64_t seed,
                         ClientSettings settings)
    : m_call_prefix(core::Hash64(self.value() + '/' + std::to_string(incarnation), seed)),
      m_settings(settings) {}

std::vector<ClientAction> ClaimClient::Step(core::Instant now, const ClientEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { On(now, e, out); }, event);
  Advance(now, out);
  return out;
}

std::optional<core::Instant> ClaimClient::NextTick() const {
  std::optional<core::Instant> next;
  const auto consider = [&](core::Instant at) { next = next ? std::min(*next, at) : at; };
  for (const auto& [call, waiting] : m_waiting) {
    consider(std::min(waiting.deadline, waiting.resend_at));
  }
  for (const auto& [call, finishing] : m_finishing) consider(finishing.resend_at);
  return next;
}

void ClaimClient::On(core::Instant now, const ClaimRequested& event, Actions& out) {
  const auto deny = [&](DenyReason reason, core::Execution execution) {
    out.push_back(DenyClaim{event.request, reason, execution, {}});
  };
  try {
    event.key.CheckAge(now, m_settings.retention);
  } catch (const KeyExpired&) {
    return deny(DenyReason::kKeyExpired, core::Execution::kUnknown);
  } catch (const KeyFromFuture&) {
    return deny(DenyReason::kKeyFromFuture, core::Execution::kUnknown);
  }
  if (m_waiting.size() >= m_settings.max_calls) {
    return deny(DenyReason::kOverloaded, core::Execution::kNotRun);
  }
  const KeyDigest key = KeyDigest::Of({event.account.value(), event.key.text()});
  const ClaimCallId call(m_call_prefix, m_next_call++);
  const core::Instant deadline = std::min(event.deadline, now + m_settings.claim_timeout);
  m_waiting.emplace(
      call,
      Waiting{event.request, ClaimCall{call, PartitionOf(key), key, event.body, event.key.time()},
              deadline, now});
}

void ClaimClient::On(core::Instant now, const OutcomeKnown& event, Actions& /*out*/) {
  const auto found = m_granted.find(event.request);
  if (found == m_granted.end()) return;
  assert(event.outcome != ClaimState::kGranted);
  const bool recordable = event.recorded.size() <= kMaxRecordedAnswer;
  StartFinish(now, found->second, event.outcome, recordable ? event.recorded : std::string());
  m_granted.erase(found);
}

void ClaimClient::On(core::Instant now, const ClaimAbandoned& event, Actions& out) {
  for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
    if (it->second.request != event.request) continue;
    StartFinish(now, it->second.message, ClaimState::kReleased, {});
    out.push_back(DenyClaim{event.request, DenyReason::kUnavailable, core::Execution::kNotRun, {}});
    m_waiting.erase(it);
    return;
  }
}

void ClaimClient::On(core::Instant now, const ClaimReplyReceived& event, Actions& out) {
  const ClaimReply& reply = event.message;
  const auto found = m_waiting.find(reply.call);
  // A call that is no longer waiting was dispatched, or denied and released; neither may be
  // dispatched now.
  if (found == m_waiting.end()) return;
  // Advance() turns a call whose deadline has passed into a denial; a grant at that moment is
  // already too late.
  if (now >= found->second.deadline) return;
  const Waiting waiting = found->second;
  m_waiting.erase(found);
  if (reply.answer == ClaimAnswer::kGranted) {
    m_granted.emplace(waiting.request, waiting.message);
    out.push_back(GrantClaim{waiting.request});
    return;
  }
  // The owner may have refused while its write was in doubt; the release frees the key if that
  // write took effect.
  if (reply.answer == ClaimAnswer::kRefused) {
    StartFinish(now, waiting.message, ClaimState::kReleased, {});
  }
  out.push_back(DenialOf(waiting.request, reply));
}

void ClaimClient::On(core::Instant /*now*/, const FinishAckReceived& event, Actions& /*out*/) {
  m_finishing.erase(event.message.call);
}

void ClaimClient::On(core::Instant /*now*/, const LiveMembers& event, Actions& /*out*/) {
  m_members = event.members;
}

void ClaimClient::On(core::Instant /*now*/, const ClaimTick& /*event*/, Actions& /*out*/) {}

void ClaimClient::Advance(core::Instant now, Actions& out) {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    Waiting& waiting = it->second;
    if (now >= waiting.deadline) {
      out.push_back(
          DenyClaim{waiting.request, DenyReason::kUnavailable, core::Execution::kNotRun, {}});
      StartFinish(now, waiting.message, ClaimState::kReleased, {});
      it = m_waiting.erase(it);
      continue;
    }
    if (now >= waiting.resend_at) {
      const core::HostId owner = PreferredOwner(waiting.message.partition, m_members);
      if (!owner.empty()) out.push_back(SendClaimCall{owner, waiting.message});
      waiting.resend_at = now + m_settings.resend_after;
    }
    ++it;
  }
  SendDueFinishes(now, out);
}

void ClaimClient::StartFinish(core::Instant now, const ClaimCall& call, ClaimState outcome,
                              const std::string& recorded) {
  m_finishing.insert_or_assign(
      call.call, Finishing{ClaimFinish{call.call, call.partition, call.key, outcome, recorded}, now,
                           m_settings.first_finish_resend, 0});
}

void ClaimClient::SendDueFinishes(core::Instant now, Actions& out) {
  for (auto it = m_finishing.begin(); it != m_finishing.end();) {
    Finishing& finishing = it->second;
    if (now < finishing.resend_at) {
      ++it;
      continue;
    }
    if (finishing.tries >= m_settings.finish_tries) {
      // The claim stays without an outcome; repeats are answered "outcome unknown".
      ++m_abandoned_finishes;
      it = m_finishing.erase(it);
      continue;
    }
    const core::HostId owner = PreferredOwner(finishing.message.partition, m_members);
    if (!owner.empty()) out.push_back(SendClaimFinish{owner, finishing.message});
    ++finishing.tries;
    finishing.resend_at = now + finishing.interval;
    finishing.interval = std::min(2 * finishing.interval, m_settings.longest_finish_resend);
    ++it;
  }
}

}  // namespace cornelrelay::claims
