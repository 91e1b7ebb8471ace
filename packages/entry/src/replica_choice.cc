#include "cornelrelay/entry/replica_choice.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace cornelrelay::entry {
namespace {

constexpr std::chrono::seconds kNoReplicaRetry{1};

}  // namespace

ReplicaChoice::ReplicaChoice(RequestServices& services, ServiceRuntime& service,
                             routing::RouteQuery query, quarantine::Fingerprint fingerprint,
                             const core::RequestId& internal_id, core::Instant deadline,
                             std::shared_ptr<driver::RequestMailbox> mailbox)
    : m_services(services),
      m_service(service),
      m_query(std::move(query)),
      m_fingerprint(fingerprint),
      m_internal_id(internal_id),
      m_deadline(deadline),
      m_mailbox(std::move(mailbox)),
      m_retry(services.context, services.clock, [this] { RequestRun(); }) {}

ReplicaChoice::~ReplicaChoice() {
  if (m_run_open) m_services.crashes.Ended(m_run, false);
}

void ReplicaChoice::Choose(const std::set<core::UpstreamId>& excluded) {
  m_query.excluded = excluded;
  RequestRun();
}

void ReplicaChoice::RequestRun() {
  RunOrder order;
  order.run = core::AttemptId(m_internal_id.value() + "/run-" + std::to_string(++m_runs));
  order.fingerprint = m_fingerprint;
  if (m_services.crashes.IsSuspect(m_fingerprint)) order.candidates = Preferences();
  m_run = order.run;
  m_run_open = true;
  m_services.crashes.Request(
      order,
      [this, mailbox = m_mailbox](const quarantine::AllowRun& allowed) {
        if (!mailbox->closed()) ChooseWithin(allowed);
      },
      [this, mailbox = m_mailbox](const quarantine::RefuseRun& refusal) {
        if (!mailbox->closed()) OnRefused(refusal);
      });
}

// Only a suspect needs the list; it then runs on the first upstream that has no other suspect.
std::vector<core::UpstreamId> ReplicaChoice::Preferences() {
  std::vector<core::UpstreamId> preferences;
  routing::RouteQuery query = m_query;
  while (preferences.size() < m_service.settings().upstreams.size()) {
    const auto decision = m_service.router().Choose(m_services.clock.Now(), query);
    if (!decision.chosen) break;
    preferences.push_back(*decision.chosen);
    query.excluded.insert(*decision.chosen);
  }
  return preferences;
}

void ReplicaChoice::ChooseWithin(const quarantine::AllowRun& allowed) {
  if (!allowed.only.empty()) {
    m_mailbox->Push(request::UpstreamChosen{allowed.only});
    return;
  }
  routing::RouteQuery query = m_query;
  query.excluded.insert(allowed.excluded.begin(), allowed.excluded.end());
  routing::RouteQuery preferred = query;
  preferred.excluded.insert(allowed.avoid.begin(), allowed.avoid.end());
  auto decision = m_service.router().Choose(m_services.clock.Now(), preferred);
  if (!decision.chosen && !allowed.avoid.empty()) {
    decision = m_service.router().Choose(m_services.clock.Now(), query);
  }
  Note(decision);
  if (decision.chosen) {
    m_mailbox->Push(request::UpstreamChosen{*decision.chosen});
  } else {
    m_mailbox->Push(request::NoUpstream{kNoReplicaRetry});
  }
}

void ReplicaChoice::OnRefused(const quarantine::RefuseRun& refusal) {
  m_run_open = false;
  const auto again = m_services.clock.Now() + refusal.retry_after;
  if (refusal.reason == quarantine::RefuseReason::kProbedElsewhere && again < m_deadline) {
    m_retry.SetAt(again);
    return;
  }
  m_mailbox->Push(
      request::Refused{request::RequestError::kRequestQuarantined, refusal.retry_after});
}

void ReplicaChoice::Started(const core::AttemptId& attempt, const core::UpstreamId& upstream) {
  m_attempt = attempt;
  m_upstream = upstream;
  m_services.crashes.Started(m_run, upstream);
}

void ReplicaChoice::Ended(bool completed) {
  m_run_open = false;
  m_services.crashes.Ended(m_run, completed);
}

bool ReplicaChoice::HoldBack(const request::RequestEvent& event) {
  const auto* closed = std::get_if<request::UpstreamClosed>(&event);
  if (closed == nullptr || closed->attempt != m_attempt || m_examined == m_attempt) return false;
  m_examined = m_attempt;
  m_services.crashes.Broken(m_run, m_upstream, m_service.EndpointOf(m_upstream),
                            [mailbox = m_mailbox, again = *closed] { mailbox->Push(again); });
  return true;
}

void ReplicaChoice::Note(const routing::RoutingDecision& decision) {
  m_candidates.clear();
  for (const auto& candidate : decision.candidates) {
    telemetry::CandidateRecord record;
    record.upstream = candidate.replica;
    if (candidate.score) {
      record.score_seconds = std::chrono::duration<double>(*candidate.score).count();
    }
    if (candidate.exclusion) record.exclusion = std::string(ToString(*candidate.exclusion));
    m_candidates.push_back(std::move(record));
  }
}

}  // namespace cornelrelay::entry
