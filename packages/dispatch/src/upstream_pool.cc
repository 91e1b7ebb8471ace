#include "cornelrelay/dispatch/upstream_pool.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace cornelrelay::dispatch {
namespace {

/// Upstreams whose loads differ by at most this part of a slot count as equally loaded. Processes
/// that choose at the same moment then spread over them.
constexpr double kEqualLoadMargin = 0.75;
/// The rate of the ramp after a cold time changes at this interval: often enough that no step adds
/// a fifth, seldom enough that the shares of hundreds of processes cost little.
constexpr std::chrono::milliseconds kColdRampStep{250};

}  // namespace

void UpstreamPool::SetUpstreams(const std::vector<UpstreamSpec>& upstreams) {
  for (auto& [id, upstream] : m_upstreams) upstream.listed = false;
  for (const UpstreamSpec& spec : upstreams) {
    const auto [found, added] = m_upstreams.try_emplace(spec.id, spec, m_config.health);
    Upstream& upstream = found->second;
    // Results of an earlier incarnation say nothing about this one.
    if (upstream.spec.incarnation != spec.incarnation) {
      upstream.health = UpstreamHealth(m_config.health);
      upstream.blocked_until.reset();
      upstream.backed_off_until = {};
      upstream.rate = {};
      upstream.own_observation.reset();
      upstream.cold = {};
      upstream.cold_end.reset();
    }
    upstream.spec = spec;
    upstream.listed = true;
  }
  std::erase_if(m_upstreams, [](const auto& entry) {
    return !entry.second.listed && entry.second.own_in_flight == 0;
  });
}

void UpstreamPool::SetPeerLoad(const std::map<core::UpstreamId, std::uint32_t>& in_flight) {
  for (auto& [id, upstream] : m_upstreams) {
    const auto found = in_flight.find(id);
    upstream.peers_in_flight = found == in_flight.end() ? 0 : found->second;
  }
}

void UpstreamPool::ObserveRateLimit(core::Instant now, const core::UpstreamId& id,
                                    const RateLimitObservation& observation, Actions& out) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  RateLimitShare& rate = found->second.rate;
  // Most upstreams never name a limit; nothing is kept of them.
  if (!observation.per_second && !rate.observation()) return;
  if (!rate.Observe(observation)) return;
  // What this process heard before is no longer true.
  found->second.own_observation.reset();
  const auto limit = rate.limit();
  rate.SetShare(now, limit ? RateShareOf(*limit, id, m_config.self, m_processes) : 0);
  out.emplace_back(RateLimitChanged{id, limit, rate.share()});
}

void UpstreamPool::RecordOwnObservation(const core::UpstreamId& id,
                                        const RateLimitObservation& observation) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  const bool had_limit = found->second.rate.observation().has_value();
  auto& own = found->second.own_observation;
  // The end of a limit keeps the time of the first answer without it, so that it is not reported
  // for ever.
  if (observation.per_second || (had_limit && (!own || own->per_second))) own = observation;
}

void UpstreamPool::SetProcesses(core::Instant now, const std::vector<core::HostId>& processes) {
  if (m_processes == processes) return;
  m_processes = processes;
  for (auto& [id, upstream] : m_upstreams) {
    const auto limit = upstream.rate.limit();
    if (limit) upstream.rate.SetShare(now, RateShareOf(*limit, id, m_config.self, m_processes));
  }
}

void UpstreamPool::SetColdSharers(core::Instant now, const std::vector<core::HostId>& processes) {
  if (m_possibly_running == processes) return;
  m_possibly_running = processes;
  for (auto& [id, upstream] : m_upstreams) {
    if (!upstream.cold_end) continue;
    upstream.cold_rank = SharingRankOf(id, m_config.self, m_possibly_running);
    SetColdShare(now, upstream);
  }
}

