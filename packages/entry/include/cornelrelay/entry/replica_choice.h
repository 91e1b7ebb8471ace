#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/entry/attempt_runner.h"
#include "cornelrelay/entry/crash_port.h"
#include "cornelrelay/entry/request_services.h"
#include "cornelrelay/entry/service_runtime.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/routing/route_query.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/telemetry/decision_record.h"

namespace cornelrelay::entry {

/// \brief Chooses the replica of each attempt of one request, within what the crash ledger allows.
///
/// The answer goes to the request's mailbox as UpstreamChosen, NoUpstream or Refused.
/// \code
/// choice.Choose(excluded);
/// choice.Started(upstream);
/// ...
/// choice.Ended(true);
/// \endcode
class ReplicaChoice {
 public:
  /// \param query describes the request; its exclusions are set by Choose
  ReplicaChoice(RequestServices& services, ServiceRuntime& service, routing::RouteQuery query,
                quarantine::Fingerprint fingerprint, const core::RequestId& internal_id,
                core::Instant deadline, std::shared_ptr<driver::RequestMailbox> mailbox);
  ~ReplicaChoice();
  ReplicaChoice(const ReplicaChoice&) = delete;
  ReplicaChoice& operator=(const ReplicaChoice&) = delete;

  void Choose(const std::set<core::UpstreamId>& excluded);
  void Started(const core::AttemptId& attempt, const core::UpstreamId& upstream);
  void Ended(bool completed);

  /// \brief Takes the end of the current attempt's connection and gives it back through the mailbox
  /// once its upstream has been looked at. Returns false for every other event.
  ///
  /// If the upstream has died, the request may be the cause, and neither its caller nor a retry may
  /// carry it to another upstream before the other entry processes know.
  bool HoldBack(const request::RequestEvent& event);

  /// \brief The replicas that the last choice considered.
  const std::vector<telemetry::CandidateRecord>& candidates() const { return m_candidates; }

 private:
  void RequestRun();
  void ChooseWithin(const quarantine::AllowRun& allowed);
  void OnRefused(const quarantine::RefuseRun& refusal);
  std::vector<core::UpstreamId> Preferences();
  void Note(const routing::RoutingDecision& decision);

  RequestServices& m_services;
  ServiceRuntime& m_service;
  routing::RouteQuery m_query;
  quarantine::Fingerprint m_fingerprint;
  core::RequestId m_internal_id;
  core::Instant m_deadline;
  std::shared_ptr<driver::RequestMailbox> m_mailbox;
  core::AttemptId m_run;  ///< the current wish to send, as the crash ledger knows it
  int m_runs = 0;
  bool m_run_open = false;
  core::AttemptId m_attempt;
  core::AttemptId m_examined;  ///< attempt whose broken connection has been looked into
  core::UpstreamId m_upstream;
  std::vector<telemetry::CandidateRecord> m_candidates;
  runtime::WakeTimer m_retry;
};

}  // namespace cornelrelay::entry
