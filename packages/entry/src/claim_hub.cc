#include "cornelrelay/entry/claim_hub.h"

#include <optional>
#include <utility>
#include <variant>

#include "cornelrelay/claims/invalid_idempotency_key.h"
#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::entry {
namespace {

request::RequestEvent Denied(const claims::DenyClaim& denial) {
  using claims::DenyReason;
  using request::ClaimDenial;
  request::ClaimDenied denied;
  switch (denial.reason) {
    case DenyReason::kOutcomeUnknown:
      denied.denial = ClaimDenial::kOutcomeUnknown;
      break;
    case DenyReason::kCompleted:
      denied.denial = ClaimDenial::kCompleted;
      if (!denial.recorded.empty()) denied.recorded_answer = denial.recorded;
      break;
    case DenyReason::kBodyMismatch:
      denied.denial = ClaimDenial::kBodyMismatch;
      break;
    case DenyReason::kKeyExpired:
    case DenyReason::kKeyFromFuture:
      denied.denial = ClaimDenial::kKeyExpired;
      break;
    case DenyReason::kUnavailable:
    case DenyReason::kOverloaded:
      denied.denial = ClaimDenial::kUnavailable;
      break;
  }
  return denied;
}

claims::ClaimState StateOf(request::ClaimOutcome outcome) {
  switch (outcome) {
    case request::ClaimOutcome::kCompleted:
      return claims::ClaimState::kCompleted;
    case request::ClaimOutcome::kReleased:
      return claims::ClaimState::kReleased;
    case request::ClaimOutcome::kUnknown:
      return claims::ClaimState::kUnknown;
  }
  return claims::ClaimState::kUnknown;
}

claims::OwnerEvent ReadEvent(claims::StoreCallId call, const store::StoreReply& reply) {
  return std::visit(
      core::Overloaded{
          [&](const store::ValueRead& read) {
            claims::StoreReadDone done;
            done.call = call;
            if (read.current) {
              done.revision = static_cast<claims::StoreRevision>(read.current->revision);
              done.value = read.current->value;
            }
            return claims::OwnerEvent(done);
          },
          [&](const auto&) { return claims::OwnerEvent(claims::StoreUnavailable{call}); }},
      reply);
}

claims::OwnerEvent SwapEvent(claims::StoreCallId call, const store::StoreReply& reply) {
  return std::visit(
      core::Overloaded{
          [&](const store::Swapped& swapped) {
            return claims::OwnerEvent(claims::StoreSwapDone{
                call, true, static_cast<claims::StoreRevision>(swapped.revision)});
          },
          [&](const store::NotSwapped&) {
            return claims::OwnerEvent(claims::StoreSwapDone{call, false, 0});
          },
          [&](const store::TimedOut&) { return claims::OwnerEvent(claims::StoreAnswerLost{call}); },
          [&](const auto&) { return claims::OwnerEvent(claims::StoreUnavailable{call}); }},
      reply);
}

}  // namespace

ClaimHub::ClaimHub(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                   runtime::StoreLink& store, runtime::ControlPlane& control, core::HostId self,
                   std::uint64_t incarnation, std::uint64_t seed)
    : m_clock(clock),
      m_store(store),
      m_control(control),
      m_self(std::move(self)),
      m_seed(seed),
      m_client(m_self, incarnation, seed, claims::ClientSettings{}),
      m_timer(context, clock, [this] { Tick(); }) {}

void ClaimHub::Request(const ClaimOrder& order, Notify notify) {
  std::optional<claims::IdempotencyKey> key;
  try {
    key = claims::IdempotencyKey::Parse(order.key);
  } catch (const claims::InvalidIdempotencyKey&) {
    notify(request::ClaimDenied{request::ClaimDenial::kKeyExpired, std::nullopt});
    return;
  }
  m_waiting.emplace(order.request, std::move(notify));
  claims::ClaimRequested requested{order.request, order.account, *key,
                                   claims::BodyDigest::Of({order.service.value(), order.body}),
                                   order.deadline};
  StepClient(requested);
}

void ClaimHub::Finish(const core::RequestId& request, request::ClaimOutcome outcome,
                      const std::string& recorded) {
  m_waiting.erase(request);
  StepClient(claims::OutcomeKnown{request, StateOf(outcome), recorded});
}

void ClaimHub::Abandon(const core::RequestId& request) {
  m_waiting.erase(request);
  StepClient(claims::ClaimAbandoned{request});
}

void ClaimHub::SetMembers(const std::set<core::HostId>& members) {
  StepClient(claims::LiveMembers{members});
}

