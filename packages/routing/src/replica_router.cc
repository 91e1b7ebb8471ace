#include "cornelrelay/routing/replica_router.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet_view.h"

namespace cornelrelay::routing {

ReplicaRouter::ReplicaRouter(RouterConfig config)
    : m_config(std::move(config)),
      m_random(m_config.seed),
      m_prefixes(m_config.prefix_entries, m_config.prefix_lifetime) {}

std::vector<RouterAction> ReplicaRouter::Step(core::Instant now, const RouterEvent& event) {
  Actions out;
  std::visit(
      [&](const auto& e) {
        if constexpr (std::is_same_v<std::decay_t<decltype(e)>, RouteQuery>) {
          out.emplace_back(Choose(now, e));
        } else {
          Apply(now, e, out);
        }
      },
      event);
  return out;
}

void ReplicaRouter::Apply(core::Instant now, const ReplicaSetUpdated& event, Actions& out) {
  std::set<core::UpstreamId> present;
  for (const ReplicaStatus& status : event.replicas) {
    present.insert(status.id);
    const auto [found, inserted] = m_replicas.try_emplace(status.id);
    Record& record = found->second;
    const bool lost = record.lost_at.has_value() && !record.kept;
    record.status = status;
    record.present = true;
    // Only a replica that joins a running fleet starts slowly: at a cold start all are equally new.
    if ((inserted && m_populated) || (lost && status.usable)) {
      SetPhase(now, record, ReplicaPhase::kRamping, out);
    }
    SetReport(now, record, status.load);
  }
  for (auto& [id, record] : m_replicas) record.present = present.contains(id);
  m_populated = m_populated || !m_replicas.empty();
  ReviewLosses(now, out);
}

void ReplicaRouter::ReviewLosses(core::Instant now, Actions& out) {
  std::size_t known = 0, recent = 0;
  for (auto& [id, record] : m_replicas) {
    if (record.status.leaving) continue;
    ++known;
    if (record.present && record.status.usable) {
      record.lost_at.reset();
      record.kept = false;
      continue;
    }
    if (!record.lost_at) record.lost_at = now;
    if (now - *record.lost_at <= m_config.doubt_window) ++recent;
  }
  const bool many = recent * m_config.doubt_divisor > known;
  bool doubt = false;
  for (auto entry = m_replicas.begin(); entry != m_replicas.end();) {
    Record& record = entry->second;
    if (record.lost_at && !record.status.leaving) {
      const core::Duration since = now - *record.lost_at;
      if (many && since <= m_config.doubt_window) record.kept = true;
      if (since > m_config.doubt_limit) record.kept = false;
    }
    doubt = doubt || record.kept;
    // A record with attempts in flight stays, so that their ends do not count against a successor
    // of the same id.
    const bool gone = !record.present && !record.kept && record.outstanding == 0;
    if (gone) m_prefixes.Forget(entry->first);
    entry = gone ? m_replicas.erase(entry) : std::next(entry);
  }
  if (doubt != m_doubt) out.emplace_back(ObserverDoubtChanged{doubt});
  m_doubt = doubt;
}

void ReplicaRouter::Apply(core::Instant now, const LoadReported& event, Actions&) {
  const auto found = m_replicas.find(event.replica);
  if (found != m_replicas.end()) SetReport(now, found->second, event.load);
}

void ReplicaRouter::SetReport(core::Instant now, Record& record, const ReportedLoad& load) {
  const core::Instant measured = now - load.age;
  if (record.reported_at && measured <= *record.reported_at) return;
  record.status.load = load;
  record.reported_at = measured;
  // Own requests at the time of measurement are part of the report; the rest belongs to other
  // processes.
  internal::OwnLoad own{};
  for (const internal::OwnLoad& past : record.own_loads) {
    if (past.at > measured) break;
    own = past;
  }
  record.others_outstanding = std::max(0.0, load.outstanding.value() - own.outstanding);
  record.others_pending = std::max(0.0, load.pending_work.value() - own.pending_work);
}

void ReplicaRouter::Apply(core::Instant now, const PrefixStored& event, Actions&) {
  if (m_replicas.contains(event.replica)) m_prefixes.Sent(now, event.prefix_key, event.replica);
}

void ReplicaRouter::Apply(core::Instant, const AffinityBoundChanged& event, Actions&) {
  m_config.affinity_bound = event.bound;
}

void ReplicaRouter::Apply(core::Instant, const PrefixEvicted& event, Actions&) {
  m_prefixes.Evicted(event.prefix_key, event.replica);
}

void ReplicaRouter::SetPhase(core::Instant now, Record& record, ReplicaPhase phase, Actions& out) {
  record.phase_since = now;
  record.next_probe = now + m_config.probe_interval;
  if (record.phase == phase) return;
  record.phase = phase;
  out.emplace_back(PhaseChanged{record.status.id, phase});
}

}  // namespace cornelrelay::routing
