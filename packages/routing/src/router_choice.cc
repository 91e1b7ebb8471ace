#include <algorithm>
#include <cassert>
#include <cmath>

#include "fleet_view.h"

namespace cornelrelay::routing {

namespace {

// Lets a nearly idle fleet use prefix affinity: one request more than a mean of zero is no
// overload.
constexpr double kAffinitySlack = 2;

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
  void Score(const Record& record, core::Duration score) {
    outcomes[record.status.id] = CandidateOutcome{record.status.id, score, std::nullopt};
    const bool better = best == nullptr || score < best_score ||
                        (score == best_score && record.status.id < best->status.id);
    if (!better) return;
    best = &record;
    best_score = score;
  }
};

std::optional<Exclusion> ReplicaRouter::Ineligible(core::Instant now, const Record& record,
                                                   const RouteQuery& query,
                                                   const FleetView& fleet) const {
  if (record.status.leaving) return Exclusion::kLeaving;
  if (record.lost_at && !record.kept) return Exclusion::kUnusable;
  if (query.excluded.contains(record.status.id)) return Exclusion::kExcludedByQuery;
  if (record.phase == ReplicaPhase::kEjected && !fleet.ignore_ejection) {
    // After the back-off one attempt at a time shows whether the replica is back.
    const bool trial = now - record.phase_since >= m_config.ejection && record.outstanding == 0;
    if (!trial) return Exclusion::kEjected;
  }
  return std::nullopt;
}

std::optional<Exclusion> ReplicaRouter::ShareExhausted(core::Instant now, const Record& record,
                                                       const FleetView& fleet) const {
  if (record.phase == ReplicaPhase::kRamping) {
    const double ramp = static_cast<double>((now - record.phase_since).count()) /
                        static_cast<double>(m_config.slow_start.count());
    const double cap = std::max(1.0, ramp * (fleet.own_outstanding + 1));
    if (ramp < 1 && record.outstanding + 1 > cap) return Exclusion::kSlowStart;
  }
  if (record.phase == ReplicaPhase::kSlow) {
    const double cap = std::max(1.0, fleet.own_outstanding / Slowness(record, fleet));
    if (record.outstanding + 1 > cap) return Exclusion::kSlow;
  }
  return std::nullopt;
}

void ReplicaRouter::ScoreSampled(Choice& choice, std::vector<const Record*> from) {
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (i >= m_config.sample_size) {
      if (!choice.outcomes.contains(from[i]->status.id)) {
        choice.Exclude(*from[i], Exclusion::kNotSampled);
      }
      continue;
    }
    std::swap(from[i], from[i + m_random.Below(from.size() - i)]);
    choice.Score(*from[i], Score(choice.now, *from[i], choice.query.size, choice.query.prefix_key,
                                 choice.fleet));
  }
}

void ReplicaRouter::ScoreAffine(Choice& choice, const std::vector<const Record*>& eligible) {
  if (choice.query.prefix_key.empty()) return;
  const core::UpstreamId* freshest = m_prefixes.Freshest(choice.query.prefix_key);
  const core::UpstreamId* home = Home(choice.query.prefix_key);
  const double bound =
      m_config.affinity_bound * (choice.fleet.own_outstanding + choice.fleet.others_outstanding) +
      kAffinitySlack;
  for (const Record* record : eligible) {
    const core::UpstreamId& id = record->status.id;
    if ((freshest == nullptr || id != *freshest) && (home == nullptr || id != *home)) continue;
    if (Outstanding(choice.now, *record, choice.fleet) > bound) {
      choice.Exclude(*record, Exclusion::kAffinityBound);
    } else {
      choice.Score(*record, Score(choice.now, *record, choice.query.size, choice.query.prefix_key,
                                  choice.fleet));
    }
  }
}

bool ReplicaRouter::TakeProbe(Choice& choice, const std::vector<const Record*>& from) {
  if (choice.query.priority == 0) return false;
  for (const Record* candidate : from) {
    const bool doubtful =
        candidate->phase == ReplicaPhase::kSlow || candidate->phase == ReplicaPhase::kEjected;
    if (!doubtful || candidate->outstanding > 0 || choice.now < candidate->next_probe) continue;
    // The random part keeps entry processes from probing together.
    Record& record = m_replicas.at(candidate->status.id);
    const double interval =
        static_cast<double>(m_config.probe_interval.count()) * (0.5 + m_random.Unit());
    record.next_probe = choice.now + core::Duration(static_cast<core::Duration::rep>(interval));
    choice.Score(record, Score(choice.now, record, choice.query.size, choice.query.prefix_key,
                               choice.fleet));
    choice.best = &record;
    return true;
  }
  return false;
}

RoutingDecision ReplicaRouter::Choose(core::Instant now, const RouteQuery& query) {
  const FleetView fleet = View(now);
  Choice choice{now, query, fleet, {}, nullptr, {}};
  std::vector<const Record*> local, remote, capped, probed;
  for (const auto& [id, record] : m_replicas) {
    if (const auto reason = Ineligible(now, record, query, fleet)) {
      choice.Exclude(record, *reason);
      continue;
    }
    const bool is_local =
        m_config.data_centre.empty() || record.status.data_centre == m_config.data_centre;
    if (is_local) probed.push_back(&record);
    if (const auto reason = ShareExhausted(now, record, fleet)) {
      choice.Exclude(record, *reason);
      capped.push_back(&record);
      continue;
    }
    (is_local ? local : remote).push_back(&record);
  }

  const bool probe = TakeProbe(choice, probed);
  if (probe) {
    // A probe compares nothing, but the decision still accounts for every replica.
    for (const auto* from : {&local, &remote}) {
      for (const Record* record : *from) {
        if (!choice.outcomes.contains(record->status.id)) {
          choice.Exclude(*record, Exclusion::kNotSampled);
        }
      }
    }
  } else {
    ScoreAffine(choice, local);
    ScoreSampled(choice, local);
    if (choice.best == nullptr || choice.best_score > query.spill_over_threshold) {
      ScoreAffine(choice, remote);
      ScoreSampled(choice, remote);
    } else {
      for (const Record* record : remote) choice.Exclude(*record, Exclusion::kOtherDataCentre);
    }
    // Serving beyond a reduced share is better than refusing.
    if (choice.best == nullptr) ScoreSampled(choice, capped);
  }

  RoutingDecision decision{query.request, std::nullopt, probe, {}};
  if (choice.best != nullptr) decision.chosen = choice.best->status.id;
  for (auto& [id, outcome] : choice.outcomes) decision.candidates.push_back(std::move(outcome));
  assert(!decision.chosen || !m_replicas.at(*decision.chosen).status.leaving);
  return decision;
}

}  // namespace cornelrelay::routing