void UpstreamPool::UpdateCold(core::Instant now, Actions& out) {
  for (auto& [id, upstream] : m_upstreams) {
    const UpstreamSpec& spec = upstream.spec;
    const bool limited = spec.cold_until && spec.cold_per_second > 0 &&
                         now < *spec.cold_until + m_config.cold_ramp_time;
    if (limited && !upstream.cold_end) {
      upstream.cold_noticed = now;
      upstream.cold_end = spec.cold_until;
      upstream.cold.Empty(now);
      upstream.cold_rank = SharingRankOf(id, m_config.self, m_possibly_running);
    } else if (limited) {
      upstream.cold_end = spec.cold_until;
    } else if (upstream.cold_end && now < *upstream.cold_end) {
      // It is warm earlier than it said. The ramp is needed all the same.
      upstream.cold_end = now;
    }
    if (upstream.cold_end && now >= *upstream.cold_end + m_config.cold_ramp_time) {
      upstream.cold_end.reset();
      upstream.cold = {};
    }
    if (upstream.cold_end) SetColdShare(now, upstream);
    if (upstream.cold_reported != upstream.cold_end.has_value()) ReportCold(now, upstream, out);
  }
}

double UpstreamPool::ColdRateAt(core::Instant now, const Upstream& upstream) const {
  const core::Duration since = now - *upstream.cold_end;
  if (since < core::Duration{}) return upstream.spec.cold_per_second;
  const core::Duration step = kColdRampStep;
  const auto doublings = static_cast<double>((since / step) * step.count()) /
                         static_cast<double>(m_config.cold_ramp_doubling.count());
  return upstream.spec.cold_per_second * std::exp2(doublings);
}

void UpstreamPool::SetColdShare(core::Instant now, Upstream& upstream) const {
  const double rate = ColdRateAt(now, upstream);
  const bool settled = now >= upstream.cold_noticed + m_config.cold_settle_time;
  upstream.cold.Observe({rate, now});
  upstream.cold.SetShare(
      now, settled ? RateShareAt(rate, upstream.cold_rank, m_possibly_running.size()) : 0);
}

void UpstreamPool::ReportCold(core::Instant now, Upstream& upstream, Actions& out) const {
  const UpstreamSpec& spec = upstream.spec;
  upstream.cold_reported = upstream.cold_end.has_value();
  ColdChanged action{spec.id, upstream.cold_reported};
  action.per_second = spec.cold_per_second;
  action.processes = m_possibly_running.size();
  if (upstream.cold_end) {
    action.remaining = std::max(core::Duration{}, *upstream.cold_end - now);
    action.own_per_second =
        RateShareAt(spec.cold_per_second, upstream.cold_rank, m_possibly_running.size());
  }
  out.emplace_back(action);
}

std::size_t UpstreamPool::cold_count() const {
  return static_cast<std::size_t>(std::count_if(
      m_upstreams.begin(), m_upstreams.end(),
      [](const auto& entry) { return entry.second.listed && entry.second.cold_end; }));
}

core::Instant UpstreamPool::NextColdChange(core::Instant now, const Upstream& upstream) const {
  const core::Instant settled = upstream.cold_noticed + m_config.cold_settle_time;
  if (now < settled) return settled;
  return std::max(*upstream.cold_end, now + kColdRampStep);
}

bool UpstreamPool::RateAdmits(core::Instant now, const Upstream& upstream) {
  return upstream.rate.Admits(now) && upstream.cold.Admits(now);
}

std::optional<double> UpstreamPool::RateLimitOf(const Upstream& upstream) {
  const auto named = upstream.rate.limit();
  const auto cold = upstream.cold.limit();
  if (!named || !cold) return named ? named : cold;
  return std::min(*named, *cold);
}

double UpstreamPool::RateShareOfProcess(const Upstream& upstream) {
  if (!upstream.cold.limit()) return upstream.rate.share();
  if (!upstream.rate.limit()) return upstream.cold.share();
  return std::min(upstream.rate.share(), upstream.cold.share());
}

std::map<core::UpstreamId, RateLimitObservation> UpstreamPool::OwnRateLimits(
    core::Instant now) const {
  std::map<core::UpstreamId, RateLimitObservation> observations;
  for (const auto& [id, upstream] : m_upstreams) {
    const auto& own = upstream.own_observation;
    if (!own) continue;
    const bool recent = now - own->at < m_config.limit_end_report_time;
    if (own->per_second || recent) observations[id] = *own;
  }
  return observations;
}

void UpstreamPool::BackOff(const core::UpstreamId& id, core::Instant until) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  core::Instant& current = found->second.backed_off_until;
  current = std::max(current, until);
}

