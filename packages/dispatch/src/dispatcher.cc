#include "cornelrelay/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <limits>
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

/// Bound of the prompt tokens that a caller announces, so that times computed from them are in
/// range. Far above the prompts of any engine.
constexpr double kMaxPromptTokens = 1e7;

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
    case RejectReason::kDisplaced:
      return "displaced";
    case RejectReason::kTooLate:
      return "too_late";
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
  // An output changes no wait that is estimated here, and there are hundreds of them a second.
  if (!std::holds_alternative<FirstOutputReceived>(event)) RejectUnstartable(now, out);
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
  m_config.prompt_token_time = event.prompt_token_time;
}

void Dispatcher::Apply(core::Instant now, const RequestArrived& event, Actions& out) {
  assert(!m_waiting.contains(event.request) && !m_running.contains(event.request));
  if (!m_upstreams.AnyListed()) {
    return Reject(event, RejectReason::kNoUpstream, {},
                  JitteredRetryAfter(m_config.blocked_retry_after), out);
  }
  if (m_upstreams.AllBlocked(now)) {
    return Reject(event, RejectReason::kBlocked, {},
                  JitteredRetryAfter(m_config.blocked_retry_after), out);
  }
  const core::Duration slack = event.target_latency - m_mean_time_to_first_output;
  const core::Duration max_wait =
      std::max(Scale(slack, m_config.max_wait_share), Scale(event.target_latency, kMinWaitShare));
  WaitingRequest waiting{event, now, std::min(now + max_wait, LastStart(event)), event.priority};
  m_shares.RecordArrival(now, event.priority);
  const std::uint8_t priority = QueuePriority(now, event);
  const core::Duration wait = ExpectedWait(now, AheadOfNew(event.account, priority));
  if (waiting.start_by < now) {
    return Reject(event, RejectReason::kTooLate, wait, JitteredRetryAfter(wait), out);
  }
  if (now + wait > waiting.start_by) {
    return Reject(event, RejectReason::kOverloaded, wait, JitteredRetryAfter(wait), out);
  }
  waiting.priority = priority;
  limits::QueuedRequest item;
  item.request = event.request;
  item.account = event.account;
  item.priority = priority;
  // Of two requests that have to answer at the same time, the longer prompt starts first.
  item.deadline = waiting.start_by - PromptTime(event);
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

bool Dispatcher::HasPriorities() const {
  if (m_shares.size() > 1 || m_peers_waiting.size() > 1) return true;
  return m_shares.size() == 1 && m_peers_waiting.size() == 1 &&
         m_shares.MostUrgent(0) != m_peers_waiting.begin()->first;
}

std::uint8_t Dispatcher::QueuePriority(core::Instant now, const RequestArrived& event) const {
  const auto promoted = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) {
    const WaitingRequest& waiting = entry.second;
    return waiting.arrival.priority == event.priority && waiting.priority < event.priority;
  });
  const bool underserved =
      m_shares.IsUnderserved(now, event.priority, static_cast<std::size_t>(promoted));
  return underserved ? m_shares.MostUrgent(event.priority) : event.priority;
}

double Dispatcher::PeersAhead(std::uint8_t priority, double place_in_class) const {
  double ahead = 0;
  for (const auto& [other, waiting] : m_peers_waiting) {
    if (other < priority) ahead += waiting;
    if (other == priority) ahead += waiting * place_in_class;
  }
  return ahead;
}

Dispatcher::Ahead Dispatcher::AheadOfNew(const core::ClientAccountId& account,
                                         std::uint8_t priority) const {
  const auto own = static_cast<double>(m_queue.AheadOf(account, priority));
  if (!HasPriorities()) return {own, PeersAhead(priority, 1)};
  double more_urgent = 0, same = 0;
  for (const auto& [other, waiting] : m_queue.SizeByPriority()) {
    if (other < priority) more_urgent += waiting;
    if (other == priority) same = waiting;
  }
  // The queues of the peers hold about the same mixture of accounts, so that an account that floods
  // all processes delays only itself.
  const double place = same > 0 ? (own - more_urgent) / same : 1;
  return {own, PeersAhead(priority, place)};
}

core::Duration Dispatcher::PromptTime(const RequestArrived& request) const {
  return Scale(m_config.prompt_token_time, std::min(request.prompt_tokens, kMaxPromptTokens));
}

core::Instant Dispatcher::LastStart(const RequestArrived& request) const {
  if (m_config.prompt_token_time == core::Duration{} || m_running.empty()) return request.deadline;
  return request.deadline - std::max(m_mean_time_to_first_output, PromptTime(request));
}

