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

/// \brief Chooses replicas of one service for the requests of one entry process.
///
/// The router samples a few candidates and takes the one with the least expected time to first
/// token. The estimate combines this router's attempts in flight, load reports of replicas, which
/// arrive late, measured times per work unit, the work saved by a cached prefix, and network
/// latency.
/// \code
/// ReplicaRouter router(config);
/// router.Step(now, ReplicaSetUpdated{replicas});
/// const RoutingDecision decision = router.Choose(now, query);
/// if (decision.chosen) {
///   router.Step(now, AttemptStarted{attempt, *decision.chosen, query.size, query.prefix_key});
/// }
/// \endcode
class ReplicaRouter {
 public:
  explicit ReplicaRouter(RouterConfig config);

  /// \brief Applies an event and returns the resulting actions. A RouteQuery yields a
  /// RoutingDecision.
  std::vector<RouterAction> Step(core::Instant now, const RouterEvent& event);

  /// \brief Chooses a replica for `query`.
  ///
  /// A choice alone does not count as load: the caller reports AttemptStarted when it sends the
  /// request.
  RoutingDecision Choose(core::Instant now, const RouteQuery& query);

  const RouterConfig& config() const { return m_config; }
  const std::map<core::UpstreamId, internal::ReplicaRecord>& replicas() const { return m_replicas; }
  std::size_t attempts_in_flight() const { return m_attempts.size(); }
  std::size_t prefixes() const { return m_prefixes.size(); }
  /// \brief True while replicas that were lost together with many others are still used.
  bool suspects_isolation() const { return m_suspects_isolation; }

 private:
  using Record = internal::ReplicaRecord;
  using Actions = std::vector<RouterAction>;

  struct FleetView;  // medians and means over the replicas in use
  struct Choice;     // intermediate state of one decision

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

  // Tracks lost replicas, decides which of them are still used, and removes the others.
  void UpdateLosses(core::Instant now, Actions& out);
  void SetPhase(core::Instant now, Record& record, ReplicaPhase phase, Actions& out);
  // Ends a completed slow start, and moves the replica into or out of the slow phase.
  void UpdateSpeedPhase(core::Instant now, Record& record, Actions& out);
  // Ignores reports that were measured before the last one.
  void ApplyReport(core::Instant now, Record& record, const ReportedLoad& load);
  void UpdateTokenTime(core::Instant now, internal::Attempt& attempt, double output_tokens);
  void EndAttempt(core::Instant now,
                  std::map<core::AttemptId, internal::Attempt>::iterator attempt);
  void RecordOwnLoad(core::Instant now, Record& record);

  FleetView ComputeFleetView(core::Instant now) const;
  // Factor of at least 1 by which the replica is slower than the fleet's median; 1 within the
  // tolerances.
  double SlowdownFactor(const Record& record, const FleetView& fleet) const;
  // Expected number of outstanding requests of all entry processes.
  double Outstanding(core::Instant now, const Record& record, const FleetView& fleet) const;
  // Expected work units of all entry processes that wait for a first token.
  double PendingWork(core::Instant now, const Record& record, const FleetView& fleet) const;
  // Expected work units before the first token on `replica`, less what a cached prefix saves.
  double RequestWork(core::Instant now, const core::UpstreamId& replica, const SizeEstimate& size,
                     const PrefixKey& key) const;
  // Expected time to first token.
  core::Duration Score(core::Instant now, const Record& record, const SizeEstimate& size,
                       const PrefixKey& key, const FleetView& fleet) const;
  // Weight in [0, 1] of a reported deviation from the mean of outstanding requests.
  double ReportWeight(core::Instant now, const Record& record, const FleetView& fleet) const;
  // Expected wait until the engine has a free slot.
  core::Duration ExpectedSlotWait(core::Instant now, const Record& record,
                                  const FleetView& fleet) const;
  core::Duration RoundTrip(const Record& record) const;
  // Returns why the replica must not get the request, or nothing.
  std::optional<Exclusion> CheckEligibility(core::Instant now, const Record& record,
                                            const RouteQuery& query, const FleetView& fleet) const;
  // Returns why a ramping or slow replica may get no further attempt of this process, or nothing.
  std::optional<Exclusion> CheckOutstandingCap(core::Instant now, const Record& record,
                                               const FleetView& fleet) const;
  void ScoreSampled(Choice& choice, std::vector<const Record*> candidates);
  // Scores the replicas that probably hold the prefix, unless their load exceeds the bound.
  void ScorePrefixAffine(Choice& choice, const std::vector<const Record*>& eligible);
  // Chooses a slow or ejected replica whose probe is due. Returns false if there is none.
  bool ChooseProbe(Choice& choice, const std::vector<const Record*>& candidates);
  // Replica to which rendezvous hashing assigns the prefix, the same in all entry processes with
  // the same view of the fleet. Null if no replica is in use.
  const core::UpstreamId* HomeReplica(const PrefixKey& key) const;

  RouterConfig m_config;
  core::Random m_random;
  std::map<core::UpstreamId, Record> m_replicas;
  std::map<core::AttemptId, internal::Attempt> m_attempts;
  PrefixHistory m_prefixes;
  bool m_suspects_isolation = false;
  bool m_had_replicas = false;
};

}  // namespace cornelrelay::routing
