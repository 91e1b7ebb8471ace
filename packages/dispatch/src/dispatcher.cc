#include "cornelrelay/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::dispatch {
namespace {

/// Weight of one sample in the moving averages of times.
constexpr double kTimeGain = 0.1;
/// Share of the target latency that a request may wait even where the mean time to the first output
/// uses up the whole target: a late response is worth more to a caller than a rejection.
constexpr double kMinWaitShare = 0.1;
/// Expected wait in a process that has no share of the rate limits of its upstreams. Its callers
/// reach another process when they come back.
constexpr std::chrono::milliseconds kNoShareWait{1'000};
/// With a shorter retry-after, a caller would retry within the round trip of its rejection.
constexpr std::chrono::milliseconds kMinRetryAfter{100};

void UpdateMean(core::Duration& mean, core::Duration sample) {
  mean += core::Duration(
      static_cast<core::Duration::rep>(kTimeGain * static_cast<double>((sample - mean).count())));
}

core::Duration SecondsToDuration(double seconds) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

core::Duration Scale(core::Duration duration, double factor) {
  return core::Duration(
      static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::string_view ToString(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNoUpstream:
      return "no_upstream";
    case RejectReason::kBlocked:
      return "blocked";
    case RejectReason::kOverloaded:
      return "overloaded";
    case RejectReason::kQueueTimeout:
      return "waited";
  }
  assert(false);
  return "unknown";
}

Dispatcher::Dispatcher(DispatcherConfig config)
    : m_config(std::move(config)),
      m_random(m_config.seed),
      m_upstreams(m_config.upstreams, m_config.seed + 1),
      m_queue(limits::FairQueueConfig{}),
      m_mean_service_time(m_config.initial_service_time),
      m_mean_time_to_first_output(m_config.initial_time_to_first_output) {}

std::vector<DispatchAction> Dispatcher::Step(core::Instant now, const DispatchEvent& event) {
  Actions out;
  m_now = now;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  m_upstreams.UpdateCold(now, out);
  AssignSought(now, out);
  AssignWaiting(now, out);
  RejectOverdueOrBlocked(now, out);
  return out;
}

void Dispatcher::Apply(core::Instant, const UpstreamsChanged& event, Actions&) {
  m_upstreams.SetUpstreams(event.upstreams);
}

void Dispatcher::Apply(core::Instant, const PeerLoadChanged& event, Actions&) {
  m_peers_waiting = event.waiting;
  m_upstreams.SetPeerLoad(event.in_flight);
}

void Dispatcher::Apply(core::Instant now, const RateLimitObserved& event, Actions& out) {
  const RateLimitObservation observation{event.per_second, now};
  m_upstreams.ObserveRateLimit(now, event.upstream, observation, out);
  m_upstreams.RecordOwnObservation(event.upstream, observation);
}

void Dispatcher::Apply(core::Instant now, const BackoffRequested& event, Actions&) {
  m_upstreams.BackOff(event.upstream, now + event.time);
}

void Dispatcher::Apply(core::Instant now, const PeerRateLimitsChanged& event, Actions& out) {
  m_upstreams.SetProcesses(now, event.processes);
  m_upstreams.SetColdSharers(
      now, event.possibly_running.empty() ? event.processes : event.possibly_running);
  for (const auto& [upstream, observation] : event.observations) {
    m_upstreams.ObserveRateLimit(now, upstream, observation, out);
  }
}

void Dispatcher::Apply(core::Instant, const PromptWeightChanged& event, Actions&) {
  m_upstreams.SetPromptWeight(event.prompt_tokens_per_slot);
}

void Dispatcher::Apply(core::Instant now, const RequestArrived& event, Actions& out) {
  assert(!m_waiting.contains(event.request) && !m_running.contains(event.request));
  if (!m_upstreams.AnyListed()) {
    return Reject(event.request, RejectReason::kNoUpstream, {},
                  JitteredRetryAfter(m_config.blocked_retry_after), out);
  }
  if (m_upstreams.AllBlocked(now)) {
    return Reject(event.request, RejectReason::kBlocked, {},
                  JitteredRetryAfter(m_config.blocked_retry_after), out);
  }
  const core::Duration slack = event.target_latency - m_mean_time_to_first_output;
  const core::Duration max_wait =
      std::max(Scale(slack, m_config.max_wait_share), Scale(event.target_latency, kMinWaitShare));
  WaitingRequest waiting{event, now, std::min(now + max_wait, event.deadline)};
  const core::Duration wait = ExpectedWait(now, event);
  if (now + wait > waiting.start_by) {
    return Reject(event.request, RejectReason::kOverloaded, wait, JitteredRetryAfter(wait), out);
  }
  limits::QueuedRequest item;
  item.request = event.request;
  item.account = event.account;
  item.priority = event.priority;
  item.deadline = waiting.start_by;
  item.enqueued = now;
  m_queue.Push(item);
  m_waiting.emplace(event.request, std::move(waiting));
}

void Dispatcher::Apply(core::Instant now, const PlaceSought& event, Actions&) {
  assert(!m_waiting.contains(event.request) && !m_running.contains(event.request));
  m_sought.push_back({event, now});
}

void Dispatcher::Apply(core::Instant now, const RequestWithdrawn& event, Actions& out) {
  std::erase_if(m_sought,
                [&](const SoughtPlace& sought) { return sought.request.request == event.request; });
  m_queue.Remove(event.request);
  m_waiting.erase(event.request);
  if (m_running.contains(event.request)) {
    Apply(now, AttemptEnded{event.request, AttemptEnd::kCancelled}, out);
  }
}

void Dispatcher::Apply(core::Instant now, const FirstOutputReceived& event, Actions& out) {
  m_upstreams.RecordOutput(now);
  const auto found = m_running.find(event.request);
  if (found == m_running.end()) return;
  m_upstreams.RecordSignOfLife(now, found->second.upstream);
  if (found->second.has_output) return;
  RunningRequest& running = found->second;
  running.has_output = true;
  UpdateMean(m_mean_time_to_first_output, now - running.started);
  m_upstreams.RecordFirstOutput(running.upstream, running.prompt_tokens, out);
}

void Dispatcher::Apply(core::Instant now, const AttemptEnded& event, Actions& out) {
  const auto found = m_running.find(event.request);
  if (found == m_running.end()) return;
  const RunningRequest running = found->second;
  m_running.erase(found);
  if (event.end == AttemptEnd::kCompleted) {
    UpdateMean(m_mean_service_time, now - running.started);
    m_upstreams.RecordOutput(now);
  }
  const double unread_prompt_tokens = running.has_output ? 0 : running.prompt_tokens;
  m_upstreams.EndAttempt(now, running.upstream, unread_prompt_tokens, event.end, out);
}

void Dispatcher::Apply(core::Instant, const DispatchTick&, Actions&) {}

core::Duration Dispatcher::ExpectedWait(core::Instant now, const RequestArrived& event) const {
  if (const auto until = m_upstreams.AllBackedOffUntil(now)) return *until - now;
  const std::size_t own_ahead = m_queue.AheadOf(event.account, event.priority);
  const auto ahead = static_cast<double>(own_ahead + m_peers_waiting);
  if (const auto limited = m_upstreams.LimitedCapacity(now)) {
    const double over = static_cast<double>(own_ahead) + 1 - limited->own_saved;
    if (over <= 0) return {};
    if (limited->own_per_second <= 0) return kNoShareWait;
    return SecondsToDuration(over / limited->own_per_second);
  }
  const auto [slots, used] = m_upstreams.TotalCapacity(now, m_mean_service_time);
  if (used + ahead + 1 <= slots || slots == 0) return {};
  // Assumes that the slots become free at an even rate.
  return Scale(m_mean_service_time, (used + ahead - slots + 1) / slots);
}

// Callers that are rejected together must not retry together.
core::Duration Dispatcher::JitteredRetryAfter(core::Duration min_delay) {
  const core::Duration base = std::max<core::Duration>(min_delay, kMinRetryAfter);
  return Scale(base, 1 + m_random.Unit());
}

void Dispatcher::AssignSought(core::Instant now, Actions& out) {
  std::erase_if(m_sought, [&](const SoughtPlace& sought) {
    const PlaceSought& request = sought.request;
    const auto upstream = m_upstreams.Choose(now, request.excluded);
    if (!upstream) return false;
    Assign(now, *upstream, request.request, request.prompt_tokens, now - sought.since, out);
    return true;
  });
}

void Dispatcher::AssignWaiting(core::Instant now, Actions& out) {
  while (m_queue.size() > 0) {
    if (!m_upstreams.Choose(now, {})) return;
    const auto item = m_queue.Pop(now, [](const auto&) { return true; });
    if (!item) return;
    const auto found = m_waiting.find(item->request);
    assert(found != m_waiting.end());
    const WaitingRequest waiting = std::move(found->second);
    m_waiting.erase(found);
    auto upstream = m_upstreams.Choose(now, waiting.arrival.excluded);
    // If only excluded upstreams have a free slot, the request is sent to one of them again.
    if (!upstream) upstream = m_upstreams.Choose(now, {});
    assert(upstream);
    const RequestArrived& arrival = waiting.arrival;
    Assign(now, *upstream, arrival.request, arrival.prompt_tokens, now - waiting.arrived, out);
  }
}

void Dispatcher::Assign(core::Instant now, const core::UpstreamId& upstream,
                        const core::RequestId& request, double prompt_tokens, core::Duration waited,
                        Actions& out) {
  const UpstreamPool::Load load = m_upstreams.StartAttempt(now, upstream, prompt_tokens);
  m_running.emplace(request, RunningRequest{upstream, now, prompt_tokens, false});
  out.emplace_back(Assigned{request, upstream, load.own_in_flight, load.peers_in_flight, waited});
}

void Dispatcher::RejectOverdueOrBlocked(core::Instant now, Actions& out) {
  const bool blocked = m_upstreams.AllBlocked(now);
  const auto removed = m_queue.RemoveIf(
      [&](const limits::QueuedRequest& item) { return blocked || now >= item.deadline; });
  for (const limits::QueuedRequest& item : removed) {
    m_waiting.erase(item.request);
    if (blocked) {
      Reject(item.request, RejectReason::kBlocked, {},
             JitteredRetryAfter(m_config.blocked_retry_after), out);
    } else {
      Reject(item.request, RejectReason::kQueueTimeout, now - item.enqueued,
             JitteredRetryAfter(m_mean_service_time), out);
    }
  }
}

void Dispatcher::Reject(const core::RequestId& request, RejectReason reason, core::Duration wait,
                        core::Duration retry_after, Actions& out) {
  out.emplace_back(Rejected{request, reason, retry_after, wait, m_queue.size() + m_peers_waiting});
}

std::optional<core::Instant> Dispatcher::NextWake() const {
  std::optional<core::Instant> wake;
  const auto consider = [&](core::Instant at) { wake = wake ? std::min(*wake, at) : at; };
  for (const auto& [request, waiting] : m_waiting) consider(waiting.start_by);
  if (m_waiting.empty() && m_sought.empty()) return wake;
  if (const auto unblock = m_upstreams.NextUnblock()) consider(*unblock);
  if (const auto admission = m_upstreams.NextRateAdmission(m_now)) consider(*admission);
  if (const auto end = m_upstreams.NextBackoffEnd(m_now)) consider(*end);
  return wake;
}

}  // namespace cornelrelay::dispatch