std::optional<core::Instant> UpstreamPool::AllBackedOffUntil(core::Instant now) const {
  std::optional<core::Instant> first;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed) continue;
    if (upstream.backed_off_until <= now) return std::nullopt;
    first = std::min(first.value_or(upstream.backed_off_until), upstream.backed_off_until);
  }
  return first;
}

std::optional<core::Instant> UpstreamPool::NextBackoffEnd(core::Instant now) const {
  std::optional<core::Instant> next;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed || upstream.backed_off_until <= now) continue;
    next = std::min(next.value_or(upstream.backed_off_until), upstream.backed_off_until);
  }
  return next;
}

UpstreamPool::Load UpstreamPool::StartAttempt(core::Instant now, const core::UpstreamId& id,
                                              double prompt_tokens) {
  Upstream& upstream = m_upstreams.at(id);
  upstream.rate.Take(now);
  upstream.cold.Take(now);
  ++upstream.own_in_flight;
  upstream.unread_prompt_tokens += prompt_tokens;
  return {upstream.own_in_flight, upstream.peers_in_flight};
}

void UpstreamPool::RecordFirstOutput(const core::UpstreamId& id, double prompt_tokens,
                                     Actions& out) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  found->second.unread_prompt_tokens -= prompt_tokens;
  // An output of one blocked upstream shows that all upstreams of the service work again.
  if (found->second.blocked_until) {
    for (auto& [other, upstream] : m_upstreams) upstream.blocked_until.reset();
  }
  SetServiceBlocked(false, out);
}

void UpstreamPool::EndAttempt(core::Instant now, const core::UpstreamId& id, double prompt_tokens,
                              AttemptEnd end, Actions& out) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  Upstream& upstream = found->second;
  assert(upstream.own_in_flight > 0);
  --upstream.own_in_flight;
  upstream.unread_prompt_tokens -= prompt_tokens;
  RecordResult(now, upstream, end, out);
  if (!upstream.listed && upstream.own_in_flight == 0) m_upstreams.erase(found);
}

bool UpstreamPool::AnyListed() const {
  return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                     [](const auto& entry) { return entry.second.listed; });
}

UpstreamPool::Capacity UpstreamPool::TotalCapacity(core::Instant now,
                                                   core::Duration service_time) const {
  Capacity capacity;
  const double seconds = std::chrono::duration<double>(service_time).count();
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed || now < upstream.backed_off_until) continue;
    double slots = upstream.spec.slots;
    if (const auto limit = RateLimitOf(upstream)) slots = std::min(slots, *limit * seconds);
    capacity.slots += slots;
    capacity.used += std::min<double>(upstream.own_in_flight + upstream.peers_in_flight, slots);
  }
  return capacity;
}

std::optional<UpstreamPool::RateCapacity> UpstreamPool::LimitedCapacity(core::Instant now) const {
  RateCapacity capacity;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed) continue;
    if (!RateLimitOf(upstream)) return std::nullopt;
    capacity.own_per_second += RateShareOfProcess(upstream);
    if (now >= upstream.backed_off_until && RateAdmits(now, upstream)) capacity.own_saved += 1;
  }
  return capacity;
}

std::optional<core::Instant> UpstreamPool::NextRateAdmission(core::Instant now) const {
  std::optional<core::Instant> next;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed || RateAdmits(now, upstream)) continue;
    const auto consider = [&](core::Instant at) { next = std::min(next.value_or(at), at); };
    for (const RateLimitShare* share : {&upstream.rate, &upstream.cold}) {
      if (share->Admits(now)) continue;
      if (const auto admission = share->NextAdmission(now)) consider(*admission);
    }
    if (upstream.cold_end) consider(NextColdChange(now, upstream));
  }
  return next;
}

std::optional<core::Instant> UpstreamPool::NextUnblock() const {
  std::optional<core::Instant> next;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.blocked_until) continue;
    next = next ? std::min(*next, *upstream.blocked_until) : *upstream.blocked_until;
  }
  return next;
}

void UpstreamPool::RecordSignOfLife(core::Instant now, const core::UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end()) found->second.last_sign_of_life = now;
}

core::Instant UpstreamPool::LastSignOfLife(const core::UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? core::Instant{} : found->second.last_sign_of_life;
}