core::Duration Dispatcher::ExpectedWait(core::Instant now, const Ahead& queued) const {
  if (const auto until = m_upstreams.AllBackedOffUntil(now)) return *until - now;
  const double ahead = queued.own + queued.peers;
  if (const auto limited = m_upstreams.LimitedCapacity(now)) {
    const double over = queued.own + 1 - limited->own_saved;
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
    const auto item = m_queue.Pop(
        now, [](const auto&) { return true; }, LeastUrgentToStart(now));
    if (!item) return;
    const auto found = m_waiting.find(item->request);
    assert(found != m_waiting.end());
    const WaitingRequest waiting = std::move(found->second);
    m_waiting.erase(found);
    if (now > LastStart(waiting.arrival)) {
      const core::Duration wait = now - waiting.arrived;
      Reject(waiting.arrival, RejectReason::kTooLate, wait, JitteredRetryAfter(m_mean_service_time),
             out);
      continue;
    }
    auto upstream = m_upstreams.Choose(now, waiting.arrival.excluded);
    // If only excluded upstreams have a free slot, the request is sent to one of them again.
    if (!upstream) upstream = m_upstreams.Choose(now, {});
    assert(upstream);
    const RequestArrived& arrival = waiting.arrival;
    m_shares.RecordServed(now, arrival.priority);
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

std::uint8_t Dispatcher::LeastUrgentToStart(core::Instant now) const {
  constexpr auto kAll = std::numeric_limits<std::uint8_t>::max();
  // With rate limits, each process has requests of its own to send, which no peer can use.
  if (!HasPriorities() || m_peers_waiting.empty() || m_upstreams.LimitedCapacity(now)) return kAll;
  const auto [slots, used] = m_upstreams.TotalCapacity(now, m_mean_service_time);
  double waiting = 0;
  for (const auto& [priority, count] : m_peers_waiting) {
    waiting += count;
    if (waiting > slots - used) return priority;
  }
  return kAll;
}

// Goes through the queue in the order of service, so that a request that is rejected no longer
// delays those behind it, and reports the least urgent ones first.
void Dispatcher::RejectUnstartable(core::Instant now, Actions& out) {
  if (!HasPriorities()) return;
  struct Unstartable {
    core::RequestId request;
    RejectReason reason;
    core::Duration wait;
  };
  std::vector<Unstartable> unstartable;
  const std::map<std::uint8_t, std::uint32_t> sizes = m_queue.SizeByPriority();
  std::optional<std::uint8_t> priority;
  double ahead = 0, ahead_in_class = 0;
  for (const limits::QueuedRequest& item : m_queue.InServiceOrder()) {
    if (priority != item.priority) ahead_in_class = 0;
    priority = item.priority;
    const double place = ahead_in_class / sizes.at(item.priority);
    const core::Duration wait = ExpectedWait(now, {ahead, PeersAhead(item.priority, place)});
    const core::Instant start_by = m_waiting.at(item.request).start_by;
    if (now + wait <= start_by) {
      ++ahead;
      ++ahead_in_class;
      continue;
    }
    const double peers_more_urgent = PeersAhead(item.priority, 0);
    const core::Duration wait_in_class =
        ExpectedWait(now, {ahead_in_class, PeersAhead(item.priority, place) - peers_more_urgent});
    const bool displaced = now + wait_in_class <= start_by;
    unstartable.push_back(
        {item.request, displaced ? RejectReason::kDisplaced : RejectReason::kOverloaded, wait});
  }
  for (auto item = unstartable.rbegin(); item != unstartable.rend(); ++item) {
    const auto found = m_waiting.find(item->request);
    const WaitingRequest waiting = std::move(found->second);
    m_waiting.erase(found);
    m_queue.Remove(item->request);
    Reject(waiting.arrival, item->reason, item->wait, JitteredRetryAfter(item->wait), out);
  }
}

void Dispatcher::RejectOverdueOrBlocked(core::Instant now, Actions& out) {
  const bool blocked = m_upstreams.AllBlocked(now);
  const auto removed = m_queue.RemoveIf([&](const limits::QueuedRequest& item) {
    return blocked || now >= m_waiting.at(item.request).start_by;
  });
  for (const limits::QueuedRequest& item : removed) {
    const auto found = m_waiting.find(item.request);
    const RequestArrived arrival = std::move(found->second.arrival);
    m_waiting.erase(found);
    if (blocked) {
      Reject(arrival, RejectReason::kBlocked, {}, JitteredRetryAfter(m_config.blocked_retry_after),
             out);
    } else {
      Reject(arrival, RejectReason::kQueueTimeout, now - item.enqueued,
             JitteredRetryAfter(RetryAfterTimeout(now, item)), out);
    }
  }
}

core::Duration Dispatcher::RetryAfterTimeout(core::Instant now,
                                             const limits::QueuedRequest& item) const {
  if (!HasPriorities()) return m_mean_service_time;
  return std::max(m_mean_service_time, ExpectedWait(now, AheadOfNew(item.account, item.priority)));
}

std::size_t Dispatcher::TotalWaiting() const {
  std::size_t total = m_queue.size();
  for (const auto& [priority, waiting] : m_peers_waiting) total += waiting;
  return total;
}

void Dispatcher::Reject(const RequestArrived& request, RejectReason reason, core::Duration wait,
                        core::Duration retry_after, Actions& out) {
  out.emplace_back(
      Rejected{request.request, request.priority, reason, retry_after, wait, TotalWaiting()});
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
