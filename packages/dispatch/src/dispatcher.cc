#include "cornelrelay/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::dispatch {
namespace {

/// Weight of one result in the running means of times.
constexpr double kTimeGain = 0.1;
/// Upstreams whose load differs by less than this part of a place count as equal. Processes that
/// choose at the same moment then spread over them.
constexpr double kEqualLoad = 0.75;
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
    case RejectReason::kWaited:
      return "waited";
  }
  assert(false);
  return "unknown";
}

Dispatcher::Dispatcher(DispatcherConfig config)
    : m_config(config),
      m_random(config.seed),
      m_queue(limits::FairQueueConfig{}),
      m_hold(config.usual_hold),
      m_first_output(config.usual_first_output) {}

std::vector<DispatchAction> Dispatcher::Step(core::Instant now, const DispatchEvent& event) {
  Actions out;
  std::visit([&](const auto& e) { Apply(now, e, out); }, event);
  Pump(now, out);
  RejectOverdue(now, out);
  return out;
}

void Dispatcher::Apply(core::Instant, const UpstreamsChanged& event, Actions&) {
  for (auto& [id, upstream] : m_upstreams) upstream.listed = false;
  for (const UpstreamSpec& spec : event.upstreams) {
    const auto [found, added] = m_upstreams.try_emplace(spec.id, spec, m_config.health);
    Upstream& upstream = found->second;
    // Nothing that was learnt of an earlier start holds for this one.
    if (upstream.spec.incarnation != spec.incarnation) {
      upstream.health = UpstreamHealth(m_config.health);
      upstream.blocked_until.reset();
    }
    upstream.spec = spec;
    upstream.listed = true;
  }
  std::erase_if(m_upstreams,
                [](const auto& entry) { return !entry.second.listed && entry.second.own == 0; });
}

void Dispatcher::Apply(core::Instant, const PeerLoadChanged& event, Actions&) {
  m_peers_waiting = event.waiting;
  for (auto& [id, upstream] : m_upstreams) {
    const auto found = event.in_flight.find(id);
    upstream.peers = found == event.in_flight.end() ? 0 : found->second;
  }
}

void Dispatcher::Apply(core::Instant now, const RequestArrived& event, Actions& out) {
  assert(!m_waiting.contains(event.request) && !m_running.contains(event.request));
  const bool any = std::any_of(m_upstreams.begin(), m_upstreams.end(),
                               [](const auto& entry) { return entry.second.listed; });
  if (!any) {
    return Reject(event.request, RejectReason::kNoUpstream, {}, Spread(m_config.blocked_retry),
                  out);
  }
  if (AllBlocked(now)) {
    return Reject(event.request, RejectReason::kBlocked, {}, Spread(m_config.blocked_retry), out);
  }
  const core::Duration slack = event.target_latency - m_first_output;
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
  m_last_output = now;
  const auto found = m_running.find(event.request);
  if (found == m_running.end() || found->second.has_output) return;
  Running& running = found->second;
  running.has_output = true;
  Blend(m_first_output, now - running.started);
  const auto upstream = m_upstreams.find(running.upstream);
  if (upstream == m_upstreams.end()) return;
  upstream->second.prompt_tokens -= running.prompt_tokens;
  // A group that one member was missing from works again as a whole.
  if (upstream->second.blocked_until) {
    for (auto& [id, other] : m_upstreams) other.blocked_until.reset();
  }
  SetBlocked(false, out);
}

void Dispatcher::Apply(core::Instant now, const AttemptEnded& event, Actions& out) {
  const auto found = m_running.find(event.request);
  if (found == m_running.end()) return;
  const Running running = found->second;
  m_running.erase(found);
  if (event.end == AttemptEnd::kCompleted) {
    Blend(m_hold, now - running.started);
    m_last_output = now;
  }
  const auto upstream = m_upstreams.find(running.upstream);
  if (upstream == m_upstreams.end()) return;
  Upstream& record = upstream->second;
  assert(record.own > 0);
  --record.own;
  if (!running.has_output) record.prompt_tokens -= running.prompt_tokens;
  NoteResult(now, record, event.end, out);
  if (!record.listed && record.own == 0) m_upstreams.erase(upstream);
}

void Dispatcher::Apply(core::Instant, const DispatchTick&, Actions&) {}

void Dispatcher::NoteResult(core::Instant now, Upstream& upstream, AttemptEnd end, Actions& out) {
  const HealthState before = upstream.health.state();
  switch (end) {
    case AttemptEnd::kCompleted:
      upstream.health.Succeeded(now);
      if (upstream.blocked_until) upstream.blocked_until.reset();
      break;
    case AttemptEnd::kFailed:
      upstream.health.Failed(now);
      break;
    case AttemptEnd::kErrors:
      upstream.health.AnsweredFailure(now);
      break;
    case AttemptEnd::kGone:
      upstream.health.Gone(now);
      break;
    case AttemptEnd::kBlocked:
      NoteBlocked(now, upstream, out);
      break;
    case AttemptEnd::kRefused:
    case AttemptEnd::kCancelled:
      break;
  }
  if (upstream.health.state() != before) {
    out.emplace_back(
        HealthChanged{upstream.spec.id, upstream.health.state(), upstream.health.failure_share()});
  }
}

