#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/driver/request_driver.h"
#include "cornelrelay/entry/answer_writer.h"
#include "cornelrelay/entry/attempt_runner.h"
#include "cornelrelay/entry/caller_request.h"
#include "cornelrelay/entry/replica_choice.h"
#include "cornelrelay/entry/request_services.h"
#include "cornelrelay/entry/service_runtime.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/profile/profile.h"

namespace cornelrelay::entry {

/// \brief Serves one caller's request through the product's own entry process.
///
/// \code
/// const auto task = std::make_shared<RequestTask>(services, service, profile, request, id,
/// response); co_await task->Run(); \endcode
class RequestTask : public driver::RequestDriver {
 public:
  /// \param internal_id unique over all processes and restarts; prefix of the attempt ids
  RequestTask(RequestServices& services, ServiceRuntime& service, const profile::Profile& profile,
              CallerRequest request, core::RequestId internal_id, net::ResponseStream& response);

  boost::asio::awaitable<void> Run();

  const core::RequestId& id() const { return m_request.id; }

 private:
  std::size_t pending() const override { return m_writer.pending().size(); }
  boost::asio::awaitable<void> WriteAnswer() override { return m_writer.Flush(); }
  bool DeferEvent(const request::RequestEvent& event) override { return m_choice.HoldBack(event); }

  void Perform(const request::AcquireAdmission& action) override;
  void Perform(const request::AcquireClaim& action) override;
  void Perform(const request::ChooseUpstream& action) override;
  void Perform(const request::AcquireRetryToken& action) override;
  void Perform(const request::OpenAttempt& action) override;
  void Perform(const request::CancelAttempt& action) override;
  void Perform(const request::ForwardChunk& action) override;
  void Perform(const request::FinishAnswer& action) override;
  void Perform(const request::SendError& action) override;
  void Perform(const request::FinishClaim& action) override;
  void Perform(const request::RecordAttempt& action) override;
  void Perform(const request::RecordOutcome& action) override;

  void CountOutcome(const request::RecordOutcome& action);

  RequestServices& m_services;
  ServiceRuntime& m_service;
  CallerRequest m_request;
  profile::Profile m_profile;
  core::RequestId m_internal_id;
  AnswerWriter m_writer;
  core::Instant m_deadline;
  ReplicaChoice m_choice;
  request::AttemptResult m_last_result = request::AttemptResult::kCancelled;
  std::shared_ptr<AttemptRunner> m_attempt;
  core::AttemptId m_attempt_id;
  telemetry::DecisionRecord m_record;
  double m_output_events = 0;
  bool m_claim_requested = false;
};

}  // namespace cornelrelay::entry
