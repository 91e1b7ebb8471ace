#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/routing/prefix_history.h"
#include "cornelrelay/routing/replica_record.h"
#include "cornelrelay/routing/router_action.h"
#include "cornelrelay/routing/router_config.h"
#include "cornelrelay/routing/router_event.h"

namespace cornelrelay::routing {

/// \brief Chooses replicas of one service for one entry process.
///
/// Samples a few candidates and takes the one with the least expected time to first token. The
/// estimate combines own attempts in flight, late load reports, own results per work unit, the
/// saving of a cached prefix and distance. \code ReplicaRouter router(config); router.Step(now,
/// ReplicaSetUpdated{replicas}); const RoutingDecision decision = router.Choose(now, query); if
/// (decision.chosen) router.Step(now, AttemptStarted{attempt, *decision.chosen, query.size,
/// query.prefix_key}); \endcode
class ReplicaRouter {
 public:
  explicit ReplicaRouter(RouterConfig config);

  /// \brief Applies an event. A RouteQuery yields a RoutingDecision.
  std::vector<RouterAction> Step(core::Instant now, const RouterEvent& event);

  RoutingDecision Choose(core::Instant now, const RouteQuery& query);

  const RouterConfig& config() const { return m_config; }
  const std::map<core::UpstreamId, internal::ReplicaRecord>& replicas() const { return m_replicas; }
  std::size_t attempts_in_flight() const { return m_attempts.size(); }
  std::size_t prefixes() const { return m_prefixes.size(); }
  bool doubts_observer() const { return m_doubt; }

 private:
  using Record = internal::ReplicaRecord;
  using Actions = std::vector<RouterAction>;

  struct FleetView;  // medians and means over the usable replicas
  struct Choice;     // working state of one decision

  void Apply(core::Instant now, const ReplicaSetUpdated& event, Actions& out);
  void Apply(core::Instant now, const LoadReported& event, Actions& out);
  void Apply(core::Instant now, const AttemptStarted& event, Actions& out);
  void Apply(core::Instant now, const FirstTokenReceived& event, Actions& out);
  void Apply(core::Instant now, const StreamProgressed& event, Actions& out);
  void Apply(core::Instant now, const AttemptFinished& event, Actions& out);
  void Apply(core::Instant now, const AttemptFailed& event, Actions& out);
  void Apply(core::Instant now, const AttemptCancelled& event, Actions& out);
  void Apply(core::Instant now, const PrefixStored& event, Actions& out);
  void Apply(core::Instant now, const PrefixEvicted& event, Actions& out);
  void Apply(core::Instant now, const AffinityBoundChanged& event, Actions& out);

  void ReviewLosses(core::Instant now, Actions& out);
  void SetPhase(core::Instant now, Record& record, ReplicaPhase phase, Actions& out);
  void ReviewSpeed(core::Instant now, Record& record, Actions& out);
  void SetReport(core::Instant now, Record& record, const ReportedLoad& load);
  void LearnTokenRate(core::Instant now, internal::Attempt& attempt, double output);
  void EndAttempt(core::Instant now,
                  std::map<core::AttemptId, internal::Attempt>::iterator attempt);
  void NoteOwnLoad(core::Instant now, Record& record);

  FleetView View(core::Instant now) const;
  double Slowness(const Record& record, const FleetView& fleet) const;
  double Outstanding(core::Instant now, const Record& record, const FleetView& fleet) const;
  double PendingWork(core::Instant now, const Record& record, const FleetView& fleet) const;
  double OwnWork(core::Instant now, const core::UpstreamId& replica, const SizeEstimate& size,
                 const PrefixKey& key) const;
  core::Duration Score(core::Instant now, const Record& record, const SizeEstimate& size,
                       const PrefixKey& key, const FleetView& fleet) const;
  /// \brief Part of a reported difference in outstanding requests that is believed now.
  double ReportTrust(core::Instant now, const Record& record, const FleetView& fleet) const;
  core::Duration SlotWait(core::Instant now, const Record& record, const FleetView& fleet) const;
  core::Duration RoundTrip(const Record& record) const;
  std::optional<Exclusion> Ineligible(core::Instant now, const Record& record,
                                      const RouteQuery& query, const FleetView& fleet) const;
  std::optional<Exclusion> ShareExhausted(core::Instant now, const Record& record,
                                          const FleetView& fleet) const;
  void ScoreSampled(Choice& choice, std::vector<const Record*> from);
  void ScoreAffine(Choice& choice, const std::vector<const Record*>& eligible);
  bool TakeProbe(Choice& choice, const std::vector<const Record*>& from);
  const core::UpstreamId* Home(const PrefixKey& key) const;

  RouterConfig m_config;
  core::Random m_random;
  std::map<core::UpstreamId, Record> m_replicas;
  std::map<core::AttemptId, internal::Attempt> m_attempts;
  PrefixHistory m_prefixes;
  bool m_doubt = false;
  bool m_populated = false;
};

}  // namespace cornelrelay::routing