void Dispatcher::NoteBlocked(core::Instant now, Upstream& upstream, Actions& out) {
  const core::Instant until = now + m_config.block_time;
  upstream.blocked_until = until;
  // Two that refuse for a third one's sake, while none of the service gives output, are a group
  // that stands still.
  const auto blocked = std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return entry.second.blocked_until.has_value();
  });
  if (blocked < 2 || now - m_last_output < m_config.block_time) return;
  for (auto& [id, other] : m_upstreams) other.blocked_until = until;
  SetBlocked(true, out);
}

void Dispatcher::SetBlocked(bool blocked, Actions& out) {
  if (std::exchange(m_blocked, blocked) != blocked) out.emplace_back(ServiceBlocked{blocked});
}

// An upstream whose block time is over is tried by one request of this process at a time.
bool Dispatcher::Admits(core::Instant now, const Upstream& upstream) const {
  if (!upstream.listed) return false;
  if (!upstream.blocked_until) return upstream.health.Admits(now, upstream.own);
  if (now < *upstream.blocked_until) return false;
  return std::none_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return entry.second.blocked_until && entry.second.own > 0;
  });
}

bool Dispatcher::AllBlocked(core::Instant now) const {
  return std::all_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& entry) {
    const Upstream& upstream = entry.second;
    return !upstream.listed || (upstream.blocked_until && !Admits(now, upstream));
  });
}

bool Dispatcher::HasRoom(const Upstream& upstream) const {
  return upstream.own + upstream.peers < upstream.spec.slots;
}

double Dispatcher::Load(const Upstream& upstream) const {
  return static_cast<double>(upstream.own + upstream.peers) +
         upstream.prompt_tokens / m_config.prompt_tokens_per_place;
}

Dispatcher::Upstream* Dispatcher::Choose(core::Instant now,
                                         const std::set<core::UpstreamId>& excluded) {
  std::vector<Upstream*> admitted;
  std::vector<Upstream*> others;
  for (auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed || excluded.contains(id) || !HasRoom(upstream)) continue;
    if (Admits(now, upstream)) {
      admitted.push_back(&upstream);
    } else if (!upstream.blocked_until) {
      others.push_back(&upstream);
    }
  }
  // When most upstreams seem to fail, the cause is rather this process or its network.
  if (admitted.empty()) admitted = std::move(others);
  if (admitted.empty()) return nullptr;
  double least = Load(*admitted.front());
  for (const Upstream* upstream : admitted) least = std::min(least, Load(*upstream));
  std::erase_if(admitted,
                [&](const Upstream* upstream) { return Load(*upstream) > least + kEqualLoad; });
  return admitted[m_random.Below(admitted.size())];
}

core::Duration Dispatcher::ExpectedWait(const RequestArrived& event) const {
  std::uint64_t places = 0;
  std::uint64_t taken = 0;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed) continue;
    places += upstream.spec.slots;
    taken += std::min(upstream.own + upstream.peers, upstream.spec.slots);
  }
  const std::size_t ahead = m_queue.AheadOf(event.account, event.priority) + m_peers_waiting;
  if (taken + ahead < places || places == 0) return {};
  // The places become free at an even pace.
  const auto turns = static_cast<double>(taken + ahead - places + 1);
  return Scale(m_hold, turns / static_cast<double>(places));
}

// Those who are refused together must not come back together.
core::Duration Dispatcher::Spread(core::Duration least) {
  const core::Duration base = std::max<core::Duration>(least, kLeastRetryAfter);
  return Scale(base, 1 + m_random.Unit());
}

void Dispatcher::Pump(core::Instant now, Actions& out) {
  while (m_queue.size() > 0) {
    if (Choose(now, {}) == nullptr) return;
    const auto item = m_queue.Pop(now, [](const auto&) { return true; });
    if (!item) return;
    const auto found = m_waiting.find(item->request);
    assert(found != m_waiting.end());
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    Upstream* upstream = Choose(now, waiting.arrival.excluded);
    // Rather the same upstream once more than none, where it has tried all others.
    if (upstream == nullptr) upstream = Choose(now, {});
    Assign(now, *upstream, waiting, out);
  }
}

void Dispatcher::Assign(core::Instant now, Upstream& upstream, const Waiting& waiting,
                        Actions& out) {
  ++upstream.own;
  upstream.prompt_tokens += waiting.arrival.prompt_tokens;
  m_running.emplace(waiting.arrival.request,
                    Running{upstream.spec.id, now, waiting.arrival.prompt_tokens, false});
  out.emplace_back(Assigned{waiting.arrival.request, upstream.spec.id, upstream.own, upstream.peers,
                            now - waiting.arrived});
}

void Dispatcher::RejectOverdue(core::Instant now, Actions& out) {
  const bool blocked = AllBlocked(now);
  const auto overdue = m_queue.RemoveIf(
      [&](const limits::QueuedRequest& item) { return blocked || now >= item.deadline; });
  for (const limits::QueuedRequest& item : overdue) {
    m_waiting.erase(item.request);
    if (blocked) {
      Reject(item.request, RejectReason::kBlocked, {}, Spread(m_config.blocked_retry), out);
    } else {
      Reject(item.request, RejectReason::kWaited, now - item.enqueued, Spread(m_hold), out);
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
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.blocked_until) consider(*upstream.blocked_until);
  }
  return wake;
}

std::map<core::UpstreamId, std::uint32_t> Dispatcher::InFlight() const {
  std::map<core::UpstreamId, std::uint32_t> in_flight;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.own > 0) in_flight[id] = upstream.own;
  }
  return in_flight;
}

}  // namespace cornelrelay::dispatch
