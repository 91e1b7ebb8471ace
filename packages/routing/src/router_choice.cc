#include <algorithm>
#include <cassert>
#include <cmath>

#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Requests added to the affinity bound. In a nearly idle fleet, whose mean is about zero, one or
// two outstanding requests are no overload and do not prevent prefix affinity.
constexpr double kAffinitySlackRequests = 2;

}  // namespace

struct ReplicaRouter::Choice {
  core::Instant now;
  const RouteQuery& query;
  const FleetView& fleet;
  std::map<core::UpstreamId, CandidateOutcome> outcomes;
  const Record* best = nullptr;
  core::Duration best_score{};

  void Exclude(const Record& record, Exclusion reason) {
    outcomes[record.status.id] = CandidateOutcome{record.status.id, std::nullopt, reason};
  }
  void RecordScore(const Record& record, core::Duration score) {
    outcomes[record.status.id] = CandidateOutcome{record.status.id, score, std::nullopt};
    const bool better = best == nullptr || score < best_score ||
                        (score == best_score && record.status.id < best->status.id);
    if (!better) return;
    best = &record;
    best_score = score;
  }
};

std::optional<Exclusion> ReplicaRouter::CheckEligibility(core::Instant now, const Record& record,
                                                         const RouteQuery& query,
                                                         const FleetView& fleet) const {
  if (record.status.leaving) return Exclusion::kLeaving;
  if (record.lost_at && !record.kept) return Exclusion::kUnusable;
  if (query.excluded.contains(record.status.id)) return Exclusion::kExcludedByQuery;
  if (record.phase == ReplicaPhase::kEjected && !fleet.ignore_ejection) {
    // After the back-off, one attempt at a time tests whether the replica has recovered.
    const bool trial =
        now - record.phase_since >= m_config.ejection_duration && record.outstanding == 0;
    if (!trial) return Exclusion::kEjected;
  }
  return std::nullopt;
}

std::optional<Exclusion> ReplicaRouter::CheckOutstandingCap(core::Instant now, const Record& record,
                                                            const FleetView& fleet) const {
  if (record.phase == ReplicaPhase::kRamping) {
    const double ramp = static_cast<double>((now - record.phase_since).count()) /
                        static_cast<double>(m_config.slow_start.count());
    const double cap = std::max(1.0, ramp * (fleet.own_outstanding + 1));
    if (ramp < 1 && record.outstanding + 1 > cap) return Exclusion::kSlowStart;
  }
  if (record.phase == ReplicaPhase::kSlow) {
    const double cap = std::max(1.0, fleet.own_outstanding / SlowdownFactor(record, fleet));
    if (record.outstanding + 1 > cap) return Exclusion::kSlow;
  }
  return std::nullopt;
}

void ReplicaRouter::ScoreSampled(Choice& choice, std::vector<const Record*> candidates) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i >= m_config.sample_size) {
      if (!choice.outcomes.contains(candidates[i]->status.id)) {
        choice.Exclude(*candidates[i], Exclusion::kNotSampled);
      }
      continue;
    }
    std::swap(candidates[i], candidates[i + m_random.Below(candidates.size() - i)]);
    choice.RecordScore(*candidates[i], Score(choice.now, *candidates[i], choice.query.size,
                                             choice.query.prefix_key, choice.fleet));
  }
}

void ReplicaRouter::ScorePrefixAffine(Choice& choice, const std::vector<const Record*>& eligible) {
  if (choice.query.prefix_key.empty()) return;
  const core::UpstreamId* holder = m_prefixes.MostRecentHolder(choice.query.prefix_key);
  const core::UpstreamId* home = HomeReplica(choice.query.prefix_key);
  const double bound =
      m_config.affinity_bound * (choice.fleet.own_outstanding + choice.fleet.others_outstanding) +
      kAffinitySlackRequests;
  for (const Record* record : eligible) {
    const core::UpstreamId& id = record->status.id;
    if ((holder == nullptr || id != *holder) && (home == nullptr || id != *home)) continue;
    if (Outstanding(choice.now, *record, choice.fleet) > bound) {
      choice.Exclude(*record, Exclusion::kAffinityBound);
    } else {
      choice.RecordScore(*record, Score(choice.now, *record, choice.query.size,
                                        choice.query.prefix_key, choice.fleet));
    }
  }
}

bool ReplicaRouter::ChooseProbe(Choice& choice, const std::vector<const Record*>& candidates) {
  if (choice.query.priority == 0) return false;
  for (const Record* candidate : candidates) {
    const bool needs_probe =
        candidate->phase == ReplicaPhase::kSlow || candidate->phase == ReplicaPhase::kEjected;
    if (!needs_probe || candidate->outstanding > 0 || choice.now < candidate->next_probe) continue;
    // Jitter keeps entry processes from probing at the same time.
    Record& record = m_replicas.at(candidate->status.id);
    const double interval =
        static_cast<double>(m_config.probe_interval.count()) * (0.5 + m_random.Unit());
    record.next_probe = choice.now + core::Duration(static_cast<core::Duration::rep>(interval));
    choice.RecordScore(record, Score(choice.now, record, choice.query.size, choice.query.prefix_key,
                                     choice.fleet));
    choice.best = &record;
    return true;
  }
  return false;
}

RoutingDecision ReplicaRouter::Choose(core::Instant now, const RouteQuery& query) {
  const FleetView fleet = ComputeFleetView(now);
  Choice choice{now, query, fleet, {}, nullptr, {}};
  std::vector<const Record*> local, remote, over_cap, probe_candidates;
  for (const auto& [id, record] : m_replicas) {
    if (const auto reason = CheckEligibility(now, record, query, fleet)) {
      choice.Exclude(record, *reason);
      continue;
    }
    const bool is_local =
        m_config.data_centre.empty() || record.status.data_centre == m_config.data_centre;
    if (is_local) probe_candidates.push_back(&record);
    if (const auto reason = CheckOutstandingCap(now, record, fleet)) {
      choice.Exclude(record, *reason);
      over_cap.push_back(&record);
      continue;
    }
    (is_local ? local : remote).push_back(&record);
  }

  const bool probe = ChooseProbe(choice, probe_candidates);
  if (probe) {
    // A probe compares no scores, but the decision still lists every replica.
    for (const auto* candidates : {&local, &remote}) {
      for (const Record* record : *candidates) {
        if (!choice.outcomes.contains(record->status.id)) {
          choice.Exclude(*record, Exclusion::kNotSampled);
        }
      }
    }
  } else {
    ScorePrefixAffine(choice, local);
    ScoreSampled(choice, local);
    if (choice.best == nullptr || choice.best_score > query.spill_over_threshold) {
      ScorePrefixAffine(choice, remote);
      ScoreSampled(choice, remote);
    } else {
      for (const Record* record : remote) choice.Exclude(*record, Exclusion::kOtherDataCentre);
    }
    // Sending the request to a replica at its cap is better than rejecting it.
    if (choice.best == nullptr) ScoreSampled(choice, over_cap);
  }

  RoutingDecision decision{query.request, std::nullopt, probe, {}};
  if (choice.best != nullptr) decision.chosen = choice.best->status.id;
  for (auto& [id, outcome] : choice.outcomes) decision.candidates.push_back(std::move(outcome));
  assert(!decision.chosen || !m_replicas.at(*decision.chosen).status.leaving);
  return decision;
}

}  // namespace cornelrelay::routing
