#include "cornelrelay/dispatch/upstream_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cornelrelay::dispatch {
namespace {

/// Upstreams whose loads differ by at most this part of a slot count as equally loaded. Processes
/// that choose at the same moment then spread over them.
constexpr double kEqualLoadMargin = 0.75;

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

UpstreamPool::Load UpstreamPool::StartAttempt(const core::UpstreamId& id, double prompt_tokens) {
  Upstream& upstream = m_upstreams.at(id);
  ++upstream.own_in_flight;
  upstream.unread_prompt_tokens += prompt_tokens;
  return {upstream.own_in_flight, upstream.peers_in_flight};
}

void UpstreamPool::RecordFirstOutput(const core::UpstreamId& id, double prompt_tokens,
                                     Actions& out) {
  const auto found = m_upstreams.find(id);
  if (found == m_upstreams.end()) return;
  found->second.unread_prompt_tokens -= prompt_tokens;
  // An output of one blocked member shows that the whole group works again.
  if (found->second.blocked_until) {
    for (auto& [other, upstream] : m_upstreams) upstream.blocked_until.reset();
  }
  SetBlocked(false, out);
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

UpstreamPool::Capacity UpstreamPool::TotalCapacity() const {
  Capacity capacity;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.listed) continue;
    capacity.slots += upstream.spec.slots;
    capacity.used +=
        std::min(upstream.own_in_flight + upstream.peers_in_flight, upstream.spec.slots);
  }
  return capacity;
}

std::optional<core::Instant> UpstreamPool::NextUnblock() const {
  std::optional<core::Instant> next;
  for (const auto& [id, upstream] : m_upstreams) {
    if (!upstream.blocked_until) continue;
    next = next ? std::min(*next, *upstream.blocked_until) : *upstream.blocked_until;
  }
  return next;
}

void UpstreamPool::RecordResult(core::Instant now, Upstream& upstream, AttemptEnd end,
                                Actions& out) {
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
  // output, show that their whole group is blocked.
  const auto blocked = std::count_if(m_upstreams.begin(), m_upstreams.end(), [](const auto& entry) {
    return entry.second.blocked_until.has_value();
  });
  if (blocked < 2 || now - m_last_output < m_config.block_time) return;
  for (auto& [id, other] : m_upstreams) other.blocked_until = until;
  SetBlocked(true, out);
}

void UpstreamPool::SetBlocked(bool blocked, Actions& out) {
  if (std::exchange(m_blocked, blocked) != blocked) out.emplace_back(ServiceBlocked{blocked});
}

// After the block time, this process tries the blocked upstreams with one request at a time.
bool UpstreamPool::Admits(core::Instant now, const Upstream& upstream) const {
  if (!upstream.listed) return false;
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
