#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cornelrelay/entry/attempt_runner.h"
#include "cornelrelay/entry/caller_request.h"
#include "cornelrelay/entry/request_services.h"
#include "cornelrelay/entry/service_runtime.h"
#include "cornelrelay/entry/typed_error.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/profile/profile.h"
#include "cornelrelay/quarantine/fingerprint.h"
#include "cornelrelay/request/request_machine.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::entry {

/// \brief Serves one caller's request: runs its RequestMachine and performs the actions.
///
/// \code
/// const auto task = std::make_shared<RequestTask>(services, service, profile, request, id,
/// response); co_await task->Run(); \endcode
class RequestTask {
 public:
  /// \param internal_id unique over all processes and restarts; prefix of the attempt ids
  RequestTask(RequestServices& services, ServiceRuntime& service, const profile::Profile& profile,
              CallerRequest request, core::RequestId internal_id, net::ResponseStream& response);

  ~RequestTask();
  RequestTask(const RequestTask&) = delete;
  RequestTask& operator=(const RequestTask&) = delete;

  boost::asio::awaitable<void> Run();

  /// \brief The limit of a graceful shutdown has passed.
  void EndForShutdown();

  const core::RequestId& id() const { return m_request.id; }
  request::RequestSnapshot snapshot() const { return m_machine.snapshot(); }

 private:
  void Step(const request::RequestEvent& event);
  void Perform(const request::AskAdmission& action);
  void Perform(const request::RequestClaim& action);
  void Perform(const request::ChooseReplica& action);
  void Perform(const request::AskRetryToken& action);
  void Perform(const request::OpenAttempt& action);
  void Perform(const request::CancelAttempt& action);
  void Perform(const request::ForwardChunk& action);
  void Perform(const request::FinishAnswer& action);
  void Perform(const request::SendError& action);
  void Perform(const request::FinishClaim& action);
  void Perform(const request::RecordAttempt& action);
  void Perform(const request::RecordOutcome& action);

  void RequestRun();
  void ChooseWithin(const quarantine::AllowRun& allowed);
  void OnRunRefused(const quarantine::RefuseRun& refusal);
  bool HeldBack(const request::RequestEvent& event);
  routing::RouteQuery Query() const;
  std::vector<core::UpstreamId> Candidates();
  void NoteCandidates(const routing::RoutingDecision& decision);
  void CountOutcome(const request::RecordOutcome& action);
  boost::asio::awaitable<void> Flush();
  boost::asio::awaitable<void> FlushStream();
  boost::asio::awaitable<void> FlushWhole();
  boost::asio::awaitable<void> FlushError();
  net::HttpResponseHead AnswerHead() const;
  request::RequestEvent Posted() const;

  RequestServices& m_services;
  ServiceRuntime& m_service;
  CallerRequest m_request;
  profile::Profile m_profile;
  core::RequestId m_internal_id;
  net::ResponseStream& m_response;
  std::shared_ptr<RequestMailbox> m_mailbox;
  request::RequestMachine m_machine;
  core::Instant m_deadline;
  quarantine::Fingerprint m_fingerprint;
  std::set<core::UpstreamId> m_tried;
  core::AttemptId m_run;  ///< the current wish to send, as the crash ledger knows it
  int m_runs = 0;
  bool m_run_open = false;
  core::AttemptId m_examined;  ///< attempt whose broken connection has been looked into
  core::UpstreamId m_upstream;
  request::AttemptResult m_last_result = request::AttemptResult::kCancelled;
  runtime::WakeTimer m_run_retry;
  std::shared_ptr<AttemptRunner> m_attempt;
  core::AttemptId m_attempt_id;
  std::string m_output;    ///< answer bytes that the caller has not been sent yet
  std::string m_recorded;  ///< whole answer, kept for the claim
  std::optional<TypedError> m_error;
  std::optional<request::RecordOutcome> m_outcome;
  telemetry::DecisionRecord m_record;
  double m_output_events = 0;
  bool m_claim_requested = false;
  bool m_finished = false;
};

}  // namespace cornelrelay::entry
