#include "cornelrelay/routing/replica_router.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet_view.h"

namespace cornelrelay::routing {

ReplicaRouter::ReplicaRouter(RouterConfig config)
    : m_config(std::move(config)),
      m_random(m_config.seed),
      m_prefixes(m_config.max_prefixes, m_config.prefix_lifetime) {}

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
    const bool was_lost = record.lost_at.has_value() && !record.kept;
    record.status = status;
    record.present = true;
    // Only a replica that joins a running fleet gets a slow start. At a cold start all replicas are
    // equally new.
    if ((inserted && m_had_replicas) || (was_lost && status.usable)) {
      SetPhase(now, record, ReplicaPhase::kRamping, out);
    }
    ApplyReport(now, record, status.load);
  }
  for (auto& [id, record] : m_replicas) record.present = present.contains(id);
  m_had_replicas = m_had_replicas || !m_replicas.empty();
  UpdateLosses(now, out);
}

void ReplicaRouter::UpdateLosses(core::Instant now, Actions& out) {
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
    if (now - *record.lost_at <= m_config.mass_loss_window) ++recent;
  }
  const bool mass_loss = recent * m_config.mass_loss_divisor > known;
  bool suspected = false;
  for (auto entry = m_replicas.begin(); entry != m_replicas.end();) {
    Record& record = entry->second;
    if (record.lost_at && !record.status.leaving) {
      const core::Duration since = now - *record.lost_at;
      if (mass_loss && since <= m_config.mass_loss_window) record.kept = true;
      if (since > m_config.lost_replica_retention) record.kept = false;
    }
    suspected = suspected || record.kept;
    // A record with attempts in flight stays, so that their results do not count against a new
    // replica with the same id.
    const bool removable = !record.present && !record.kept && record.outstanding == 0;
    if (removable) m_prefixes.EraseReplica(entry->first);
    entry = removable ? m_replicas.erase(entry) : std::next(entry);
  }
  if (suspected != m_suspects_isolation) out.emplace_back(IsolationSuspicionChanged{suspected});
  m_suspects_isolation = suspected;
}

void ReplicaRouter::Apply(core::Instant now, const LoadReported& event, Actions&) {
  const auto found = m_replicas.find(event.replica);
  if (found != m_replicas.end()) ApplyReport(now, found->second, event.load);
}

void ReplicaRouter::ApplyReport(core::Instant now, Record& record, const ReportedLoad& load) {
  const core::Instant measured = now - load.age;
  if (record.report_measured_at && measured <= *record.report_measured_at) return;
  record.status.load = load;
  record.report_measured_at = measured;
  // The report includes the requests that this router had in flight at the time of measurement; the
  // rest belongs to other entry processes.
  internal::OwnLoad own{};
  for (const internal::OwnLoad& past : record.own_load_history) {
    if (past.at > measured) break;
    own = past;
  }
  record.others_outstanding = std::max(0.0, load.outstanding.value() - own.outstanding);
  record.others_pending_work = std::max(0.0, load.pending_work.value() - own.pending_work);
}

void ReplicaRouter::Apply(core::Instant now, const PrefixStored& event, Actions&) {
  if (m_replicas.contains(event.replica)) m_prefixes.Insert(now, event.prefix_key, event.replica);
}

void ReplicaRouter::Apply(core::Instant, const AffinityBoundChanged& event, Actions&) {
  m_config.affinity_bound = event.bound;
}

void ReplicaRouter::Apply(core::Instant, const PrefixEvicted& event, Actions&) {
  m_prefixes.Erase(event.prefix_key, event.replica);
}

void ReplicaRouter::SetPhase(core::Instant now, Record& record, ReplicaPhase phase, Actions& out) {
  record.phase_since = now;
  record.next_probe = now + m_config.probe_interval;
  if (record.phase == phase) return;
  record.phase = phase;
  out.emplace_back(PhaseChanged{record.status.id, phase});
}

}  // namespace cornelrelay::routing