void ClaimHub::Receive(const core::HostId& from, const wire::ControlMessage& message) {
  std::visit(
      core::Overloaded{
          [&](const claims::ClaimCall& call) {
            if (call.partition >= claims::kPartitions) return;
            StepOwner(call.partition, claims::ClaimCallReceived{from, call});
          },
          [&](const claims::ClaimFinish& finish) {
            if (finish.partition >= claims::kPartitions) return;
            StepOwner(finish.partition, claims::ClaimFinishReceived{from, finish});
          },
          [&](const claims::ClaimReply& reply) { StepClient(claims::ClaimReplyReceived{reply}); },
          [&](const claims::ClaimFinishAck& ack) { StepClient(claims::FinishAckReceived{ack}); },
          [](const auto&) {}},
      message);
}

bool ClaimHub::HasUnfinished() const {
  return !m_client.waiting().empty() || !m_client.finishing().empty();
}

void ClaimHub::StepClient(const claims::ClientEvent& event) {
  for (const auto& action : m_client.Step(m_clock.Now(), event)) {
    std::visit([this](const auto& a) { Perform(a); }, action);
  }
  ArmTimer();
}

void ClaimHub::StepOwner(std::uint32_t partition, const claims::OwnerEvent& event) {
  for (const auto& action : Owner(partition).Step(m_clock.Now(), event)) {
    std::visit([&](const auto& a) { Perform(partition, a); }, action);
  }
  ArmTimer();
}

claims::ClaimOwner& ClaimHub::Owner(std::uint32_t partition) {
  const auto found = m_owners.find(partition);
  if (found != m_owners.end()) return found->second;
  return m_owners
      .emplace(partition, claims::ClaimOwner(m_self, partition, claims::OwnerSettings{},
                                             m_seed + partition + 1))
      .first->second;
}

void ClaimHub::Perform(const claims::SendClaimCall& action) {
  m_control.Send(action.to, wire::ControlMessage(action.message));
}

void ClaimHub::Perform(const claims::SendClaimFinish& action) {
  m_control.Send(action.to, wire::ControlMessage(action.message));
}

void ClaimHub::Perform(const claims::GrantClaim& action) {
  const auto found = m_waiting.find(action.request);
  if (found == m_waiting.end()) {
    // The task ended while the grant was on its way, so nothing was sent and nothing will be.
    StepClient(claims::OutcomeKnown{action.request, claims::ClaimState::kReleased, {}});
    return;
  }
  Tell(action.request, request::ClaimGranted{});
}

void ClaimHub::Perform(const claims::DenyClaim& action) { Tell(action.request, Denied(action)); }

void ClaimHub::Perform(std::uint32_t partition, const claims::StoreRead& action) {
  m_store.Call(store::Get{action.key},
               [this, partition, call = action.call](const store::StoreReply& reply) {
                 StepOwner(partition, ReadEvent(call, reply));
               });
}

void ClaimHub::Perform(std::uint32_t partition, const claims::StoreSwap& action) {
  store::CompareAndSwap swap;
  swap.key = action.key;
  swap.expected = static_cast<store::StoreRevision>(action.expected);
  swap.value = action.value;
  m_store.Call(std::move(swap),
               [this, partition, call = action.call](const store::StoreReply& reply) {
                 StepOwner(partition, SwapEvent(call, reply));
               });
}

void ClaimHub::Perform(std::uint32_t, const claims::SendClaimReply& action) {
  m_control.Send(action.to, wire::ControlMessage(action.message));
}

void ClaimHub::Perform(std::uint32_t, const claims::SendFinishAck& action) {
  m_control.Send(action.to, wire::ControlMessage(action.message));
}

void ClaimHub::Tell(const core::RequestId& request, const request::RequestEvent& event) {
  const auto found = m_waiting.find(request);
  if (found == m_waiting.end()) return;
  const Notify notify = std::move(found->second);
  m_waiting.erase(found);
  notify(event);
}

void ClaimHub::Tick() {
  StepClient(claims::ClaimTick{});
  const auto now = m_clock.Now();
  for (auto& [partition, owner] : m_owners) {
    const auto due = owner.NextTick();
    if (due && *due <= now) StepOwner(partition, claims::ClaimTick{});
  }
}

void ClaimHub::ArmTimer() {
  std::optional<core::Instant> next = m_client.NextTick();
  for (const auto& [partition, owner] : m_owners) {
    const auto due = owner.NextTick();
    if (due && (!next || *due < *next)) next = due;
  }
  if (next) m_timer.SetAt(*next);
}

}  // namespace cornelrelay::entry
