#include "cornelrelay/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::dispatch {
namespace {

/// Weight of one result in the running means of times.
constexpr double kTimeGain = 0.1;
/// Share of the target latency that a request may wait even where the first output usually takes
/// the whole target: a late answer is worth more to a caller than a refusal.
constexpr double kLeastWaitShare = 0.1;
/// A caller that is told less comes back within the round trip of its refusal.
constexpr std::chrono::milliseconds kLeastRetryAfter{100};

void Blend(core::Duration& mean, core::Duration sample) {
  mean += core::Duration(
      static_cast<core::Duration::rep>(kTimeGain * static_cast<double>((sample - mean).count())));
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
    : m_config(config),
      m_random(config.seed),
      m_upstreams(config.upstreams, config.seed + 1),
      m_queue(limits::FairQueueConfig{}),
      m_mean_service_time(config.initial_service_time),
      m_mean_time_to_first_output(config.initial_time_to_first_output) {}

std::vector<DispatchAction> Dispatcher::Step(core::Instant now, const DispatchEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Pump(now, out);
  RejectOverdue(now, out);
  return out;
}

void Dispatcher::Apply(core::Instant, const UpstreamsChanged& event, Actions&) {
  m_upstreams.Set(event.upstreams);
}

void Dispatcher::Apply(core::Instant, const PeerLoadChanged& event, Actions&) {
  m_peers_waiting = event.waiting;
  m_upstreams.SetPeers(event.in_flight);
}

void Dispatcher::Apply(core::Instant, const PromptWeightChanged& event, Actions&) {
  m_upstreams.SetPromptWeight(event.prompt_tokens_per_slot);
}

void Dispatcher::Apply(core::Instant now, const RequestArrived& event, Actions& out) {
  assert(!m_waiting.contains(event.request) && !m_running.contains(event.request));
  if (!m_upstreams.AnyListed()) {
    return Reject(event.request, RejectReason::kNoUpstream, {}, Spread(m_config.blocked_retry),
                  out);
  }
  if (m_upstreams.AllBlocked(now)) {
    return Reject(event.request, RejectReason::kBlocked, {}, Spread(m_config.blocked_retry), out);
  }
  const core::Duration slack = event.target_latency - m_mean_time_to_first_output;
  const core::Duration patience =
      std::max(Scale(slack, m_config.wait_share), Scale(event.target_latency, kLeastWaitShare));
  Waiting waiting{event, now, std::min(now + patience, event.deadline)};
  const core::Duration wait = ExpectedWait(event);
  if (now + wait > waiting.start_by) {
    return Reject(event.request, RejectReason::kOverloaded, wait, Spread(wait), out);
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

void Dispatcher::Apply(core::Instant now, const RequestWithdrawn& event, Actions& out) {
  m_queue.Remove(event.request);
  m_waiting.erase(event.request);
  if (m_running.contains(event.request)) {
    Apply(now, AttemptEnded{event.request, AttemptEnd::kCancelled}, out);
  }
}

void Dispatcher::Apply(core::Instant now, const FirstOutputReceived& event, Actions& out) {
  m_upstreams.NoteOutput(now);
  const auto found = m_running.find(event.request);
  if (found == m_running.end() || found->second.has_output) return;
  Running& running = found->second;
  running.has_output = true;
  Blend(m_mean_time_to_first_output, now - running.started);
  m_upstreams.FirstOutput(running.upstream, running.prompt_tokens, out);
}

void Dispatcher::Apply(core::Instant now, const AttemptEnded& event, Actions& out) {
  const auto found = m_running.find(event.request);
  if (found == m_running.end()) return;
  const Running running = found->second;
  m_running.erase(found);
  if (event.end == AttemptEnd::kCompleted) {
    Blend(m_mean_service_time, now - running.started);
    m_upstreams.NoteOutput(now);
  }
  const double prompt_left = running.has_output ? 0 : running.prompt_tokens;
  m_upstreams.End(now, running.upstream, prompt_left, event.end, out);
}

void Dispatcher::Apply(core::Instant, const DispatchTick&, Actions&) {}

core::Duration Dispatcher::ExpectedWait(const RequestArrived& event) const {
  const auto [places, taken] = m_upstreams.CountPlaces();
  const std::size_t ahead = m_queue.AheadOf(event.account, event.priority) + m_peers_waiting;
  if (taken + ahead < places || places == 0) return {};
  // The places become free at an even pace.
  const auto turns = static_cast<double>(taken + ahead - places + 1);
  return Scale(m_mean_service_time, turns / static_cast<double>(places));
}

// Those who are refused together must not come back together.
core::Duration Dispatcher::Spread(core::Duration least) {
  const core::Duration base = std::max<core::Duration>(least, kLeastRetryAfter);
  return Scale(base, 1 + m_random.Unit());
}

void Dispatcher::Pump(core::Instant now, Actions& out) {
  while (m_queue.size() > 0) {
    if (!m_upstreams.Choose(now, {})) return;
    const auto item = m_queue.Pop(now, [](const auto&) { return true; });
    if (!item) return;
    const auto found = m_waiting.find(item->request);
    assert(found != m_waiting.end());
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    auto upstream = m_upstreams.Choose(now, waiting.arrival.excluded);
    // Rather the same upstream once more than none, where it has tried all others.
    if (!upstream) upstream = m_upstreams.Choose(now, {});
    assert(upstream);
    Assign(now, *upstream, waiting, out);
  }
}

void Dispatcher::Assign(core::Instant now, const core::UpstreamId& upstream, const Waiting& waiting,
                        Actions& out) {
  const RequestArrived& arrival = waiting.arrival;
  const UpstreamPool::Load load = m_upstreams.Begin(upstream, arrival.prompt_tokens);
  m_running.emplace(arrival.request, Running{upstream, now, arrival.prompt_tokens, false});
  out.emplace_back(
      Assigned{arrival.request, upstream, load.own, load.peers, now - waiting.arrived});
}

void Dispatcher::RejectOverdue(core::Instant now, Actions& out) {
  const bool blocked = m_upstreams.AllBlocked(now);
  const auto overdue = m_queue.RemoveIf(
      [&](const limits::QueuedRequest& item) { return blocked || now >= item.deadline; });
  for (const limits::QueuedRequest& item : overdue) {
    m_waiting.erase(item.request);
    if (blocked) {
      Reject(item.request, RejectReason::kBlocked, {}, Spread(m_config.blocked_retry), out);
    } else {
      Reject(item.request, RejectReason::kQueueTimeout, now - item.enqueued,
             Spread(m_mean_service_time), out);
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
  if (m_waiting.empty()) return wake;
  if (const auto unblock = m_upstreams.NextUnblock()) consider(*unblock);
  return wake;
}

}  // namespace cornelrelay::dispatch