void UpstreamPool::RecordResult(core::Instant now, Upstream& upstream, AttemptEnd end,
                                Actions& out) {
  const bool answered = end == AttemptEnd::kCompleted || end == AttemptEnd::kErrorResponse ||
                        end == AttemptEnd::kRefused;
  if (answered) upstream.last_sign_of_life = now;
  const HealthState before = upstream.health.state();
  switch (end) {
    case AttemptEnd::kCompleted:
      upstream.health.RecordSuccess(now);
      if (upstream.blocked_until) upstream.blocked_until.reset();
      break;
    case AttemptEnd::kFailed:
      upstream.health.RecordFailure(now);
      break;
    case AttemptEnd::kErrorResponse:
      upstream.health.RecordErrorResponse(now);
      break;
    case AttemptEnd::kMisdirected:
      upstream.health.RecordMisdirected(now);
      break;
    case AttemptEnd::kBlocked:
      RecordBlocked(now, upstream, out);
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

void UpstreamPool::RecordBlocked(core::Instant now, Upstream& upstream, Actions& out) {
  const core::Instant until = now + m_config.block_time;
  upstream.blocked_until = until;
  // Two upstreams that refuse because of another one, while no upstream of the service gives
  // output, show that all upstreams of the service are blocked.
  const auto blocked = std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return entry.second.blocked_until.has_value();
  });
  if (blocked < 2 || now - m_last_output < m_config.block_time) return;
  for (auto& [id, other] : m_upstreams) other.blocked_until = until;
  SetServiceBlocked(true, out);
}

void UpstreamPool::SetServiceBlocked(bool blocked, Actions& out) {
  if (std::exchange(m_service_blocked, blocked) != blocked) {
    out.emplace_back(ServiceBlocked{blocked});
  }
}

// After the block time, this process tries the blocked upstreams with one request at a time.
bool UpstreamPool::Admits(core::Instant now, const Upstream& upstream) const {
  if (!upstream.listed || now < upstream.backed_off_until) return false;
  if (!upstream.blocked_until) return upstream.health.Admits(now, upstream.own_in_flight);
  if (now < *upstream.blocked_until) return false;
  return std::none_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return entry.second.blocked_until && entry.second.own_in_flight > 0;
  });
}

bool UpstreamPool::AllBlocked(core::Instant now) const {
  return std::all_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& entry) {
    const Upstream& upstream = entry.second;
    return !upstream.listed || (upstream.blocked_until && !Admits(now, upstream));
  });
}

bool UpstreamPool::HasFreeSlot(const Upstream& upstream) const {
  return upstream.own_in_flight + upstream.peers_in_flight < upstream.spec.slots;
}

double UpstreamPool::LoadOf(const Upstream& upstream) const {
  return static_cast<double>(upstream.own_in_flight + upstream.peers_in_flight) +
         upstream.unread_prompt_tokens / m_config.prompt_tokens_per_slot;
}

std::optional<core::UpstreamId> UpstreamPool::Choose(core::Instant now,
                                                     const std::set<core::UpstreamId>& excluded) {
  std::vector<const Upstream*> admitted;
  std::vector<const Upstream*> others;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed || excluded.contains(id) || !HasFreeSlot(upstream)) continue;
    if (now < upstream.backed_off_until || !RateAdmits(now, upstream)) continue;
    if (Admits(now, upstream)) {
      admitted.push_back(&upstream);
    } else if (!upstream.blocked_until) {
      others.push_back(&upstream);
    }
  }
  // If none is admitted, the others with a free slot are used: when most upstreams seem to fail,
  // the cause is more likely this process or its network.
  if (admitted.empty()) admitted = std::move(others);
  if (admitted.empty()) return std::nullopt;
  double least = LoadOf(*admitted.front());
  for (const Upstream* upstream : admitted) least = std::min(least, LoadOf(*upstream));
  std::erase_if(admitted, [&](const Upstream* upstream) {
    return LoadOf(*upstream) > least + kEqualLoadMargin;
  });
  return admitted[m_random.Below(admitted.size())]->spec.id;
}

std::map<core::UpstreamId, std::uint32_t> UpstreamPool::InFlight() const {
  std::map<core::UpstreamId, std::uint32_t> in_flight;
  for (const auto& [id, upstream] : m_upstreams) {
    if (upstream.own_in_flight > 0) in_flight[id] = upstream.own_in_flight;
  }
  return in_flight;
}

}  // namespace cornelrelay::dispatch
