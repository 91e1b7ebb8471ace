#include "cornelrelay/store/store_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "cornelrelay/core/overloaded.h"

namespace cornelrelay::store {

StoreClient::StoreClient(const StoreClientOptions& options, std::uint64_t seed)
    : m_options(options),
      m_bucket(options.calls_per_second, options.burst),
      m_backoff(options.backoff_base, options.backoff_ceiling, seed) {
  assert(options.attempts >= 1 && options.failures_until_outage >= 1);
}

std::vector<StoreClientAction> StoreClient::Step(core::Instant now, const StoreClientEvent& event) {
  Actions out;
  std::visit(core::Overloaded{[&](const CallSubmitted& e) { Submit(now, e, out); },
                              [&](const CallCancelled& e) { Cancel(e, out); },
                              [&](const ReplyReceived& e) { Receive(now, e, out); },
                              [](const ClientTick&) {}},
             event);
  Expire(now, out);
  Pump(now, out);
  return out;
}

std::optional<core::Instant> StoreClient::NextWake(core::Instant now) const {
  std::optional<core::Instant> wake;
  const auto consider = [&](core::Instant at) { wake = wake ? std::min(*wake, at) : at; };
  for (const auto& [id, transmission] : m_in_flight) consider(transmission.deadline);
  for (const Call& call : m_queue) consider(call.wait_until);
  if (!m_queue.empty()) consider(now + m_bucket.UntilNext(now));
  if (!m_retries.empty()) consider(m_retries.begin()->first);
  return wake;
}

void StoreClient::Submit(core::Instant now, const CallSubmitted& event, Actions& out) {
  const bool watch = IsWatch(event.request);
  Call call{event.call, event.request, 0, now + m_options.queue_timeout, false};
  if (m_outage) {
    if (!watch && !TrialInFlight() && now >= m_next_trial && m_bucket.TryTake(now)) {
      Transmit(now, std::move(call), true, out);
    } else {
      out.emplace_back(DeliverReply{event.call, Unavailable{UntilTrial(now)}});
    }
    return;
  }
  const core::Duration wait = m_bucket.Until(now, static_cast<double>(m_queue.size()) + 1);
  if (m_queue.size() >= m_options.queue_limit || wait > m_options.queue_timeout) {
    out.emplace_back(DeliverReply{event.call, RefusedForRate{wait}});
    return;
  }
  m_queue.push_back(std::move(call));
}

void StoreClient::Cancel(const CallCancelled& event, Actions& out) {
  std::erase_if(m_queue, [&](const Call& call) { return call.id == event.call; });
  std::erase_if(m_retries, [&](const auto& entry) { return entry.second.id == event.call; });
  std::erase_if(m_in_flight, [&](const auto& entry) {
    if (entry.second.call.id != event.call) return false;
    out.emplace_back(AbandonTransmission{entry.first});
    return true;
  });
}

void StoreClient::Receive(core::Instant now, const ReplyReceived& event, Actions& out) {
  const auto found = m_in_flight.find(event.transmission);
  if (found == m_in_flight.end()) {
    ++m_late_replies;
    return;
  }
  Transmission transmission = std::move(found->second);
  m_in_flight.erase(found);
  Resolve(now, std::move(transmission), event.reply, out);
}

void StoreClient::Expire(core::Instant now, Actions& out) {
  std::vector<TransmissionId> expired;
  for (const auto& [id, transmission] : m_in_flight) {
    if (transmission.deadline <= now) expired.push_back(id);
  }
  for (const TransmissionId id : expired) {
    Transmission transmission = std::move(m_in_flight.at(id));
    m_in_flight.erase(id);
    out.emplace_back(AbandonTransmission{id});
    Resolve(now, std::move(transmission), TimedOut{}, out);
  }
  std::erase_if(m_queue, [&](const Call& call) {
    if (call.wait_until > now) return false;
    out.emplace_back(Final(call, RefusedForRate{m_bucket.UntilNext(now)}));
    return true;
  });
}

void StoreClient::Pump(core::Instant now, Actions& out) {
  assert(!m_outage || (m_queue.empty() && m_retries.empty()));
  while (!m_retries.empty() && m_retries.begin()->first <= now) {
    Call call = std::move(m_retries.begin()->second);
    m_retries.erase(m_retries.begin());
    call.wait_until = now + m_options.queue_timeout;
    m_queue.push_back(std::move(call));
  }
  while (!m_queue.empty() && m_bucket.TryTake(now)) {
    Call call = std::move(m_queue.front());
    m_queue.pop_front();
    Transmit(now, std::move(call), false, out);
  }
}

void StoreClient::Transmit(core::Instant now, Call call, bool trial, Actions& out) {
  const bool watch = IsWatch(call.request);
  const auto timeout = watch ? m_options.watch_timeout : m_options.call_timeout;
  const TransmissionId id = m_next_transmission++;
  ++call.attempts;
  out.emplace_back(TransmitCall{id, call.request});
  m_in_flight.emplace(id, Transmission{std::move(call), now + timeout, trial});
}

void StoreClient::Resolve(core::Instant now, Transmission transmission, const StoreReply& reply,
                          Actions& out) {
  Call& call = transmission.call;
  const bool watch = IsWatch(call.request);
  const bool timed_out = std::holds_alternative<TimedOut>(reply);
  if (IsAnswer(reply)) {
    RecordSuccess();
    out.emplace_back(DeliverReply{call.id, reply});
    return;
  }
  if (timed_out) call.unanswered = true;
  // A streamed watch without a change runs into its time limit; that is no sign of an outage.
  const bool idle_watch = std::holds_alternative<Watch>(call.request) && timed_out;
  const bool refused = std::holds_alternative<RefusedForRate>(reply);
  if (!idle_watch && !refused) RecordFailure(now, transmission.trial, out);
  if (refused && transmission.trial) RecordSuccess();
  const bool harmless = IsRepeatable(call.request) || !timed_out;
  if (!watch && !m_outage && harmless && call.attempts < m_options.attempts) {
    const core::Duration delay = m_backoff.Delay(call.attempts);
    m_retries.emplace(now + delay, std::move(call));
    return;
  }
  StoreReply final_reply = reply;
  if (auto* unavailable = std::get_if<Unavailable>(&final_reply)) {
    unavailable->retry_after = m_outage ? UntilTrial(now) : m_backoff.Delay(call.attempts);
  }
  out.emplace_back(Final(call, std::move(final_reply)));
}

DeliverReply StoreClient::Final(const Call& call, StoreReply reply) {
  // A refusal of the last transmission says nothing about an earlier one without an answer.
  const bool reads = std::holds_alternative<Get>(call.request) ||
                     std::holds_alternative<ReadPrefix>(call.request) || IsWatch(call.request);
  if (call.unanswered && !reads) return {call.id, TimedOut{}};
  return {call.id, std::move(reply)};
}

void StoreClient::RecordFailure(core::Instant now, bool trial, Actions& out) {
  ++m_failures;
  if (m_outage) {
    if (!trial) return;
    ++m_failed_trials;
    m_next_trial = now + m_backoff.Delay(m_failed_trials + 1);
    return;
  }
  if (m_failures < m_options.failures_until_outage) return;
  m_outage = true;
  m_failed_trials = 0;
  m_next_trial = now + m_backoff.Delay(1);
  const auto refuse = [&](const Call& call) {
    out.emplace_back(Final(call, Unavailable{UntilTrial(now)}));
  };
  for (const Call& call : m_queue) refuse(call);
  for (const auto& [at, call] : m_retries) refuse(call);
  m_queue.clear();
  m_retries.clear();
}

void StoreClient::RecordSuccess() {
  m_failures = 0;
  m_failed_trials = 0;
  m_outage = false;
}

core::Duration StoreClient::UntilTrial(core::Instant now) const {
  return std::max(m_next_trial - now, m_options.backoff_base);
}

bool StoreClient::TrialInFlight() const {
  return std::any_of(m_in_flight.begin(), m_in_flight.end(),
                     [](const auto& entry) { return entry.second.trial; });
}

}  // namespace cornelrelay::store
